"""When a request that came back goes out again.

* What a gate gave back as "not run" because it takes nothing now moves on at
  once and costs nothing: those moves are as many as the requests that waited
  there. After a few of them the request pauses before each, so that one that
  every agent gives back does not circle at the speed of the network.
* A full queue and a failure cost a retry of the budget. Under overload the
  budget is spent; then a request with a full queue behind it waits for the
  budget, and one with a failure behind it gets its answer.
* All of it ends at the request's deadline.
"""

import random

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import backoff
from daisypick_core.routing import refusals
from daisypick_core.routing import request as request_value
from daisypick_core.routing import retry_budget
from daisypick_core.routing import timers

NOW = "now"
PAUSED = "paused"
SPENT = "spent"

_FREE_MOVES = 3
_MOST_RETRIES = 3
_BASE = 0.05
_LONGEST = 2.0


class Retries:
    """Requests in their backoff, and the budget that bounds retries."""

    def __init__(
        self,
        *,
        budget: retry_budget.RetryBudget,
        rng: random.Random,
        clock: timers.Timers,
    ) -> None:
        self.budget = budget
        self._rng = rng
        self._timers = clock
        self._job_by_request: dict[str, request_value.Job] = {}

    def __len__(self) -> int:
        return len(self._job_by_request)

    def returned(
        self,
        job: request_value.Job,
        refusal: failure_value.Failure,
        now: float,
    ) -> str:
        """Decide on a job that came back "not run": one of the words above."""
        job.moves += 1
        is_full = refusal.code.number == codes.AGENT_QUEUE_FULL.number
        is_retry = refusal.code.number not in refusals.MOVES
        if (is_full or is_retry) and not self.budget.try_spend():
            if is_retry:
                return SPENT
            job.needs_budget = True
        if not job.needs_budget and job.moves <= _FREE_MOVES:
            return NOW
        self._pause(job, max(0, job.moves - _FREE_MOVES), now)
        return PAUSED

    def broke(self, job: request_value.Job, now: float) -> str:
        """Decide on a job whose attempt broke off and may have run."""
        job.may_have_run = True
        # A request that makes each engine fall would otherwise go round the
        # fleet and spend everybody's budget; after a few runs the fault is
        # its own.
        if not job.request.is_repeatable or job.retries >= _MOST_RETRIES:
            return SPENT
        if not self.budget.try_spend():
            return SPENT
        self._pause(job, job.retries, now)
        job.retries += 1
        return PAUSED

    def release(self, request_id: str, now: float) -> request_value.Job | None:
        """Return a job whose pause is over; ``None`` if it goes on."""
        job = self._job_by_request.pop(request_id, None)
        if job is None or job.deadline <= now or not job.needs_budget:
            return job
        if not self.budget.try_spend():
            job.moves += 1
            self._pause(job, job.moves - _FREE_MOVES, now)
            return None
        job.needs_budget = False
        return job

    def forget(self, request_id: str) -> None:
        """Drop a job whose caller has gone."""
        self._job_by_request.pop(request_id, None)

    def _pause(self, job: request_value.Job, failures: int, now: float) -> None:
        pause = backoff.pause(
            max(0, failures), self._rng, base=_BASE, longest=_LONGEST
        )
        request_id = job.request.request_id
        self._job_by_request[request_id] = job
        self._timers.add(
            min(now + pause, job.deadline),
            timers.Release(request_id=request_id),
        )
