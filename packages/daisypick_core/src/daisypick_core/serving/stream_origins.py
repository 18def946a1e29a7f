"""Which version of a service's software began a stream.

What two versions write does not fit together, so a stream may only go on at
the version that began it. A caller may take it up at any router; it then names
the attempt that brought its first event.

Examples:
    >>> origins = StreamOrigins(keep_seconds=30.0, max_entries=2)
    >>> origins.note("a-1", Origin(service="assist", version="v1"), now=0.0)
    >>> origins.find("a-1", now=29.0)
    Origin(service='assist', version='v1')
    >>> origins.find("a-1", now=31.0) is None
    True
"""

import collections
from collections.abc import Iterator
import typing


class Origin(typing.NamedTuple):
    """Where a stream began.

    Attributes:
        service: Name of the service.
        version: Version of the server's software; empty if it names none.
    """

    service: str
    version: str


class _Entry(typing.NamedTuple):
    origin: Origin
    noted_at: float


class StreamOrigins:
    """Origins by the id of the attempt that brought the first event.

    Args:
        keep_seconds: For how long an origin is kept.
        max_entries: Number of origins that are kept, the latest ones.
    """

    def __init__(self, *, keep_seconds: float, max_entries: int) -> None:
        self._keep_seconds = keep_seconds
        self._max_entries = max_entries
        # In the order in which they were noted.
        self._entry_by_attempt: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of origins kept."""
        return len(self._entry_by_attempt)

    def note(self, attempt: str, origin: Origin, now: float) -> None:
        """Keep an origin; the first one of an attempt stays."""
        entry = self._entry_by_attempt.pop(attempt, None)
        if entry is None or now - entry.noted_at >= self._keep_seconds:
            entry = _Entry(origin=origin, noted_at=now)
        self._entry_by_attempt[attempt] = entry._replace(noted_at=now)
        self._expire(now)

    def _expire(self, now: float) -> None:
        while self._entry_by_attempt:
            oldest = next(iter(self._entry_by_attempt.values()))
            if (
                len(self._entry_by_attempt) <= self._max_entries
                and now - oldest.noted_at < self._keep_seconds
            ):
                return
            self._entry_by_attempt.popitem(last=False)

    def find(self, attempt: str, now: float) -> Origin | None:
        """Return the origin of a stream, ``None`` if it is not known."""
        entry = self._entry_by_attempt.get(attempt)
        if entry is None or now - entry.noted_at >= self._keep_seconds:
            return None
        return entry.origin

    def find_all(
        self, service: str, now: float
    ) -> Iterator[tuple[str, Origin]]:
        """Yield the attempts of a service and their origins."""
        self._expire(now)
        for attempt, entry in self._entry_by_attempt.items():
            if entry.origin.service == service:
                yield attempt, entry.origin
