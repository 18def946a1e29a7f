"""The baseline of the time to first token of one backend server.

The baseline estimates the 90th percentile of a warm server, so that a prompt
without a cached prefix is no outlier. While the server warms up, the baseline
follows decreases quickly, since the times of a cold server say little about
the warm one.

Examples:
    >>> baseline = Baseline()
    >>> baseline.is_outlier(9.0), baseline.keeps_up(9.0)
    (False, True)
    >>> for _ in range(100):
    ...     baseline.learn(0.2, is_cold=False)
    >>> baseline.is_outlier(0.5), baseline.is_outlier(2.0)
    (False, True)
    >>> baseline.keeps_up(0.3), baseline.keeps_up(0.5)
    (True, False)
"""

OUTLIER_FACTOR = 4.0
KEEP_UP_FACTOR = 2.0
# Differences below this are treated as noise for any baseline, seconds.
_NOISE_SECONDS = 0.05
_COLD_DECREASE = 0.3
_COLD_INCREASE = 0.1
# An increase nine times the decrease converges to the 90th percentile.
_WARM_INCREASE = 0.09
_WARM_DECREASE = 0.01
_MIN_SECONDS = 0.001


class Baseline:
    """A running estimate of a high percentile."""

    def __init__(self) -> None:
        self._seconds: float | None = None

    @property
    def outlier_after(self) -> float | None:
        """Time to first token above which it is an outlier, if known."""
        if self._seconds is None:
            return None
        return OUTLIER_FACTOR * self._seconds + _NOISE_SECONDS

    def is_outlier(self, seconds: float) -> bool:
        """Return whether a time is far above the baseline."""
        limit = self.outlier_after
        return limit is not None and seconds > limit

    def keeps_up(self, seconds: float) -> bool:
        """Return whether a time is close enough to allow more load."""
        if self._seconds is None:
            return True
        return seconds <= KEEP_UP_FACTOR * self._seconds + _NOISE_SECONDS

    def learn(self, seconds: float, *, is_cold: bool) -> None:
        """Update the estimate with a time, in seconds."""
        seconds = max(_MIN_SECONDS, seconds)
        if self._seconds is None:
            self._seconds = seconds
            return
        is_higher = seconds > self._seconds
        if is_cold:
            weight = _COLD_INCREASE if is_higher else _COLD_DECREASE
            self._seconds += weight * (seconds - self._seconds)
        else:
            factor = 1 + _WARM_INCREASE if is_higher else 1 - _WARM_DECREASE
            self._seconds *= factor
