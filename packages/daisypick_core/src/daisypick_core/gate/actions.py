"""Actions that the gate requests from its driver.

The driver performs actions in order and reports their results with the
matching event: ``Start`` by ``progress`` and ``finish``, ``Claim`` by
``claim_settled``.
"""

import typing

from daisypick_core.messages import attempt as attempt_message
from daisypick_core.messages import load as load_message
from daisypick_core.results import failure as failure_value


class Start(typing.NamedTuple):
    """Send the attempt to the backend server now."""

    attempt: attempt_message.Attempt


class Claim(typing.NamedTuple):
    """Claim the attempt's idempotency key in the store, report the result."""

    attempt: attempt_message.Attempt


class Refuse(typing.NamedTuple):
    """Respond to the attempt with a failure; it never starts.

    Attributes:
        attempt: The attempt, barred from now on.
        failure: The reason.
        release_claim: Whether the store holds a granted claim of this
            attempt, which the driver releases as "not run".
    """

    attempt: attempt_message.Attempt
    failure: failure_value.Failure
    release_claim: bool = False


class Cancel(typing.NamedTuple):
    """Stop a running attempt at the backend server."""

    attempt: attempt_message.Attempt


class Hint(typing.NamedTuple):
    """Notify the router of a waiting attempt that another agent is idle.

    Attributes:
        attempt: The attempt that waits here.
        agent: Address of the idle agent.
        load: The load that the idle agent reported.
    """

    attempt: attempt_message.Attempt
    agent: str
    load: load_message.Load


Action = Start | Claim | Refuse | Cancel | Hint
