"""Actions of the dispatcher that its driver carries out."""

import typing

from daisypick_core.messages import attempt as attempt_message
from daisypick_core.results import failure as failure_value


class Dispatch(typing.NamedTuple):
    """Send the attempt to the agent at ``agent`` (``host:port``)."""

    attempt: attempt_message.Attempt
    agent: str


class Withdraw(typing.NamedTuple):
    """Ask the agent to bar the attempt, then report its response."""

    attempt: attempt_message.Attempt
    agent: str


class Cancel(typing.NamedTuple):
    """Cancel the attempt at the agent; its caller no longer waits."""

    attempt: attempt_message.Attempt
    agent: str


class Fail(typing.NamedTuple):
    """Send the caller its final response: a failure."""

    request_id: str
    failure: failure_value.Failure


Action = Dispatch | Withdraw | Cancel | Fail
