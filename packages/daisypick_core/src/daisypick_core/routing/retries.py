"""The retry policy for returned and failed requests.

* A request that a gate returned as "not run" because it accepts no work is
  resent at once without spending a retry; the number of these moves is bounded
  by the number of requests that waited there. After a few moves there is a
  backoff before each, so that a request that every agent returns is not resent
  at the speed of the network.
* A full queue or a failure spends a retry from the budget. Under overload the
  budget is exhausted; then a request refused by a full queue waits for the
  budget, and a request that failed receives its final response.
* Retries end at the deadline of the request.
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
_MAX_RETRIES = 3
_BASE_BACKOFF = 0.05
_MAX_BACKOFF = 2.0


class Retries:
    """Requests in backoff, and the budget that limits retries."""

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
        """Return ``NOW``, ``PAUSED`` or ``SPENT`` for a job not run."""
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

    def failed(self, job: request_value.Job, now: float) -> str:
        """Decide on a job whose attempt broke off and may have run."""
        job.may_have_run = True
        # A request that crashes every engine would otherwise be retried across
        # the fleet and exhaust the shared budget; after a few attempts the
        # request itself is assumed to be the cause.
        if not job.request.is_repeatable or job.retries >= _MAX_RETRIES:
            return SPENT
        if not self.budget.try_spend():
            return SPENT
        self._pause(job, job.retries, now)
        job.retries += 1
        return PAUSED

    def release(self, request_id: str, now: float) -> request_value.Job | None:
        """Return a job whose backoff has ended; ``None`` if it is extended."""
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
        """Drop a job whose caller has disconnected."""
        self._job_by_request.pop(request_id, None)

    def _pause(self, job: request_value.Job, failures: int, now: float) -> None:
        pause = backoff.pause(
            max(0, failures),
            self._rng,
            base=_BASE_BACKOFF,
            max_mean=_MAX_BACKOFF,
        )
        request_id = job.request.request_id
        self._job_by_request[request_id] = job
        self._timers.add(
            min(now + pause, job.deadline),
            timers.Release(request_id=request_id),
        )
