"""The baseline of the time to first token of one backend server.

The baseline stands near the 90th percentile of what a warm server shows, so
that a prompt without a cached prefix is no leap. While the server warms up
it follows a fall quickly, since a cold server's times say little about it.

Examples:
    >>> baseline = Baseline()
    >>> baseline.is_leap(9.0), baseline.keeps_up(9.0)
    (False, True)
    >>> for _ in range(100):
    ...     baseline.learn(0.2, is_cold=False)
    >>> baseline.is_leap(0.5), baseline.is_leap(2.0)
    (False, True)
    >>> baseline.keeps_up(0.3), baseline.keeps_up(0.5)
    (True, False)
"""

LEAP = 4.0
KEEPS_UP = 2.0
# Differences below this are noise, however small the baseline, seconds.
_NOISE = 0.05
_COLD_FALL = 0.3
_COLD_RISE = 0.1
# A rise nine times the fall settles at the 90th percentile.
_WARM_RISE = 0.09
_WARM_FALL = 0.01
_LEAST = 0.001


class Baseline:
    """A running estimate of a high percentile."""

    def __init__(self) -> None:
        self._seconds: float | None = None

    @property
    def leap_after(self) -> float | None:
        """Seconds beyond which a first token is a leap, if known."""
        if self._seconds is None:
            return None
        return LEAP * self._seconds + _NOISE

    def is_leap(self, seconds: float) -> bool:
        """Tell whether a time is far beyond the baseline."""
        limit = self.leap_after
        return limit is not None and seconds > limit

    def keeps_up(self, seconds: float) -> bool:
        """Tell whether a time allows more load."""
        if self._seconds is None:
            return True
        return seconds <= KEEPS_UP * self._seconds + _NOISE

    def learn(self, seconds: float, *, is_cold: bool) -> None:
        """Take a time, seconds, into the estimate."""
        seconds = max(_LEAST, seconds)
        if self._seconds is None:
            self._seconds = seconds
            return
        is_higher = seconds > self._seconds
        if is_cold:
            weight = _COLD_RISE if is_higher else _COLD_FALL
            self._seconds += weight * (seconds - self._seconds)
        else:
            factor = 1 + _WARM_RISE if is_higher else 1 - _WARM_FALL
            self._seconds *= factor
