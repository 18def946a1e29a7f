"""What a scheduler asks its driver to do."""

import typing


class Start(typing.NamedTuple):
    """Send a request to a backend server now.

    Attributes:
        key: The request.
        server: Where it goes.
        kept: Prompt tokens that the server is believed to keep.
        ahead: Prompt tokens that it has to read before.
        elsewhere: Most prompt tokens that any server is believed to keep.
        source: Server from which KV cache is copied; empty for none.
        copied: Prompt tokens that are copied from there.
    """

    key: str
    server: str
    kept: int = 0
    ahead: int = 0
    elsewhere: int = 0
    source: str = ""
    copied: int = 0


class Refuse(typing.NamedTuple):
    """Tell the caller that its request has not run.

    Attributes:
        key: The request.
        retry_after: Seconds after which to come back.
        reason: For the log.
        pause: Seconds in which more requests of the organisation would be
            refused too, so that routers need not ask.
    """

    key: str
    retry_after: float
    reason: str
    pause: float = 0.0


Action = Start | Refuse
