"""Why a request of a model service is refused before it starts.

Numbers are stable and are never reused; metrics and logs show them. Between
routers a refusal carries only its text, which begins with that of its reason,
so that routers of an older version understand it.

Examples:
    >>> reason = find("beyond its organisation's share: 90 tokens begun of 80")
    >>> reason, reason.number
    (<Reason.OVER_SHARE: (3, "beyond its organisation's share")>, 3)
    >>> find("the moon is full")
    <Reason.UNKNOWN: (0, 'unknown')>
"""

import enum


class Reason(enum.Enum):
    """A numbered reason.

    Attributes:
        number: Its number.
        text: How the text of a refusal begins.
    """

    UNKNOWN = (0, "unknown")
    NO_SERVER = (1, "no backend server takes work")
    ALL_TRIED = (2, "all backend servers were tried")
    OVER_SHARE = (3, "beyond its organisation's share")
    QUEUE_FULL = (4, "too many requests wait")
    DISPLACED = (5, "no engine can begin it in time")
    WAITED_OUT = (6, "no engine has room in time")
    PAUSED = (7, "its organisation was refused just before")
    TOO_MANY_ASK = (8, "as many of its organisation ask as may wait")
    CANNOT_END = (9, "its answer cannot end in time")
    QUARANTINED = (10, "a part of its prompt crashed servers")

    def __init__(self, number: int, text: str) -> None:
        self.number = number
        self.text = text


def find(text: str) -> Reason:
    """Return the reason of a refusal from its text."""
    for reason in Reason:
        if text.startswith(reason.text):
            return reason
    return Reason.UNKNOWN
