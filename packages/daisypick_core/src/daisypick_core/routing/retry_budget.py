"""How many retries the health of the fleet allows.

Every first attempt earns a fraction of a retry; each retry spends a whole
one. Under an overload that fails everything, attempts per request stay
below ``1 + ratio``, so that retries cannot become a storm. A trickle by time
lets a quiet router retry at all.

Examples:
    >>> budget = RetryBudget(ratio=0.5, burst=1.0)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.earn(); budget.earn(); budget.try_spend()
    True
    >>> budget.trickle(0.0); budget.trickle(20.0); budget.try_spend()
    True
"""

DEFAULT_RATIO = 0.08
DEFAULT_BURST = 10.0
TRICKLE_PER_SECOND = 0.1


class RetryBudget:
    """A token bucket that is filled by first attempts."""

    def __init__(
        self, *, ratio: float = DEFAULT_RATIO, burst: float = DEFAULT_BURST
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst
        self._trickled_at: float | None = None

    def earn(self) -> None:
        """Note a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def trickle(self, now: float) -> None:
        """Earn what the time since the last call allows."""
        if self._trickled_at is not None:
            earned = (now - self._trickled_at) * TRICKLE_PER_SECOND
            self._tokens = min(self._burst, self._tokens + max(0.0, earned))
        self._trickled_at = now

    def try_spend(self) -> bool:
        """Take one retry if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
