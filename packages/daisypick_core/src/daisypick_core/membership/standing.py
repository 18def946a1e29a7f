"""Whether all other routers count this one as part of the fleet.

Limits on the fleet as a whole are divided among the routers that each one
knows. A router that others do not count yet, or no longer, must not use a
quota: those of the others add up to the whole limit without it. As with a
lease, it stops before the others may have dropped it, and starts when all of
them have read a list that has its entry.

Examples:
    >>> standing = Standing(
    ...     lease_seconds=90.0, settle_seconds=2.0, join_seconds=12.0
    ... )
    >>> standing.note_written(0.0, is_join=True)
    >>> standing.note_list(5.0, has_others=True)
    >>> standing.is_counted(5.0), standing.is_counted(12.0)
    (False, True)
    >>> standing.is_counted(90.0)
    False
"""

import math


class Standing:
    """The state of one router's own entry.

    Args:
        lease_seconds: How long after a renewal no other router drops it.
        settle_seconds: How long routers that start at the same time may need
            to write their entries.
        join_seconds: Within this time every router reads the list.
    """

    def __init__(
        self,
        *,
        lease_seconds: float,
        settle_seconds: float,
        join_seconds: float,
    ) -> None:
        self._lease_seconds = lease_seconds
        self._settle_seconds = settle_seconds
        self._join_seconds = join_seconds
        self._joined_at = math.inf
        self._renewed_at = -math.inf
        self._listed_at = -math.inf
        self._has_others = False
        self._is_leaving = False

    def note_written(self, sent_at: float, *, is_join: bool) -> None:
        """Record that the entry was written.

        Args:
            sent_at: When the write was sent.
            is_join: Whether there was no entry of this name, so that other
                routers may not count it yet.
        """
        self._renewed_at = sent_at
        if is_join:
            self._joined_at = sent_at
        elif self._joined_at == math.inf:
            self._joined_at = -math.inf

    def note_list(self, asked_at: float, *, has_others: bool) -> None:
        """Record that a list was read that is not stale.

        Args:
            asked_at: When it was asked for.
            has_others: Whether it has other routers.
        """
        self._listed_at = asked_at
        self._has_others = has_others

    def note_leaving(self) -> None:
        """Record that the entry is about to be deleted."""
        self._is_leaving = True

    @property
    def needs_list(self) -> bool:
        """Whether a list is needed that shows who joined at the same time."""
        return self._listed_at < self._joined_at + self._settle_seconds

    def is_counted(self, now: float) -> bool:
        """Return whether all other routers count this one."""
        if self._is_leaving or now - self._renewed_at >= self._lease_seconds:
            return False
        if self.needs_list:
            return False
        seconds = (
            self._join_seconds if self._has_others else self._settle_seconds
        )
        return now >= self._joined_at + seconds
