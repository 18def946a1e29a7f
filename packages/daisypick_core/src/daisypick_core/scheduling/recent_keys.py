"""Keys that were seen in the last seconds.

Kept in two generations, of which the older one is dropped: a key is known for
at least the given time, and for twice that at the most.

Examples:
    >>> keys = RecentKeys(seconds=4.0)
    >>> keys.add("r-1/0", now=0.0), keys.add("r-1/0", now=3.0)
    (True, False)
    >>> keys.add("r-1/0", now=20.0)
    True
"""

import math


class RecentKeys:
    """Which keys are new.

    Attributes:
        seconds: How long a key is known at the least.
    """

    def __init__(self, *, seconds: float) -> None:
        self.seconds = seconds
        self._newer: set[str] = set()
        self._older: set[str] = set()
        self._rotate_at = -math.inf

    def add(self, key: str, now: float) -> bool:
        """Note a key; return whether it is new."""
        if now >= self._rotate_at:
            stale = now >= self._rotate_at + self.seconds
            self._older = set() if stale else self._newer
            self._newer = set()
            self._rotate_at = now + self.seconds
        is_new = key not in self._newer and key not in self._older
        self._newer.add(key)
        return is_new
