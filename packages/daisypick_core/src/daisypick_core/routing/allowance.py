"""How many attempts of one organisation a router lets wait at agents.

Presence at many agents lets their gates choose fairly; too much of it fills
their queues, and each refusal is a wasted attempt. Nobody knows how many
other routers hold work for the organisation, so the number is found as a
sender finds its congestion window: it doubles until the first refusal, is
halved by one, and then grows by one for each round that went well.

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
_LEAST = 1.0
_MOST = 10_000.0
# Refusals closer together than this are one event: they answer attempts
# that were on their way when the first came back.
_ROUND = 0.25


class Allowance:
    """An additive-increase, multiplicative-decrease window."""

    def __init__(self) -> None:
        self._value = _INITIAL
        self._is_probing = True
        self._refused_at = float("-inf")

    @property
    def value(self) -> int:
        """Attempts that may wait at agents."""
        return int(self._value)

    def started(self) -> None:
        """Note that an attempt left an agent's queue and runs."""
        step = 1.0 if self._is_probing else 1.0 / self._value
        self._value = min(_MOST, self._value + step)

    def refused(self, now: float) -> None:
        """Note that an agent's queue was full."""
        if now < self._refused_at + _ROUND:
            return
        self._refused_at = now
        self._is_probing = False
        self._value = max(_LEAST, self._value / 2.0)
