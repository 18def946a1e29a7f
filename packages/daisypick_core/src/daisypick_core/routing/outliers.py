"""Which agents are slow compared with the others of their service.

A slow server keeps its slots busy for longer, looks less loaded than it is,
and spoils the high percentiles of everybody whose request lands there. It is
set aside: used only when no other agent has a free slot, since a slow slot is
better than none. After a while it is tried again, later each time.

Examples:
    >>> typical = TypicalFirstToken()
    >>> typical.is_outlier(9.0)
    False
    >>> for _ in range(200):
    ...     typical.learn(0.2)
    >>> typical.is_outlier(0.5), typical.is_outlier(1.0)
    (False, True)
"""

SLOW_FACTOR = 3.0
# Times to first token of an agent before it can be told to be slow.
LEAST_SAMPLES = 4
SET_ASIDE = 10.0
LONGEST_SET_ASIDE = 120.0
_STEP = 0.03
_LEAST_KNOWN = 20
_NOISE = 0.05


class TypicalFirstToken:
    """A running estimate of the median time to first token, seconds."""

    def __init__(self) -> None:
        self._median: float | None = None
        self._samples = 0

    def learn(self, seconds: float) -> None:
        """Take a time into the estimate."""
        self._samples += 1
        if self._median is None:
            self._median = max(0.001, seconds)
        elif seconds > self._median:
            self._median *= 1.0 + _STEP
        else:
            self._median /= 1.0 + _STEP

    def is_outlier(self, seconds: float) -> bool:
        """Tell whether an agent with this mean is slow."""
        if self._median is None or self._samples < _LEAST_KNOWN:
            return False
        return seconds > SLOW_FACTOR * self._median + _NOISE
