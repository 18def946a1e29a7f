"""What the dispatcher asks its driver to do."""

import typing

from daisypick_core.messages import attempt as attempt_message
from daisypick_core.results import failure as failure_value


class Dispatch(typing.NamedTuple):
    """Send the attempt to the agent at ``agent`` (``host:port``)."""

    attempt: attempt_message.Attempt
    agent: str


class Withdraw(typing.NamedTuple):
    """Ask the agent to bar the attempt, then report its answer."""

    attempt: attempt_message.Attempt
    agent: str


class Cancel(typing.NamedTuple):
    """Tell the agent that nobody waits for the attempt any more."""

    attempt: attempt_message.Attempt
    agent: str


class Fail(typing.NamedTuple):
    """Give the caller its final answer: a failure."""

    request_id: str
    failure: failure_value.Failure


Action = Dispatch | Withdraw | Cancel | Fail
