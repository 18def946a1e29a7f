"""What a scheduler asks its driver to do."""

import typing


class Start(typing.NamedTuple):
    """Send a request to a backend server now."""

    key: str
    server: str


class Refuse(typing.NamedTuple):
    """Tell the caller that its request has not run.

    Attributes:
        key: The request.
        retry_after: Seconds after which to come back.
        reason: For the log.
    """

    key: str
    retry_after: float
    reason: str


Action = Start | Refuse
