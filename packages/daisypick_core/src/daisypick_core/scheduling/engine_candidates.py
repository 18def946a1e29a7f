"""The engines that one scheduling round considers.

The prefill backlog of an engine is computed once per round and updated with
the starts of the round. The number of engines considered in a round is
bounded, see ``EngineFleet.find_candidates``, and so is the time of a decision.

See Also:
    placement: chooses among the engines that are available here.
"""

from collections.abc import Iterable

from daisypick_core.scheduling import engine_estimate
from daisypick_core.scheduling import engine_fleet
from daisypick_core.scheduling import placement

# Requests over their organisation's share start only while a quarter of all
# slots is free and the mean prefill backlog is below eight tenths of its limit,
# so that requests within their share find room at once. The backlog of an
# engine counts only up to its limit, so that one long prompt does not make a
# lightly loaded fleet count as busy.
_SPARE_SLOT_SHARE = 0.75
_SPARE_BACKLOG_SHARE = 0.8


class EngineCandidates:
    """Available and busy engines at one moment.

    An engine is available while it has a free slot, a prefill backlog below
    the limit and is not ejected after failures.

    Attributes:
        engine_by_server: Estimates of the engines considered.
        backlog_by_server: Prefill backlog in tokens of the available engines.
        busy: Engines that only their prefill backlog makes unavailable.
    """

    def __init__(self, *, fleet: engine_fleet.EngineFleet, now: float) -> None:
        self._fleet = fleet
        self._now = now
        self._max_wait = placement.MAX_BACKLOG_SECONDS * fleet.share
        self._wait_by_server: dict[str, float] = {}
        ejected = [
            server
            for server in fleet.outcomes.find_ejected(now)
            if server in fleet
        ]
        slots = sum(fleet.state_by_server[server].slots for server in ejected)
        self._slots = (fleet.slots - slots) * fleet.share
        self._running = fleet.running - sum(
            fleet.find(server).running for server in ejected
        )
        self.engine_by_server: dict[str, engine_estimate.EngineEstimate] = {}
        self.backlog_by_server: dict[str, float] = {}
        self.busy: list[str] = []

    def add(self, servers: Iterable[str]) -> None:
        """Add engines to those considered."""
        for server in servers:
            if server not in self.engine_by_server and server in self._fleet:
                self._add(server)

    def _add(self, server: str) -> None:
        engine = self._fleet.find(server)
        self.engine_by_server[server] = engine
        if self._fleet.outcomes.is_ejected(server, self._now):
            return
        wait = engine.prefill_wait(self._now)
        self._wait_by_server[server] = wait
        if not engine.has_slot(self._fleet.share):
            return
        if wait < self._max_wait:
            self.backlog_by_server[server] = engine.prefill_backlog(self._now)
        else:
            self.busy.append(server)

    def note_start(self, server: str) -> None:
        """Record that a request was started at an available engine."""
        engine = self._fleet.find(server)
        self.engine_by_server[server] = engine
        self._running += 1
        wait = engine.prefill_wait(self._now)
        self._wait_by_server[server] = wait
        if wait < self._max_wait and engine.has_slot(self._fleet.share):
            self.backlog_by_server[server] = engine.prefill_backlog(self._now)
        else:
            del self.backlog_by_server[server]

    def find_min_wait(self) -> float:
        """Return the fewest seconds of prefill at an available engine."""
        return min(
            self._wait_by_server[name] for name in self.backlog_by_server
        )

    def is_spare(self) -> bool:
        """Return whether there is spare capacity for requests over a share."""
        waits = self._wait_by_server.values()
        wait = sum(min(wait, self._max_wait) for wait in waits)
        return (
            self._running < self._slots * _SPARE_SLOT_SHARE
            and wait < self._max_wait * len(waits) * _SPARE_BACKLOG_SHARE
        )
