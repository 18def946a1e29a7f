"""Classification of the refusals of agents.

* ``FINAL``: the refusal is the final response to the request.
* ``MOVES``: the agent currently accepts no work, independently of the request;
  the request is sent to another agent without spending a retry.
* ``NO_RETRY``: another attempt would fail in the same way.
* All other refusals are failures of the agent or its backend server; the
  request is retried.
"""

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import request as request_value

FINAL = frozenset(
    {
        codes.BAD_REQUEST.number,
        codes.DEADLINE_PASSED.number,
        codes.STORE_UNAVAILABLE.number,
        codes.KEY_IN_PROGRESS.number,
        codes.KEY_REUSED.number,
        codes.OUTCOME_UNKNOWN.number,
    }
)
NO_RETRY = frozenset({codes.ANSWER_DIFFERS.number})
MOVES = frozenset(
    {
        codes.DRAINING.number,
        codes.STALE_INCARNATION.number,
        codes.STALE_EPOCH.number,
        codes.WITHDRAWN.number,
        codes.AGENT_QUEUE_FULL.number,
        codes.NOT_CONFIGURED.number,
    }
)


def final_failure(
    job: request_value.Job, refusal: failure_value.Failure
) -> failure_value.Failure:
    """Return the failure that is true for all attempts of a job.

    An attempt that broke off may have run. The refusal of a later attempt as
    "not run" applies to that attempt only: reported to the caller unchanged,
    it would deny that an earlier attempt may have run.
    """
    if not job.may_have_run or refusal.ran == codes.RAN_UNKNOWN:
        return refusal
    return failure_value.Failure(
        code=codes.OUTCOME_UNKNOWN,
        reason=f"an earlier attempt broke off; then: {refusal.reason}",
        retry_after=refusal.retry_after,
    )
