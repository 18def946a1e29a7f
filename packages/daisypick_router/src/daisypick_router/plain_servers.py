"""Load balancing over the backend servers of a plain service.

Selects the server with the least load from this router, prefers servers in
this router's data centre and breaks ties at random. The load from other
routers is unknown; a full server rejects the request without running it, and
the request is retried elsewhere. If there are many servers, a random sample is
compared, so that the cost of a request does not depend on their number.
"""

from collections.abc import Callable
import random

from daisypick_core.serving import backend_server
from daisypick_core.serving import fleet_configuration
from daisypick_core.serving import outcomes as outcome_records
from daisypick_core.serving import server_pauses
from daisypick_router import cold_sends
from daisypick_router import discovery as discoveries

# Load added to a server in another data centre, as a fraction of its slots.
# Requests stay in this data centre while its servers' load is lower than this
# and spread to others above it.
_REMOTE_PENALTY = 0.3
# Servers compared per request, half of them from this data centre.
_MAX_COMPARED = 32


class PlainServers:
    """Selects backend servers and counts this router's requests at them."""

    def __init__(
        self,
        *,
        discovery: "discoveries.Discovery",
        outcomes: outcome_records.Outcomes,
        sends: cold_sends.ColdSends,
        pauses: server_pauses.ServerPauses,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        self._discovery = discovery
        self._outcomes = outcomes
        self._sends = sends
        self._pauses = pauses
        self._data_centre = data_centre
        self._rng = rng
        self._running_by_server: dict[str, int] = {}
        # Servers that have a request which must be kept apart from others.
        self._with_isolated: set[str] = set()

    def pick(
        self,
        service: fleet_configuration.Service,
        tried_servers: set[str],
        now: float,
        *,
        isolated: bool = False,
        has_room: Callable[[backend_server.BackendServer], bool] = (
            lambda server: True
        ),
    ) -> backend_server.BackendServer | None:
        """Select a server that was not tried and count the request.

        Args:
            service: The service.
            tried_servers: Names of servers not to select.
            now: The time.
            isolated: Whether the request must not share a server with another
                isolated one of this router.
            has_room: Whether a server can hold the request.
        """
        excluded = tried_servers
        if isolated:
            excluded = tried_servers | self._with_isolated
        candidates = [
            candidate
            for candidate in self._find_untried(service, excluded, now)
            if has_room(candidate)
        ]
        if not candidates:
            return None
        server = min(
            candidates,
            key=lambda candidate: (self._score(candidate), self._rng.random()),
        )
        if isolated:
            self._with_isolated.add(server.name)
        running = self._running_by_server.get(server.name, 0)
        self._running_by_server[server.name] = running + 1
        return server

    def has_untried(
        self,
        service: fleet_configuration.Service,
        tried_servers: set[str],
        now: float,
    ) -> bool:
        """Return whether a server that was not tried can take the request."""
        return bool(self._find_untried(service, tried_servers, now))

    def _find_untried(
        self,
        service: fleet_configuration.Service,
        tried_servers: set[str],
        now: float,
    ) -> list[backend_server.BackendServer]:
        candidates = self._find_candidates(
            self._sample(service.name), service, tried_servers, now
        )
        if candidates:
            return candidates
        ready = self._discovery.directory.find_ready(service.name)
        return self._find_candidates(ready, service, tried_servers, now)

    def _sample(self, service: str) -> list[backend_server.BackendServer]:
        """Return the servers to compare first."""
        directory = self._discovery.directory
        ready = directory.find_ready(service)
        if len(ready) <= _MAX_COMPARED:
            return ready
        local_servers = directory.find_ready_in(service, self._data_centre)
        half = _MAX_COMPARED // 2
        if len(local_servers) > half:
            local_servers = self._rng.sample(local_servers, half)
        return local_servers + self._rng.sample(ready, half)

    def _find_candidates(
        self,
        servers: list[backend_server.BackendServer],
        service: fleet_configuration.Service,
        tried_servers: set[str],
        now: float,
    ) -> list[backend_server.BackendServer]:
        """Return those of the servers that can take the request."""
        ready = [
            server
            for server in servers
            if server.name not in tried_servers
            and service.has_server(server)
            and not self._pauses.is_paused(server, now)
        ]
        healthy = [
            server
            for server in ready
            if not self._outcomes.is_ejected(server.name, now)
        ]
        return [
            server for server in healthy or ready if self._sends.allows(server)
        ]

    def _score(self, server: backend_server.BackendServer) -> float:
        used = self._running_by_server.get(server.name, 0) / server.slots
        is_remote = server.data_centre != self._data_centre
        return used + _REMOTE_PENALTY * is_remote

    def note_end(self, server: str, *, isolated: bool = False) -> None:
        """Record that a request ended at a server."""
        if isolated:
            self._with_isolated.discard(server)
        running = self._running_by_server.get(server, 0) - 1
        if running > 0:
            self._running_by_server[server] = running
        else:
            self._running_by_server.pop(server, None)
