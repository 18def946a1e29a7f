"""The engines that one round of decisions looks at.

What an engine has to read is worked out once a round and then follows the
starts of the round. How many engines a round looks at is bounded, see
``EngineFleet.find_candidates``; so is the time of a decision.

See Also:
    placement: chooses among the engines that are open here.
"""

from collections.abc import Iterable

from daisypick_core.scheduling import engine_estimate
from daisypick_core.scheduling import engine_fleet
from daisypick_core.scheduling import placement

# What is beyond an organisation's share starts only while a quarter of all
# slots is free and engines have no more than eight tenths to read of what
# they may have; so what is within finds room at once. An engine counts with
# no more than that: one long prompt does not make a calm fleet busy.
_SPARE_SLOT_SHARE = 0.75
_SPARE_BACKLOG_SHARE = 0.8


class EngineCandidates:
    """Open and busy engines at one moment.

    An engine is open while it has a free slot, little to read and has not
    just failed.

    Attributes:
        engine_by_server: What is believed of the engines looked at.
        backlog_by_server: Unread tokens of those that are open.
        busy: Those that are closed only for what they have to read.
    """

    def __init__(self, *, fleet: engine_fleet.EngineFleet, now: float) -> None:
        self._fleet = fleet
        self._now = now
        self._max_wait = placement.MAX_BACKLOG_SECONDS * fleet.share
        self._wait_by_server: dict[str, float] = {}
        ejected = [
            server
            for server in fleet.outcomes.find_aside(now)
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
        """Look at more engines."""
        for server in servers:
            if server not in self.engine_by_server and server in self._fleet:
                self._add(server)

    def _add(self, server: str) -> None:
        engine = self._fleet.find(server)
        self.engine_by_server[server] = engine
        if self._fleet.outcomes.is_aside(server, self._now):
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
        """A request was started at an open engine."""
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
        """Return the least seconds of reading ahead at an open engine."""
        return min(
            self._wait_by_server[name] for name in self.backlog_by_server
        )

    def is_spare(self) -> bool:
        """Tell whether there is capacity that nobody else wants."""
        waits = self._wait_by_server.values()
        wait = sum(min(wait, self._max_wait) for wait in waits)
        return (
            self._running < self._slots * _SPARE_SLOT_SHARE
            and wait < self._max_wait * len(waits) * _SPARE_BACKLOG_SHARE
        )
