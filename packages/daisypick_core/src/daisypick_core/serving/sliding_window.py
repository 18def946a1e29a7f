"""Counts events in a sliding window.

Examples:
    >>> window = SlidingWindow(seconds=1.0)
    >>> window.add(now=0.0); window.add(now=0.5)
    >>> window.count(now=0.9), window.count(now=1.2)
    (2, 1)
"""

import collections
import math


class SlidingWindow:
    """Times of the recent events, oldest first.

    Attributes:
        last: Time of the newest event.
    """

    __slots__ = ("_seconds", "_times", "last")

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self.last = -math.inf
        self._times: collections.deque[float] = collections.deque()

    def set_seconds(self, seconds: float) -> None:
        """Set the length; events within the new window still count."""
        self._seconds = seconds

    def add(self, now: float) -> None:
        """Count an event at ``now``."""
        self._times.append(now)
        self.last = now

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends at ``now``."""
        oldest = now - self._seconds
        while self._times and self._times[0] <= oldest:
            self._times.popleft()
        return len(self._times)
