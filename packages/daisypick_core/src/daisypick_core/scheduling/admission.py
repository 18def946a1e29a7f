"""Which requests may wait for an engine, and for how long.

A request waits while its first token can still meet its objective. Of an
organisation over its share only as many requests wait as may still start; the
rest is refused at once, except that a new request which can still meet its
objective displaces a waiting one which cannot.
"""

import random

from daisypick_core.scheduling import engine_fleet
from daisypick_core.scheduling import fair_share
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import recent_refusals
from daisypick_core.scheduling import wait_queue

# Bounds of the share of its objective that a request may wait. Within them it
# waits as long as the remaining time suffices for its own prefill.
MIN_WAIT_SHARE = 0.3
MAX_WAIT_SHARE = 0.6
# Number of refusals of a request after which it is no longer put behind first
# tries. Without a limit, 4 in 100 fewer are served at all in the overload of
# the tests; with 5, 2 in 100 fewer.
_MAX_DEFERRED = 3
# Upper bound of all waiting requests; more than start within an objective.
_MAX_WAITING = 400
# Upper bound for one organisation that is over its share. The largest ones
# start some 75 requests per second, so about this many start before the first
# of them expires.
MAX_WAITING_OVER_SHARE = 32


class Admission:
    """Admission control of a scheduler's queue."""

    def __init__(
        self,
        *,
        waiting: wait_queue.WaitQueue,
        shares: fair_share.FairShare,
        fleet: engine_fleet.EngineFleet,
        speed: prefill_speed.ServiceSpeed,
        rng: random.Random,
    ) -> None:
        self._waiting = waiting
        self._shares = shares
        self._fleet = fleet
        self._speed = speed
        self._rng = rng

    def is_full(self) -> bool:
        """Return whether the queue has reached its upper bound."""
        return len(self._waiting) >= _MAX_WAITING

    def add(
        self, work: job.Job, refused: recent_refusals.Refused | None = None
    ) -> None:
        """Queue a request for as long as it may wait.

        One whose prefill takes nearly the whole objective still waits a
        minimum time for an idle engine; it would miss its objective anyway.
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
            on_target_until=_find_target(work, refused) - seconds,
        )

    def _predict_first_token_seconds(self, work: job.Job) -> float:
        """Return the time to first token at an idle engine, with a margin.

        Tokens of the prompt that an engine has cached need no prefill.
        """
        cached = self._fleet.count_cached(work.parts)
        seconds = self._speed.predict(max(work.prompt_tokens - cached, 0))
        return seconds * (1.0 + self._speed.relative_error)

    def exceeds_queue_limit(self, work: job.Job, now: float) -> bool:
        """Return whether too many of an organisation over its share wait.

        Requests that go on with an answer are counted by themselves.
        """
        waiting = (
            self._waiting.count_going_on(work.organisation)
            if work.goes_on
            else self._waiting.count(work.organisation)
        )
        return waiting >= MAX_WAITING_OVER_SHARE and not self._shares.is_within(
            work.organisation, work.cost, now
        )

    def displace_infeasible(self, work: job.Job, now: float) -> job.Job | None:
        """Displace a request that misses its objective by one that meets it.

        An organisation over its share has a bounded number of waiting
        requests. Once no engine can start these in time, each of them would
        stay until it expires while new requests, which could still meet their
        objective, are refused at once: the organisation would get nothing.
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
        """Return the usage, share and queue of an organisation, for logs."""
        usage = self._shares.find_usage(organisation, now)
        return (
            f"{usage:.0f} tokens begun of"
            f" {self._shares.find_level(now):.0f},"
            f" {self._waiting.count(organisation)} wait"
        )


def _find_target(
    work: job.Job, refused: recent_refusals.Refused | None
) -> float:
    """Return when the first event is due by the order of waiting requests."""
    if refused is None or refused.count >= _MAX_DEFERRED:
        return work.objective_at
    return refused.objective_at
