"""How fast a queue empties, for ``retry_after`` values that are true.

A caller that is refused should come back when there is room, neither before
(its request is refused again) nor long after (capacity idles).

Examples:
    >>> rate = DrainRate()
    >>> rate.retry_after(10)
    1.0
    >>> for second in range(200):
    ...     rate.left(second * 0.5)
    >>> round(rate.retry_after(10), 1), rate.retry_after(1_000_000)
    (5.0, 30.0)
"""

_SMOOTHING = 0.1
_UNKNOWN = 1.0
_SHORTEST = 0.05
_LONGEST = 30.0


class DrainRate:
    """A moving average of the seconds between departures."""

    def __init__(self) -> None:
        self._last: float | None = None
        self._interval: float | None = None

    def left(self, now: float) -> None:
        """Note that an item left the queue and was served."""
        if self._last is not None:
            sample = now - self._last
            known = sample if self._interval is None else self._interval
            self._interval = known + _SMOOTHING * (sample - known)
        self._last = now

    def retry_after(self, ahead: int) -> float:
        """Return the seconds until ``ahead`` items have left."""
        if self._interval is None:
            return _UNKNOWN
        return min(_LONGEST, max(_SHORTEST, ahead * self._interval))
