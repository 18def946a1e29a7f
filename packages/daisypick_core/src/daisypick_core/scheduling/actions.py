"""Actions that a scheduler returns to its driver."""

import typing


class Start(typing.NamedTuple):
    """Send a request to a backend server now.

    Attributes:
        key: The request.
        server: Where it goes.
        cached: Prompt tokens in the server's prefix cache, as estimated.
        ahead: Prompt tokens queued for prefill at the server before it.
        max_cached: Most prompt tokens that any server has cached, as estimated.
        source: Server from which KV cache is copied; empty for none.
        copied: Prompt tokens that are copied from there.
    """

    key: str
    server: str
    cached: int = 0
    ahead: int = 0
    max_cached: int = 0
    source: str = ""
    copied: int = 0


class Refuse(typing.NamedTuple):
    """Refuse a request; the caller learns that it has not run.

    Attributes:
        key: The request.
        retry_after: Seconds after which the caller should retry.
        reason: Why it is refused, see ``refusal_reasons``.
        pause: Seconds in which further requests of the organisation would be
            refused too, so that routers need not submit them.
    """

    key: str
    retry_after: float
    reason: str
    pause: float = 0.0


Action = Start | Refuse
