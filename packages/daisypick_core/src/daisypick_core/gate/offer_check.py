"""Checks on an attempt that arrives at a gate.

The order of the checks matters: an attempt for another incarnation of the
agent is refused before its state is looked up, and an unknown attempt whose
epoch is stale, which may have been settled and removed, is never treated as
new.

See Also:
    ``daisypick_core.gate.attempts``: states, epochs, the meaning of barred.
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
    """Return why an offered attempt is refused, if it is.

    A known attempt that waits, runs or is done passes: its router is attached
    to the response in progress.
    """
    if attempt.incarnation != incarnation:
        # After a restart the table is empty, but an attempt that was sent to
        # the previous incarnation may have run there. Only the incarnation in
        # the attempt shows this, so any other one is refused. This includes a
        # router's first attempt, which cannot know the incarnation: if it were
        # accepted, a duplicate of the offer could run here after the previous
        # incarnation has reported "not run".
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
        # Settled attempts of that age have been removed. This one may have
        # run or been reported as "not run", so it must not start.
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
    """Return why this attempt may not start now, if it may not."""
    if not gate_admission.is_open:
        return make_draining_failure(gate_admission.reasons[0])
    if attempt.deadline <= now:
        return failure_value.Failure(
            code=codes.DEADLINE_PASSED, reason="deadline: already passed"
        )
    return None


def make_draining_failure(reason: str) -> failure_value.Failure:
    """Return the failure of a gate that is closed for a reason."""
    is_fresh = reason == admission.NOT_CONFIGURED
    code = codes.NOT_CONFIGURED if is_fresh else codes.DRAINING
    return failure_value.Failure(code=code, reason=reason)
