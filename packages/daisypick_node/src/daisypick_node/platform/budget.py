"""The process-wide budget of calls to the platform.

The platform serves the whole fleet at rates that grow more slowly than the
fleet, so no process may call it as often as it likes. One budget is shared by
all of a process's calls, whoever makes them.

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
    """A token bucket of calls.

    Args:
        rate: Calls a second that the process may make for long.
        burst: Calls that it may make at once.
        clock: Seconds, monotonic.

    Raises:
        ValueError: ``rate`` or ``burst`` leaves no room for any call.
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
        self._at = clock()

    def try_spend(self) -> bool:
        """Take one call if there is one."""
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def seconds_until_next(self) -> float:
        """Return the seconds until a call is due, 0 if one is now."""
        self._refill()
        return max(0.0, 1.0 - self._tokens) / self._rate

    def _refill(self) -> None:
        now = self._clock()
        earned = (now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._at = now
