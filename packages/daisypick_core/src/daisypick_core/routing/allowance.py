"""How many attempts of one organisation a router lets wait at agents.

With attempts waiting at many agents, the agents' gates can schedule fairly;
too many fill the agents' queues, and each refusal is a wasted attempt. The
number of other routers with work of the organisation is unknown, so the limit
is found like a TCP congestion window: it doubles per round until the first
refusal (slow start), is halved by a refusal, and then grows by one per round
without a refusal.

Examples:
    >>> allowance = Allowance()
    >>> allowance.value
    16
    >>> for _ in range(16):
    ...     allowance.started()
    >>> allowance.value
    32
    >>> allowance.refused(10.0); allowance.refused(10.1); allowance.value
    16
    >>> for _ in range(16):
    ...     allowance.started()
    >>> allowance.value
    16
    >>> allowance.started(); allowance.value
    17
"""

_INITIAL = 16.0
_MIN = 1.0
_MAX = 10_000.0
# Refusals within this time, seconds, count as one event: they concern attempts
# that were in flight when the first refusal arrived.
_REFUSAL_WINDOW = 0.25


class Allowance:
    """An additive-increase, multiplicative-decrease window."""

    def __init__(self) -> None:
        self._value = _INITIAL
        self._is_slow_start = True
        self._refused_at = float("-inf")

    @property
    def value(self) -> int:
        """Number of attempts that may wait at agents."""
        return int(self._value)

    def started(self) -> None:
        """Record that an attempt left an agent's queue and runs."""
        step = 1.0 if self._is_slow_start else 1.0 / self._value
        self._value = min(_MAX, self._value + step)

    def refused(self, now: float) -> None:
        """Record that an agent's queue was full."""
        if now < self._refused_at + _REFUSAL_WINDOW:
            return
        self._refused_at = now
        self._is_slow_start = False
        self._value = max(_MIN, self._value / 2.0)
