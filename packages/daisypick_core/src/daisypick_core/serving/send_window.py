"""How often something happened in a sliding window.

Examples:
    >>> window = SendWindow(seconds=1.0)
    >>> window.add(now=0.0); window.add(now=0.5)
    >>> window.count(now=0.9), window.count(now=1.2)
    (2, 1)
"""

import collections
import math


class SendWindow:
    """Times of the last sends, oldest first.

    Attributes:
        last: Time of the newest send.
    """

    __slots__ = ("_seconds", "_times", "last")

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self.last = -math.inf
        self._times: collections.deque[float] = collections.deque()

    def set_seconds(self, seconds: float) -> None:
        """Take another length; what was counted stays as far as it lies in."""
        self._seconds = seconds

    def add(self, now: float) -> None:
        """Count one."""
        self._times.append(now)
        self.last = now

    def count(self, now: float) -> int:
        """Return how many lie within the window before ``now``."""
        oldest = now - self._seconds
        while self._times and self._times[0] <= oldest:
            self._times.popleft()
        return len(self._times)
