"""Estimates how fast a queue drains, for accurate ``retry_after`` values.

A rejected caller should retry when the queue has room, neither earlier (its
request is rejected again) nor much later (capacity stays idle).

Examples:
    >>> rate = DrainRate()
    >>> rate.retry_after(10)
    1.0
    >>> for second in range(200):
    ...     rate.record_departure(second * 0.5)
    >>> round(rate.retry_after(10), 1), rate.retry_after(1_000_000)
    (5.0, 30.0)
"""

_SMOOTHING = 0.1
_DEFAULT_SECONDS = 1.0
_MIN_SECONDS = 0.05
_MAX_SECONDS = 30.0


class DrainRate:
    """A moving average of the seconds between departures."""

    def __init__(self) -> None:
        self._last_departure: float | None = None
        self._mean_interval: float | None = None

    def record_departure(self, now: float) -> None:
        """Record that an item left the queue and was served."""
        if self._last_departure is not None:
            sample = now - self._last_departure
            mean = (
                sample if self._mean_interval is None else self._mean_interval
            )
            self._mean_interval = mean + _SMOOTHING * (sample - mean)
        self._last_departure = now

    def retry_after(self, ahead: int) -> float:
        """Return the estimated seconds until ``ahead`` items have left."""
        if self._mean_interval is None:
            return _DEFAULT_SECONDS
        return min(_MAX_SECONDS, max(_MIN_SECONDS, ahead * self._mean_interval))
