"""The startup of a process that has no configuration yet.

The process queries the store and several peers and waits until all of them
have responded, failed or timed out before it selects a source: the first
response may come from a source that is behind.

Examples:
    >>> startup = Startup(rng=random.Random(1), limits=rounds.DEFAULT_LIMITS)
    >>> startup.begin(["store", "p1"], 0.0)
    >>> startup.settle("store", 0.1), startup.has_pending
    (False, True)
    >>> startup.overdue(2.9), startup.overdue(3.0)
    ([], ['p1'])
    >>> startup.settle("p1", 3.0), startup.has_pending
    (True, False)
"""

from collections.abc import Iterable
import random

from daisypick_core.configuration import rounds


class Startup:
    """The sources queried at startup that have not responded.

    Attributes:
        is_under_way: Whether startup is still in progress.
    """

    def __init__(
        self, *, rng: random.Random, limits: rounds.DistributionLimits
    ) -> None:
        self.is_under_way = False
        self._rng = rng
        self._limits = limits
        self._pending: set[str] = set()
        self._deadline = 0.0
        self._next_round = 0.0

    @property
    def has_pending(self) -> bool:
        """Whether a response is still pending."""
        return bool(self._pending)

    def begin(self, sources: Iterable[str], now: float) -> None:
        """Record a round of queries."""
        self.is_under_way = True
        self._pending = set(sources)
        self._deadline = now + self._limits.fetch_timeout

    def is_pending(self, source: str) -> bool:
        """Return whether the response of a source is pending."""
        return source in self._pending

    def settle(self, source: str, now: float) -> bool:
        """Record a response or a failure; return whether it was the last."""
        self._pending.discard(source)
        if self._pending:
            return False
        pause = self._limits.start_retry * (0.5 + self._rng.random())
        self._next_round = now + pause
        return True

    def overdue(self, now: float) -> list[str]:
        """Return the sources that have timed out."""
        return sorted(self._pending) if now >= self._deadline else []

    def is_round_due(self, now: float) -> bool:
        """Return whether another round of queries is due."""
        is_due = now >= self._next_round
        return self.is_under_way and not self._pending and is_due
