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
from daisypick_core.serving import fleet_configuration
from daisypick_core.serving import restart_suspicion
from daisypick_http import connection as connections
from daisypick_http import pool as pools
from daisypick_router import discovery as discoveries
from daisypick_router import load_watch
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import peer_messages

# Interval in seconds at which suspected servers are tried, and how many at a
# time. A router that was cut off suspects all of its servers.
_PROBE_SECONDS = 0.5
_MAX_PROBED = 16


class Restarts:
    """Tells until when servers count as cold; ``on_change(names)`` follows.

    Args:
        discovery: The backend servers.
        pool: Connections to them.
        load: The lag of the event loop.
        log: The log.
        on_change: Called with the servers whose time changed.
        send: Sends a message to the routers that this one has links to.
    """

    def __init__(
        self,
        *,
        discovery: "discoveries.Discovery",
        pool: pools.Pool,
        load: load_watch.LoadWatch,
        log: logs.Log,
        on_change: Callable[[Collection[str]], None],
        send: Callable[[peer_messages.ServerSuspected], None],
    ) -> None:
        self._send = send
        self._discovery = discovery
        self._pool = pool
        self._load = load
        self._log = log
        self._on_change = on_change
        self._suspicion = restart_suspicion.RestartSuspicion()
        self._has_suspects = event.Event()
        # New suspicions that a check may end; not logged nor reported yet.
        self._unchecked: set[str] = set()
        pool.on_ended = self._note_ended

    def start(self) -> None:
        """Start trying suspected servers."""
        loops.spawn(self._run)

    def find_cold_until(
        self, server: backend_server.BackendServer, cold_seconds: float
    ) -> float:
        """Return the time at which a server is warm."""
        return max(
            self._discovery.directory.find_cold_until(server, cold_seconds),
            self._suspicion.find_cold_until(server.name, born=server.born),
        )

    def is_suspected(self, server: backend_server.BackendServer) -> bool:
        """Return whether a server may have restarted unseen."""
        until = self._suspicion.find_cold_until(server.name, born=server.born)
        return until > time.monotonic()

    def note_failure(
        self,
        server: backend_server.BackendServer,
        *,
        reported_by: str | None = None,
        is_fresh: bool = False,
    ) -> None:
        """Record that a connection to a server broke or was not made.

        Args:
            server: The server.
            reported_by: Router whose connection it was; ``None`` for this one.
            is_fresh: Whether the connection worked a moment ago, so that the
                server cannot have restarted since.
        """
        if not self._find_cold_seconds(server):
            return
        since = time.monotonic()
        changed = self._suspicion.note_failure(
            server.name,
            born=server.born,
            now=since,
            is_reported=reported_by is not None,
        )
        self._has_suspects.set()
        if changed:
            self._unchecked.add(server.name)
        if is_fresh and not self._load.has_stalled():
            gevent.spawn(self._check, server, since)
        elif server.name in self._unchecked:
            self._note_suspected(server, reported_by)

    def _check(
        self, server: backend_server.BackendServer, since: float
    ) -> None:
        """End the suspicion if the server has not ended.

        If more of its connections broke meanwhile, the last check decides.
        """
        is_listening = self._is_listening(server)
        now = time.monotonic()
        if is_listening and self._suspicion.note_listening(
            server.name, since=since, now=now
        ):
            self._unchecked.discard(server.name)
            self._on_change([server.name])
            return
        if is_listening:
            self.note_connected(server, opened_at=now)
        if (
            server.name in self._unchecked
            and self._suspicion.find_since(server.name) == since
        ):
            self._note_suspected(server, None)

    def _note_suspected(
        self, server: backend_server.BackendServer, reported_by: str | None
    ) -> None:
        self._unchecked.discard(server.name)
        self._log.write(
            "cold",
            "A server may have restarted; it counts as cold.",
            server=server.name,
            born=server.born,
            reported_by=reported_by,
        )
        self._on_change([server.name])
        if reported_by is None:
            self._send(peer_messages.ServerSuspected(server=server.name))

    def receive(
        self, message: peer_messages.ServerSuspected, router: str
    ) -> None:
        """Take the report of another router.

        This one may have no connection to that server, and would learn of a
        restart from the list only. The lists of the two may show different
        instances; either may be outdated.
        """
        server = self._discovery.directory.server_by_name.get(message.server)
        if server is not None:
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
                self._unchecked.clear()
                self._has_suspects.clear()
                continue
            for name in self._suspicion.find_unconnected(_MAX_PROBED):
                gevent.spawn(self._probe, by_name[name])
            gevent.sleep(_PROBE_SECONDS)

    def _probe(self, server: backend_server.BackendServer) -> None:
        """Connect, so that the suspicion ends also without a request."""
        if self._is_listening(server):
            self.note_connected(server, opened_at=time.monotonic())

    def _is_listening(self, server: backend_server.BackendServer) -> bool:
        try:
            return self._pool.is_listening(server.address)
        except connections.NotConnectedError:
            return False
