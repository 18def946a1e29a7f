"""Handles status queries about attempts that hold a key.

After a response "not run" another attempt may take over the key, so the gate
bars the attempt before it responds.
"""

from daisypick_core.claims import entry as claim_entry
from daisypick_core.gate import actions
from daisypick_core.gate import attempts
from daisypick_core.gate import gate as gate_module


def answer(
    gate: gate_module.Gate, holder: claim_entry.Entry, now: float
) -> tuple[attempts.AttemptStatus, list[actions.Action]]:
    """Return the status of a holder's attempt, and the gate's actions.

    A restarted agent has no state of the attempts of its previous
    incarnation. They may have run, so it must not report them as "not run".
    """
    if holder.incarnation != gate.incarnation:
        return attempts.AttemptStatus(state=attempts.GONE, ran=True), []
    return gate.withdraw(holder.attempt_id, now, epoch=holder.epoch)
