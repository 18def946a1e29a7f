"""Which requests may wait for an engine, and for how long.

A request waits while its own prompt can still be read in time. Of an
organisation beyond its share only so many wait as may still start; the rest of
its flood is refused at once, except that a new request which can be in time
takes the place of one which cannot.
"""

import random

from daisypick_core.scheduling import engine_fleet
from daisypick_core.scheduling import fair_share
from daisypick_core.scheduling import job
from daisypick_core.scheduling import reading_speed
from daisypick_core.scheduling import wait_queue

# Parts of the objective that a request may wait: as long as the rest suffices
# for its own prompt, within these bounds.
MIN_WAIT_SHARE = 0.3
MAX_WAIT_SHARE = 0.6
# Requests that wait at the most; more than start within an objective.
_MAX_WAITING = 400
# The same for one organisation that is beyond its share. The largest ones
# start some 75 requests a second, so about as many as these start before the
# first of them is given up.
MOST_WAITING_BEYOND = 32


class Admission:
    """Decides about the queue of a scheduler."""

    def __init__(
        self,
        *,
        waiting: wait_queue.WaitQueue,
        shares: fair_share.FairShare,
        fleet: engine_fleet.EngineFleet,
        speed: reading_speed.ServiceSpeed,
        rng: random.Random,
    ) -> None:
        self._waiting = waiting
        self._shares = shares
        self._fleet = fleet
        self._speed = speed
        self._rng = rng

    def is_full(self) -> bool:
        """Tell whether as many requests wait as may."""
        return len(self._waiting) >= _MAX_WAITING

    def add(self, work: job.Job) -> None:
        """Let a request wait as long as it may.

        One whose prompt takes nearly the whole objective still waits a while
        for an idle engine; it would be late anyway.
        """
        objective_seconds = work.objective_at - work.arrived_at
        seconds = self._predict_first_token_seconds(work)
        wait = max(
            objective_seconds - seconds, objective_seconds * MIN_WAIT_SHARE
        )
        self._waiting.add(
            work,
            expires_at=work.arrived_at
            + min(wait, objective_seconds * MAX_WAIT_SHARE),
            feasible_until=work.objective_at - seconds,
        )

    def _predict_first_token_seconds(self, work: job.Job) -> float:
        """Return the time to a first token at an idle engine, with a margin.

        What engines keep of the prompt is not read again.
        """
        cached = self._fleet.count_cached(work.parts)
        seconds = self._speed.predict(max(work.prompt_tokens - cached, 0))
        return seconds * (1.0 + self._speed.relative_error)

    def exceeds_queue_limit(self, work: job.Job, now: float) -> bool:
        """Tell whether too many of an organisation beyond its share wait."""
        waiting = self._waiting.count(work.organisation)
        return waiting >= MOST_WAITING_BEYOND and not self._shares.is_within(
            work.organisation, work.cost, now
        )

    def displace_infeasible(self, work: job.Job, now: float) -> job.Job | None:
        """Take out a request that is too late in favour of one that is not.

        Of a flood only some wait. Once these are too late for any engine they
        are refused one by one at their time, and each new one, which could be
        in time, at once: the organisation waits through and gets nothing.
        """
        if not self.exceeds_queue_limit(work, now):
            return None
        start_at = now + self._fleet.find_min_wait(self._rng, now)
        infeasible = self._waiting.find_infeasible(work.organisation, start_at)
        feasible_until = work.objective_at - self._predict_first_token_seconds(
            work
        )
        if infeasible is None or start_at > feasible_until:
            return None
        self._waiting.remove(infeasible)
        return infeasible

    def describe_share(self, organisation: str, now: float) -> str:
        """Say why an organisation's request is refused."""
        usage = self._shares.find_usage(organisation, now)
        return (
            f"beyond its organisation's share: {usage:.0f} tokens begun of"
            f" {self._shares.find_level(now):.0f},"
            f" {self._waiting.count(organisation)} wait"
        )
