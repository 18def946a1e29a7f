"""What the gate asks its driver to do.

The driver carries actions out in order. It reports what came of them with
the matching event: ``Start`` by ``progress`` and ``finish``, ``Claim`` by
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
    """Claim the attempt's idempotency key in the store, then report."""

    attempt: attempt_message.Attempt


class Refuse(typing.NamedTuple):
    """Answer the attempt with a failure; it never starts.

    Attributes:
        attempt: The attempt, barred from now on.
        failure: Why.
        release_claim: Whether the store holds a granted claim of this
            attempt, which the driver gives back as "not run".
    """

    attempt: attempt_message.Attempt
    failure: failure_value.Failure
    release_claim: bool = False


class Cancel(typing.NamedTuple):
    """Stop a running attempt at the backend server."""

    attempt: attempt_message.Attempt


class Hint(typing.NamedTuple):
    """Tell the router of a waiting attempt of an idle agent.

    Attributes:
        attempt: The attempt that waits here.
        agent: Address of the idle agent.
        load: What that agent said of itself.
    """

    attempt: attempt_message.Attempt
    agent: str
    load: load_message.Load


Action = Start | Claim | Refuse | Cancel | Hint
