"""Why an attempt that arrives at a gate is refused.

The order of the checks matters: what is meant for another start of the agent,
or may have been settled and forgotten, is refused before anything is
concluded from the table of attempts.

See Also:
    ``daisypick_core.gate.attempts``: states, epochs, and what barred means.
"""

from daisypick_core.gate import admission
from daisypick_core.gate import attempts
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value


def check_offer(
    attempt: attempt_message.Attempt,
    *,
    incarnation: str,
    table: attempts.AttemptTable,
    gate_admission: admission.Admission,
    now: float,
) -> failure_value.Failure | None:
    """Return why an offered attempt cannot be taken, if so.

    A known attempt that waits, runs or is done passes: its router is attached
    to the answer that is being made.
    """
    if attempt.incarnation != incarnation:
        # After a restart the table is empty: an attempt that was sent to the
        # predecessor may have run there. Only the address in the attempt can
        # tell, so what is not for this start is refused. This holds for a
        # router's first attempt as well, which cannot know the address: taken
        # in, its doubled offer could run here after the predecessor has said
        # "not run".
        return failure_value.Failure(
            code=codes.STALE_INCARNATION,
            reason=f"incarnation: {attempt.incarnation} is not this one",
        )
    state = table.state(attempt.attempt_id)
    if state == attempts.BARRED:
        return failure_value.Failure(
            code=codes.WITHDRAWN, reason="attempt was refused before"
        )
    if state is not None:
        return None
    if table.is_stale(attempt.epoch):
        # Settled attempts of that age are forgotten: this one may have run,
        # or been reported as "not run". It must not start.
        return failure_value.Failure(
            code=codes.STALE_EPOCH,
            reason=f"epoch: {attempt.epoch} is not near {table.epoch}",
        )
    return check_start(attempt, gate_admission=gate_admission, now=now)


def check_start(
    attempt: attempt_message.Attempt,
    *,
    gate_admission: admission.Admission,
    now: float,
) -> failure_value.Failure | None:
    """Return why nothing starts now, or this attempt does not."""
    if not gate_admission.is_open:
        return make_draining(gate_admission.reasons[0])
    if attempt.deadline <= now:
        return failure_value.Failure(
            code=codes.DEADLINE_PASSED, reason="deadline: already passed"
        )
    return None


def make_draining(reason: str) -> failure_value.Failure:
    """Return the refusal of a gate that is closed for a reason."""
    is_fresh = reason == admission.NOT_CONFIGURED
    code = codes.NOT_CONFIGURED if is_fresh else codes.DRAINING
    return failure_value.Failure(code=code, reason=reason)
