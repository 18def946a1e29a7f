"""What an agent answers when it is asked about a claim that names it.

An answer "not run" lets another attempt take the key over, so the gate bars
the attempt before it says so.
"""

from daisypick_core.claims import entry as claim_entry
from daisypick_core.gate import actions
from daisypick_core.gate import attempts
from daisypick_core.gate import gate as gate_module


def answer(
    gate: gate_module.Gate, holder: claim_entry.Entry, now: float
) -> tuple[attempts.AttemptStatus, list[actions.Action]]:
    """Return what became of a holder's attempt, and the gate's actions.

    An agent that has restarted knows nothing of its predecessor's attempts:
    they may have run, so it must not answer "not run" for them.
    """
    if holder.incarnation != gate.incarnation:
        return attempts.AttemptStatus(state=attempts.GONE, ran=True), []
    return gate.withdraw(holder.attempt_id, now, epoch=holder.epoch)
