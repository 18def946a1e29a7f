"""Bounds the log lines about events that others may cause without end."""

import collections
import time

_PERIOD_SECONDS = 10.0


class LineLimit:
    """Allows a number of lines of each topic in a period of ten seconds.

    Examples:
        >>> limit = LineLimit(most=2)
        >>> [limit.allows("servers") for _ in range(3)]
        [True, True, False]
        >>> limit.allows("config")
        True
    """

    def __init__(self, *, most: int) -> None:
        self._most = most
        self._written_by_topic: dict[str, collections.deque[float]] = (
            collections.defaultdict(lambda: collections.deque(maxlen=most))
        )

    def allows(self, topic: str) -> bool:
        """Return whether a line may be written, and count it if so."""
        now = time.monotonic()
        written = self._written_by_topic[topic]
        if len(written) == self._most and now - written[0] < _PERIOD_SECONDS:
            return False
        written.append(now)
        return True
