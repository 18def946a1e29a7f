"""How much prefill an engine may start beside its decoding."""

import math

# Prefill that an engine may do at once after it was idle, in seconds.
_MAX_SECONDS = 0.3
# Least share of the time for prefill: predictions err, and an engine without
# any would get no request until the answer that limits it has ended.
_MIN_PREFILL_SHARE = 0.1
# Rate at which headroom is used, as a multiple of its even use until the
# deadline. Headroom that is left when an answer ends has kept prompts waiting
# for nothing; used up at once, it leaves none for an answer that turns out to
# be longer than predicted.
_HEADROOM_RATE = 2.5


class PrefillCredit:
    """Seconds of prefill that an engine may start.

    An engine with much headroom has no limit.

    Examples:
        >>> credit = PrefillCredit()
        >>> credit.update(10.0, headroom=0.2); credit.spend(0.4)
        >>> credit.update(10.1, headroom=0.2); credit.is_spent
        True
        >>> credit.update(10.3, headroom=0.2); credit.is_spent
        False
        >>> credit.spend(0.4); credit.update(10.3, headroom=0.9)
        >>> credit.is_spent
        False
    """

    def __init__(self) -> None:
        self._seconds = _MAX_SECONDS
        self._updated_at = -math.inf

    @property
    def is_spent(self) -> bool:
        """Whether no prefill may start now."""
        return self._seconds <= 0.0

    def update(self, now: float, *, headroom: float) -> None:
        """Add what has accrued since the last update.

        Args:
            now: The time.
            headroom: Headroom of the engine as a share of the time.
        """
        elapsed = max(now - self._updated_at, 0.0)
        self._updated_at = now
        share = max(headroom * _HEADROOM_RATE, _MIN_PREFILL_SHARE)
        if share >= 1.0:
            self._seconds = _MAX_SECONDS
        else:
            self._seconds = min(self._seconds + elapsed * share, _MAX_SECONDS)

    def spend(self, seconds: float) -> None:
        """Charge the prefill of a start."""
        self._seconds -= seconds
