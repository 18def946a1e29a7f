"""Detection and ejection of agents that are slow for their service.

A slow server occupies its slots for longer, appears less loaded than it is,
and increases the tail latency of all requests sent to it. Its agent is
ejected: it is used only when no other agent has a free slot, since a slow slot
is better than none. The ejection is limited in time, with exponential backoff.

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
# Minimum number of samples of an agent before it can be ejected.
MIN_SAMPLES = 4
EJECTION_SECONDS = 10.0
MAX_EJECTION_SECONDS = 120.0
_STEP = 0.03
_MIN_SERVICE_SAMPLES = 20
_NOISE_SECONDS = 0.05


class TypicalFirstToken:
    """A running estimate of the median time to first token, seconds."""

    def __init__(self) -> None:
        self._median: float | None = None
        self._samples = 0

    def learn(self, seconds: float) -> None:
        """Add a sample to the estimate."""
        self._samples += 1
        if self._median is None:
            self._median = max(0.001, seconds)
        elif seconds > self._median:
            self._median *= 1.0 + _STEP
        else:
            self._median /= 1.0 + _STEP

    def is_outlier(self, seconds: float) -> bool:
        """Return whether an agent with this average is slow."""
        if self._median is None or self._samples < _MIN_SERVICE_SAMPLES:
            return False
        return seconds > SLOW_FACTOR * self._median + _NOISE_SECONDS
