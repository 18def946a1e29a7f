"""Keys that were recorded in the last seconds.

Two generations are kept and the older one is dropped as a whole: a key is
remembered for at least the given time and at most twice that.

Examples:
    >>> keys = RecentKeys(seconds=4.0)
    >>> keys.add("r-1/0", now=0.0), keys.add("r-1/0", now=3.0)
    (True, False)
    >>> keys.add("r-1/0", now=20.0)
    True
"""

import math


class RecentKeys:
    """Set of recent keys.

    Attributes:
        seconds: Least time for which a key is remembered.
    """

    def __init__(self, *, seconds: float) -> None:
        self.seconds = seconds
        self._newer: set[str] = set()
        self._older: set[str] = set()
        self._rotate_at = -math.inf

    def add(self, key: str, now: float) -> bool:
        """Record a key; return whether it is new."""
        if now >= self._rotate_at:
            stale = now >= self._rotate_at + self.seconds
            self._older = set() if stale else self._newer
            self._newer = set()
            self._rotate_at = now + self.seconds
        is_new = key not in self._newer and key not in self._older
        self._newer.add(key)
        return is_new
