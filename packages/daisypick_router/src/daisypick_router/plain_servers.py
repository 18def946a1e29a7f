"""Which backend server of a plain service gets a request.

The one with the fewest of our own requests, one in our data centre before an
equal one elsewhere, ties by lot. Other routers' requests are not seen; a
server that is full says so, truly, and the request goes to another. Of many
servers some are compared, so that a request costs the same before any number.
"""

import random

from daisypick_core.serving import backend_server
from daisypick_core.serving import cold_limit
from daisypick_core.serving import fleet_configuration
from daisypick_core.serving import outcomes as outcome_records
from daisypick_router import discovery as discoveries

# What a server in another data centre counts more, in parts of its slots that
# we use. Below it our callers' requests stay near; with more of them under
# way they spread.
_AWAY_SHARE = 0.3
# Servers that are compared at once, half of them near.
_MOST_COMPARED = 32


class PlainServers:
    """Requests in flight by backend server."""

    def __init__(
        self,
        *,
        discovery: "discoveries.Discovery",
        outcomes: outcome_records.Outcomes,
        cold: cold_limit.ColdLimit,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        self._discovery = discovery
        self._outcomes = outcomes
        self._cold = cold
        self._data_centre = data_centre
        self._rng = rng
        self._running_by_server: dict[str, int] = {}

    def pick(
        self,
        service: fleet_configuration.Service,
        tried: set[str],
        now: float,
    ) -> backend_server.BackendServer | None:
        """Return a server that was not tried, and count the request."""
        candidates = self._find_untried(service, tried, now)
        if not candidates:
            return None
        server = min(
            candidates,
            key=lambda known: (self._weigh(known), self._rng.random()),
        )
        self._cold.note(server.name, now)
        running = self._running_by_server.get(server.name, 0)
        self._running_by_server[server.name] = running + 1
        return server

    def has_untried(
        self,
        service: fleet_configuration.Service,
        tried: set[str],
        now: float,
    ) -> bool:
        """Tell whether a server that was not tried may get the request."""
        return bool(self._find_untried(service, tried, now))

    def _find_untried(
        self,
        service: fleet_configuration.Service,
        tried: set[str],
        now: float,
    ) -> list[backend_server.BackendServer]:
        candidates = self._find_candidates(
            self._sample(service.name), service, tried, now
        )
        if candidates:
            return candidates
        ready = self._discovery.directory.find_ready(service.name)
        return self._find_candidates(ready, service, tried, now)

    def _sample(self, service: str) -> list[backend_server.BackendServer]:
        """Return the servers to compare first."""
        directory = self._discovery.directory
        ready = directory.find_ready(service)
        if len(ready) <= _MOST_COMPARED:
            return ready
        near = directory.find_ready_in(service, self._data_centre)
        half = _MOST_COMPARED // 2
        if len(near) > half:
            near = self._rng.sample(near, half)
        return near + self._rng.sample(ready, half)

    def _find_candidates(
        self,
        servers: list[backend_server.BackendServer],
        service: fleet_configuration.Service,
        tried: set[str],
        now: float,
    ) -> list[backend_server.BackendServer]:
        """Return which of the servers may get the request."""
        ready = [server for server in servers if server.name not in tried]
        sound = [
            server
            for server in ready
            if not self._outcomes.is_aside(server.name, now)
        ]
        return [
            server
            for server in sound or ready
            if self._bears(server, service, now)
        ]

    def _weigh(self, server: backend_server.BackendServer) -> float:
        used = self._running_by_server.get(server.name, 0) / server.slots
        away = server.data_centre != self._data_centre
        return used + _AWAY_SHARE * away

    def _bears(
        self,
        server: backend_server.BackendServer,
        service: fleet_configuration.Service,
        now: float,
    ) -> bool:
        cold_until = self._discovery.directory.find_cold_until(
            server, service.cold_seconds
        )
        if cold_until <= now or service.cold_rate <= 0.0:
            return True
        return self._cold.allows(server.name, service.cold_rate, now)

    def end(self, server: str) -> None:
        """A request ended at a server."""
        running = self._running_by_server.get(server, 0) - 1
        if running > 0:
            self._running_by_server[server] = running
        else:
            self._running_by_server.pop(server, None)
