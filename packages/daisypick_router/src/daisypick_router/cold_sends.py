"""What this router sends to cold backend servers.

Logs, for each cold server, how much this router sent to it and on what its
quota was based: the list of routers that it knew, and since when and why it
took the server for cold.

See Also:
    daisypick_core.serving.cold_limit: the limit of one router.
"""

import collections
from collections.abc import Collection
import time

import gevent

from daisypick_core.serving import backend_server
from daisypick_core.serving import cold_limit
from daisypick_core.serving import fleet_configuration
from daisypick_router import discovery as discoveries
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import membership as memberships
from daisypick_router import metrics as metric_numbers
from daisypick_router import restarts as restart_records

_REPORT_SECONDS = 1.0
# Cold servers per report, those that received most first.
_MAX_REPORTED = 16


class _Sends:
    """Requests sent to one cold server since the last report."""

    def __init__(self) -> None:
        self.sent = 0
        self.most = 0
        self.longest_delay = 0.0


class ColdSends:
    """Counts requests to servers at the moment at which they are sent.

    Attributes:
        restarts: Which servers may have restarted unseen.

    Args:
        discovery: The backend servers.
        membership: The routers, by which the quota is computed.
        limit: This router's limit at cold servers.
        restarts: Which servers may have restarted unseen.
        log: The log.
        metrics: The metrics.
    """

    def __init__(
        self,
        *,
        discovery: "discoveries.Discovery",
        membership: memberships.Membership,
        limit: cold_limit.ColdLimit,
        restarts: restart_records.Restarts,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
    ) -> None:
        self._discovery = discovery
        self._membership = membership
        self._limit = limit
        self.restarts = restarts
        self._log = log
        self._metrics = metrics
        self._cold_since_by_server: dict[str, float] = {}
        self._sends_by_server: dict[str, _Sends] = collections.defaultdict(
            _Sends
        )

    def start(self) -> None:
        """Start reporting."""
        loops.spawn(self._run)

    def _run(self) -> None:
        while True:
            gevent.sleep(_REPORT_SECONDS)
            self._report()
            self._limit.expire(time.monotonic())

    def update_servers(self, names: Collection[str] | None) -> None:
        """Log which servers turned cold.

        Args:
            names: Servers that changed; ``None`` for all.
        """
        now = time.monotonic()
        by_name = self._discovery.directory.server_by_name
        known = set(by_name) if names is None else set(names)
        if names is None:
            for name in self._cold_since_by_server.keys() - known:
                del self._cold_since_by_server[name]
        for name in known:
            server = by_name.get(name)
            if server is None or self._find_cold_left(server, now) <= 0.0:
                self._cold_since_by_server.pop(name, None)
            elif name not in self._cold_since_by_server:
                self._cold_since_by_server[name] = now
                self._log_cold(server, now)

    def _find_cold_left(
        self, server: backend_server.BackendServer, now: float
    ) -> float:
        """Return the seconds for which a server is still cold."""
        service = self._find_service(server)
        if service is None or not service.cold_rate:
            return 0.0
        return self.restarts.find_cold_until(server, service.cold_seconds) - now

    def _is_listed_cold(self, server: backend_server.BackendServer) -> bool:
        service = self._find_service(server)
        cold_seconds = 0.0 if service is None else service.cold_seconds
        until = self._discovery.directory.find_cold_until(server, cold_seconds)
        return until > time.monotonic()

    def _find_service(
        self, server: backend_server.BackendServer
    ) -> fleet_configuration.Service | None:
        """Return a server's service, unless it was removed meanwhile."""
        configuration = self._discovery.configuration
        if configuration is None:
            return None
        return configuration.service_by_name.get(server.service)

    def _find_rate(self, server: backend_server.BackendServer) -> float:
        service = self._find_service(server)
        return 0.0 if service is None else service.cold_rate

    def _log_cold(
        self, server: backend_server.BackendServer, now: float
    ) -> None:
        self._log.write(
            "cold",
            "A server is cold.",
            server=server.name,
            service=server.service,
            born=server.born,
            listed_cold_seconds=round(max(server.cold_until - now, 0.0), 3),
            suspected=self.restarts.is_suspected(server),
            sent_before=self._limit.count(server.name, now),
            server_list_age=round(self._discovery.server_list_age, 3),
            **self._describe_quota(server),
        )

    def _describe_quota(
        self, server: backend_server.BackendServer
    ) -> dict[str, object]:
        return {
            "quota": self.find_quota(server),
            **self._membership.describe(),
        }

    def find_quota(self, server: backend_server.BackendServer) -> int:
        """Return how many requests this router may send to a cold server.

        A router that the others do not count may still use servers that are
        suspected and not listed as cold: most of these are warm.
        """
        if not self._membership.is_counted and self._is_listed_cold(server):
            return 0
        return self._limit.find_quota(server.name, self._find_rate(server))

    def allows(self, server: backend_server.BackendServer) -> bool:
        """Return whether a server can handle one more request, if cold."""
        now = time.monotonic()
        if self._find_cold_left(server, now) <= 0.0:
            return True
        return self.find_quota(server) > self._limit.count(server.name, now)

    def take(
        self, server: backend_server.BackendServer, *, decided_at: float
    ) -> bool:
        """Count a request whose first bytes are about to be sent.

        The server may have been chosen some time ago, while the connection was
        made or while the process stood still.

        Args:
            server: Where it is sent.
            decided_at: When the server was chosen for it.

        Returns:
            ``False`` if the server is cold and cannot handle it now.
        """
        now = time.monotonic()
        if not self.allows(server):
            self._metrics.count("sends_declined_total", service=server.service)
            return False
        self._limit.note(server.name, now)
        if self._find_cold_left(server, now) <= 0.0:
            return True
        sends = self._sends_by_server[server.name]
        sends.sent += 1
        sends.most = max(sends.most, self._limit.count(server.name, now))
        sends.longest_delay = max(sends.longest_delay, now - decided_at)
        self._metrics.count(
            "requests_to_cold_servers_total", service=server.service
        )
        self._metrics.observe("cold_send_delay_seconds", now - decided_at)
        return True

    def _report(self) -> None:
        now = time.monotonic()
        found = sorted(
            self._sends_by_server.items(), key=lambda item: -item[1].most
        )
        self._sends_by_server.clear()
        for name, sends in found[:_MAX_REPORTED]:
            server = self._discovery.directory.server_by_name.get(name)
            if server is None:
                continue
            since = self._cold_since_by_server.get(name, now)
            self._log.write(
                "cold",
                "Requests were sent to a cold server.",
                server=name,
                service=server.service,
                sent=sends.sent,
                most_within_window=sends.most,
                longest_delay=round(sends.longest_delay, 4),
                cold_since_seconds=round(now - since, 3),
                **self._describe_quota(server),
            )
