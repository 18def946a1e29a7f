"""The retry budget of a router.

Every first attempt adds a fraction of a retry; each retry spends one. Even in
an overload in which all attempts fail, the number of attempts per request
stays below ``1 + ratio``, which prevents a retry storm. A slow refill over
time lets a router with little traffic retry as well.

Examples:
    >>> budget = RetryBudget(ratio=0.5, burst=1.0)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.earn(); budget.earn(); budget.try_spend()
    True
    >>> budget.refill(0.0); budget.refill(20.0); budget.try_spend()
    True
"""

DEFAULT_RATIO = 0.08
DEFAULT_BURST = 10.0
REFILL_PER_SECOND = 0.1


class RetryBudget:
    """A token bucket that is filled by first attempts."""

    def __init__(
        self, *, ratio: float = DEFAULT_RATIO, burst: float = DEFAULT_BURST
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def earn(self) -> None:
        """Record a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def refill(self, now: float) -> None:
        """Refill the budget for the time since the last call."""
        if self._refilled_at is not None:
            earned = (now - self._refilled_at) * REFILL_PER_SECOND
            self._tokens = min(self._burst, self._tokens + max(0.0, earned))
        self._refilled_at = now

    def try_spend(self) -> bool:
        """Spend one retry if available; return whether it was."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
