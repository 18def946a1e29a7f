"""Keeping cold loads of model weights under the weight store's rate.

When a data centre returns, dozens of engines want their weights at once. The
rate is cut into a few permits, kept in one object of the platform's store.
Whoever takes a permit for a load of ``size`` bytes takes it for the seconds
that the permit's share of the rate needs for them, and nobody gives one back:
a permit lapses when it has not changed for its seconds since somebody else
*first saw* it. So loads stay under the rate whatever happens to their
processes, and no clock is shared. The store's own ``retry_after`` still
counts: then the load is asked for again, under the same permit.
"""

import random
import typing

from daisypick_core.orders import actions
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import backoff

_DRIFT = 0.05
_POLL = 2.0
_LONGEST_POLL = 15.0

WANTED = "wanted"
WRITING = "writing"
FETCHING = "fetching"
IDLE = "idle"


class Ration(typing.NamedTuple):
    """The weight store's rate and how it is cut.

    Attributes:
        bytes_per_second: The rate.
        permits: Into how many permits it is cut.
    """

    bytes_per_second: float
    permits: int = 4


class WeightPermits:
    """One agent's way to a permit and through its load.

    Attributes:
        state: ``IDLE``, ``WANTED``, ``WRITING`` or ``FETCHING``.
    """

    def __init__(
        self, *, holder: str, ration: Ration, rng: random.Random
    ) -> None:
        if not holder:
            raise ValueError("holder: is empty")
        self.state = IDLE
        self._holder = holder
        self._ration = ration
        self._rng = rng
        self._model = ""
        self._size = 0
        self._first_seen: dict[int, tuple[actions.Permit, float]] = {}
        self._written: actions.Permit | None = None
        self._tries = 0
        self._next_at = float("-inf")

    def want(self, model: str, size: int) -> None:
        """Ask for a load of ``size`` bytes."""
        self._model = model
        self._size = size
        self.state = WANTED
        self._tries = 0

    def tick(self, now: float) -> list[actions.PermitAction]:
        """Look for a permit, or ask the weight store again."""
        if self.state == IDLE or now < self._next_at:
            return []
        self._wait(now)
        if self.state == FETCHING:
            return [actions.FetchWeights(model=self._model)]
        return [actions.ReadPermits()]

    def read(
        self,
        permits: tuple[actions.Permit, ...] | None,
        version: str | None,
        now: float,
    ) -> list[actions.PermitAction]:
        """Take what the store holds; ``None`` if there is no object."""
        table = list(permits or ())
        table += [actions.Permit()] * (self._ration.permits - len(table))
        self._observe(table, now)
        if self.state == WRITING:
            # The answer to a write was lost; the object tells.
            if self._written in table:
                return self.written(now)
            self.state = WANTED
        if self.state != WANTED:
            return []
        position = self._find_lapsed(table, now)
        if position is None:
            return []
        table[position] = self._written = actions.Permit(
            holder=self._holder,
            serial=table[position].serial + 1,
            seconds=self._seconds(),
        )
        self.state = WRITING
        return [actions.WritePermits(permits=tuple(table), if_version=version)]

    def written(self, now: float) -> list[actions.PermitAction]:
        """Note that the permit is taken."""
        if self.state != WRITING:
            return []
        self.state = FETCHING
        self._tries = 0
        self._wait(now)
        return [actions.FetchWeights(model=self._model)]

    def failed(self, failure: failure_value.Failure, now: float) -> None:
        """Note that the write failed or that its answer was lost."""
        if self.state == WRITING and failure.ran == "no":
            self.state = WANTED
        self._wait(now)

    def fetched(self, result: int | failure_value.Failure, now: float) -> None:
        """Note the weight store's answer, the size or a failure."""
        if self.state != FETCHING:
            return
        if not failure_value.is_failure(result):
            self.state = IDLE
            return
        self._wait(now)
        if result.retry_after is not None:
            pause = result.retry_after * self._rng.uniform(1.0, 1.5)
            self._next_at = now + pause

    def _seconds(self) -> float:
        share = self._ration.bytes_per_second / self._ration.permits
        return self._size / share

    def _wait(self, now: float) -> None:
        pause = backoff.pause(
            self._tries, self._rng, base=_POLL, longest=_LONGEST_POLL
        )
        self._tries += 1
        self._next_at = now + pause

    def _observe(self, table: list[actions.Permit], now: float) -> None:
        for position, permit in enumerate(table):
            seen = self._first_seen.get(position)
            if seen is None or seen[0] != permit:
                self._first_seen[position] = (permit, now)

    def _find_lapsed(
        self, table: list[actions.Permit], now: float
    ) -> int | None:
        lapsed = [
            position
            for position, permit in enumerate(table)
            if not permit.holder
            or now
            >= self._first_seen[position][1] + permit.seconds * (1.0 + _DRIFT)
        ]
        # All who wait see the same permit lapse; at random among several,
        # fewer of them collide.
        return self._rng.choice(lapsed) if lapsed else None
