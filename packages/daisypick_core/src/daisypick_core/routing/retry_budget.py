"""How many retries the health of the fleet allows.

Every first attempt earns a fraction of a retry; each retry spends a whole
one. Under an overload that fails everything, attempts per request stay
below ``1 + ratio``, so that retries cannot become a storm.

Examples:
    >>> budget = RetryBudget(ratio=0.5, burst=1.0)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.earn(); budget.earn(); budget.try_spend()
    True
"""

DEFAULT_RATIO = 0.1
DEFAULT_BURST = 10.0


class RetryBudget:
    """A token bucket that is filled by first attempts."""

    def __init__(
        self, *, ratio: float = DEFAULT_RATIO, burst: float = DEFAULT_BURST
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def earn(self) -> None:
        """Note a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take one retry if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
