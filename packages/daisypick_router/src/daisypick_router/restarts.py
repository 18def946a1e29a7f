"""Backend servers that may have restarted unseen, as this router observes it.

See Also:
    daisypick_core.serving.restart_suspicion: what observations show.
"""

from collections.abc import Callable
from collections.abc import Collection
import time

import gevent
from gevent import event

from daisypick_core.serving import backend_server
from daisypick_core.serving import cold_limit
from daisypick_core.serving import fleet_configuration
from daisypick_core.serving import restart_suspicion
from daisypick_http import connection as connections
from daisypick_http import pool as pools
from daisypick_router import discovery as discoveries
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import peer_messages

# Interval in seconds at which suspected servers are tried, and how many at a
# time. A router that was cut off suspects all of its servers.
_PROBE_SECONDS = 0.5
_MAX_PROBED = 16
# With many routers a quota is one request or none, which is too little for a
# server that has just closed some connections. There a suspicion binds only
# while the list of servers is older than this. A younger one shows a restart
# itself: 1.4 s pass between two confirmations while the store responds. Routers
# report failures to each other only where their quotas are larger.
_MIN_QUOTA = 2
_LIST_AGE_SECONDS = 2.0


class Restarts:
    """Tells until when servers count as cold; ``on_change(names)`` follows.

    Args:
        discovery: The backend servers.
        pool: Connections to them.
        limit: This router's limit at cold servers.
        log: The log.
        on_change: Called with the servers whose time changed.
        send: Sends a message to the other routers of a small fleet.
    """

    def __init__(
        self,
        *,
        discovery: "discoveries.Discovery",
        pool: pools.Pool,
        limit: cold_limit.ColdLimit,
        log: logs.Log,
        on_change: Callable[[Collection[str]], None],
        send: Callable[[peer_messages.ServerSuspected], None],
    ) -> None:
        self._send = send
        self._discovery = discovery
        self._pool = pool
        self._limit = limit
        self._log = log
        self._on_change = on_change
        self._suspicion = restart_suspicion.RestartSuspicion()
        self._has_suspects = event.Event()
        pool.on_ended = self._note_ended

    def start(self) -> None:
        """Start trying suspected servers."""
        loops.spawn(self._run)

    def find_cold_until(
        self, server: backend_server.BackendServer, cold_seconds: float
    ) -> float:
        """Return the time at which a server is warm."""
        listed = self._discovery.directory.find_cold_until(server, cold_seconds)
        return max(listed, self._find_suspected_until(server))

    def _find_suspected_until(
        self, server: backend_server.BackendServer
    ) -> float:
        until = self._suspicion.find_cold_until(server.name, born=server.born)
        if not until or self._discovery.server_list_age >= _LIST_AGE_SECONDS:
            return until
        return until if self._find_quota(server) >= _MIN_QUOTA else 0.0

    def _find_quota(self, server: backend_server.BackendServer) -> int:
        service = self._find_service(server)
        rate = 0.0 if service is None else service.cold_rate
        return self._limit.find_quota(server.name, rate)

    def is_suspected(self, server: backend_server.BackendServer) -> bool:
        """Return whether a server may have restarted unseen."""
        return self._find_suspected_until(server) > time.monotonic()

    def note_failure(
        self,
        server: backend_server.BackendServer,
        *,
        reported_by: str | None = None,
    ) -> None:
        """Record that a connection to a server broke or was not made.

        Args:
            server: The server.
            reported_by: Router whose connection it was; ``None`` for this one.
        """
        if not self._find_cold_seconds(server):
            return
        changed = self._suspicion.note_failure(
            server.name,
            born=server.born,
            now=time.monotonic(),
            is_reported=reported_by is not None,
        )
        self._has_suspects.set()
        if not changed:
            return
        self._log.write(
            "cold",
            "A server may have restarted; it counts as cold.",
            server=server.name,
            born=server.born,
            reported_by=reported_by,
        )
        self._on_change([server.name])
        if reported_by is None and self._find_quota(server) >= _MIN_QUOTA:
            self._send(
                peer_messages.ServerSuspected(
                    server=server.name, born=server.born
                )
            )

    def receive(
        self, message: peer_messages.ServerSuspected, router: str
    ) -> None:
        """Take the report of another router.

        This one may have no connection to that server, and would learn of a
        restart from the list only.
        """
        server = self._discovery.directory.server_by_name.get(message.server)
        if server is None or server.born != message.born:
            return
        if self._find_quota(server) >= _MIN_QUOTA:
            self.note_failure(server, reported_by=router)

    def _note_ended(self, address: tuple[str, int]) -> None:
        for server in self._discovery.directory.server_by_name.values():
            if server.address == address:
                self.note_failure(server)

    def note_connected(
        self, server: backend_server.BackendServer, *, opened_at: float
    ) -> None:
        """Record a connection that a server accepted."""
        if not len(self._suspicion):
            return
        changed = self._suspicion.note_connected(
            server.name,
            opened_at=opened_at,
            cold_seconds=self._find_cold_seconds(server),
        )
        if changed:
            self._on_change([server.name])

    def note_received(
        self, server: backend_server.BackendServer, *, opened_at: float
    ) -> None:
        """Record that something was received on a connection to a server."""
        if not len(self._suspicion):
            return
        changed = self._suspicion.note_received(
            server.name, opened_at=opened_at, now=time.monotonic()
        )
        if changed:
            self._log.write(
                "cold", "A server has not restarted.", server=server.name
            )
            self._on_change([server.name])

    def _find_cold_seconds(self, server: backend_server.BackendServer) -> float:
        """Return how long a server is cold; zero if it has no limit then."""
        service = self._find_service(server)
        if service is None or not service.cold_rate:
            return 0.0
        return service.cold_seconds

    def _find_service(
        self, server: backend_server.BackendServer
    ) -> fleet_configuration.Service | None:
        configuration = self._discovery.configuration
        if configuration is None:
            return None
        return configuration.service_by_name.get(server.service)

    def _run(self) -> None:
        while True:
            self._has_suspects.wait()
            by_name = self._discovery.directory.server_by_name
            self._suspicion.expire(by_name, time.monotonic())
            if not len(self._suspicion):
                self._has_suspects.clear()
                continue
            for name in self._suspicion.find_unconnected(_MAX_PROBED):
                gevent.spawn(self._probe, by_name[name])
            gevent.sleep(_PROBE_SECONDS)

    def _probe(self, server: backend_server.BackendServer) -> None:
        """Connect, so that the suspicion ends also without a request."""
        try:
            is_listening = self._pool.is_listening(server.address)
        except connections.NotConnectedError:
            return
        if is_listening:
            self.note_connected(server, opened_at=time.monotonic())
