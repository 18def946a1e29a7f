"""The weight store, which gives out so many models a minute.

Examples:
    >>> weights = WeightStore(per_minute=1.0, burst=1.0)
    >>> weights.fetch("pine-7b", 0.0)
    Grant(size=1073741824, retry_after=0.0)
    >>> weights.fetch("pine-7b", 15.0)
    Grant(size=0, retry_after=45.0)
"""

import typing

DEFAULT_SIZE = 1 << 30
SECONDS_PER_MINUTE = 60.0


class Grant(typing.NamedTuple):
    """Size in bytes, or the seconds to wait if the rate is spent."""

    size: int
    retry_after: float


class WeightStore:
    """A token bucket before the weights of the models."""

    def __init__(self, *, per_minute: float, burst: float) -> None:
        self._rate = per_minute / SECONDS_PER_MINUTE
        self._burst = burst
        self._tokens = burst
        self._at = 0.0
        self.size_by_model: dict[str, int] = {}

    def fetch(self, model: str, now: float) -> Grant:
        """Take a model if the rate allows it."""
        earned = max(0.0, now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._at = now
        if self._tokens < 1.0:
            wait = (1.0 - self._tokens) / self._rate
            return Grant(size=0, retry_after=wait)
        self._tokens -= 1.0
        size = self.size_by_model.get(model, DEFAULT_SIZE)
        return Grant(size=size, retry_after=0.0)
