"""A straight line that follows observations.

A weighted least squares fit with exponential decay. Errors of times grow with
the times themselves, so an observation is weighted by the inverse of its
predicted time.

Examples:
    >>> line = LearnedLine(base=0.03, slope=0.001, prior_x=10.0, decay=0.99)
    >>> for _ in range(100):
    ...     line.learn(5.0, 0.2); line.learn(20.0, 0.5)
    >>> round(line.predict(10.0), 2)
    0.29
"""

# Least value of the line at zero, in seconds.
_MIN_SECONDS = 0.001
# Largest ratio, either way, between an observed and a predicted time; larger
# ones are clamped. Some requests wait for a reason that the line does not
# describe, such as a slot in a full batch: without the bound a few of these
# outliers flatten the line.
MAX_ERROR_RATIO = 2.0


class LearnedLine:
    """Seconds as ``base + x * slope``.

    Args:
        base: Initial seconds at zero.
        slope: Initial seconds per unit of ``x``.
        prior_x: The initial line weighs as much as an observation at zero and
            one here, so a handful of observations outweigh it.
        decay: Factor of the weight of earlier observations at each new one.
        may_be_flat: Whether the slope may be zero. Where it may not,
            observations that show none leave the line as it is.
    """

    def __init__(
        self,
        *,
        base: float,
        slope: float,
        prior_x: float,
        decay: float,
        may_be_flat: bool = False,
    ) -> None:
        self._may_be_flat = may_be_flat
        self.base = base
        self.slope = slope
        self._decay = decay
        self._weight = 0.0
        self._x = 0.0
        self._seconds = 0.0
        self._x_squared = 0.0
        self._x_seconds = 0.0
        self._add(0.0, base)
        self._add(prior_x, self.predict(prior_x))

    def predict(self, x: float) -> float:
        """Return the seconds at ``x``."""
        return self.base + x * self.slope

    def learn(self, x: float, seconds: float) -> None:
        """Learn from an observation."""
        expected = self.predict(x)
        seconds = min(
            max(seconds, expected / MAX_ERROR_RATIO),
            expected * MAX_ERROR_RATIO,
        )
        self._weight *= self._decay
        self._x *= self._decay
        self._seconds *= self._decay
        self._x_squared *= self._decay
        self._x_seconds *= self._decay
        self._add(x, seconds)
        self._fit()

    def _add(self, x: float, seconds: float) -> None:
        weight = 1.0 / max(self.predict(x), _MIN_SECONDS)
        self._weight += weight
        self._x += weight * x
        self._seconds += weight * seconds
        self._x_squared += weight * x * x
        self._x_seconds += weight * x * seconds

    def _fit(self) -> None:
        mean_x = self._x / self._weight
        mean_seconds = self._seconds / self._weight
        variance = self._x_squared / self._weight - mean_x**2
        covariance = self._x_seconds / self._weight - mean_x * mean_seconds
        if variance <= 1.0:
            # Observations at one place tell nothing of the slope.
            offset = mean_seconds - self.slope * mean_x
            self.base = max(offset, _MIN_SECONDS)
            return
        slope = max(covariance / variance, 0.0)
        base = mean_seconds - slope * mean_x
        if base < _MIN_SECONDS:
            base = _MIN_SECONDS
            slope = (mean_seconds - base) / max(mean_x, 1.0)
        if slope > 0.0 or self._may_be_flat:
            self.base, self.slope = base, slope
