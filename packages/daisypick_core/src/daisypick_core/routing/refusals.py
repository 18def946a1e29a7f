"""What a router makes of an agent's refusal.

* ``FINAL``: the refusal is the request's answer.
* ``MOVES``: the agent takes nothing now, which is no fault of the request;
  it goes elsewhere and costs no retry.
* ``NO_RETRY``: another run would end the same way.
* Everything else is a failure of the agent or its backend server: a retry.
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


def as_answer(
    job: request_value.Job, refusal: failure_value.Failure
) -> failure_value.Failure:
    """Return what the caller may truly be told about a job.

    An attempt that broke off may have run. A later one that is refused as
    "not run" speaks for itself only: told to the caller as it is, it would
    deny a run that may have happened.
    """
    if not job.may_have_run or refusal.ran == codes.RAN_UNKNOWN:
        return refusal
    return failure_value.Failure(
        code=codes.OUTCOME_UNKNOWN,
        reason=f"an earlier attempt broke off; then: {refusal.reason}",
        retry_after=refusal.retry_after,
    )
