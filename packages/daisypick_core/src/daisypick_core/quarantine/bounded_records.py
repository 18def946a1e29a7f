"""Records by name in bounded memory, the one that changed last at the end.

Examples:
    >>> records = BoundedRecords(seconds=10.0, limit=2)
    >>> for now, name in enumerate("abc"):
    ...     records.put(name, now, float(now))
    >>> records.record_by_name
    {'b': 1, 'c': 2}
    >>> records.find_remaining("b", now=4.0)
    7.0
    >>> records.expire(now=11.0); records.record_by_name
    {'c': 2}
"""

import typing

_Record = typing.TypeVar("_Record")


class BoundedRecords(typing.Generic[_Record]):
    """Records that are dropped some time after their last change.

    Args:
        seconds: That time.
        limit: Number of records beyond which the oldest one is dropped.
    """

    def __init__(self, *, seconds: float, limit: int) -> None:
        self._seconds = seconds
        self._limit = limit
        self.record_by_name: dict[str, _Record] = {}
        self._changed_at_by_name: dict[str, float] = {}

    def put(self, name: str, record: _Record, now: float) -> None:
        """Add or replace a record."""
        self.discard(name)
        self.record_by_name[name] = record
        self._changed_at_by_name[name] = now
        if len(self.record_by_name) > self._limit:
            self.discard(next(iter(self.record_by_name)))

    def discard(self, name: str) -> None:
        """Drop a record, if there is one."""
        self.record_by_name.pop(name, None)
        self._changed_at_by_name.pop(name, None)

    def find_remaining(self, name: str, now: float) -> float:
        """Return the seconds until a record is dropped, zero without one."""
        changed_at = self._changed_at_by_name.get(name)
        if changed_at is None:
            return 0.0
        return max(changed_at + self._seconds - now, 0.0)

    def expire(self, now: float) -> None:
        """Drop the records that have not changed for that time."""
        for name, changed_at in list(self._changed_at_by_name.items()):
            if now - changed_at < self._seconds:
                return
            self.discard(name)
