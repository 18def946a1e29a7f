"""The process-wide rate limit of calls to the platform.

The rates at which the platform serves the whole fleet grow more slowly than
the fleet, so each process limits its calls. All calls of a process share one
budget.

Examples:
    >>> now = [0.0]
    >>> budget = CallBudget(rate=2.0, burst=1.0, clock=lambda: now[0])
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.seconds_until_next()
    0.5
    >>> now[0] = 0.5
    >>> budget.try_spend()
    True
"""

from collections.abc import Callable
import time

DEFAULT_RATE = 5.0
DEFAULT_BURST = 50.0


class CallBudget:
    """A token bucket for calls.

    Args:
        rate: Sustained calls per second.
        burst: Maximum number of calls at once.
        clock: Returns monotonic time in seconds.

    Raises:
        ValueError: ``rate`` or ``burst`` allows no call at all.
    """

    def __init__(
        self,
        *,
        rate: float = DEFAULT_RATE,
        burst: float = DEFAULT_BURST,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        if rate <= 0:
            raise ValueError(f"rate: {rate} is not above 0")
        if burst < 1:
            raise ValueError(f"burst: {burst} is below 1")
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._refilled_at = clock()

    def try_spend(self) -> bool:
        """Take one token and return whether there was one."""
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def seconds_until_next(self) -> float:
        """Return the seconds until the next call is allowed, 0 if it is now."""
        self._refill()
        return max(0.0, 1.0 - self._tokens) / self._rate

    def _refill(self) -> None:
        now = self._clock()
        earned = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._refilled_at = now
