"""Records events of recent requests, within a memory limit.

``daisypick explain REQUEST_ID`` reads them. An event has ids, codes and times,
but never text sent by a caller.
"""

import collections
import typing

DEFAULT_REQUESTS = 5000
MAX_EVENTS = 50


class Event(typing.NamedTuple):
    """One event of a request in a process.

    Attributes:
        at: Seconds on the process's monotonic clock.
        event: Short description.
        detail: Ids, addresses and codes.
    """

    at: float
    event: str
    detail: dict[str, typing.Any]


class RequestRecord:
    """Events by request id; the oldest requests are dropped first.

    Examples:
        >>> record = RequestRecord(limit=1)
        >>> record.note("a", 1.0, "queued")
        >>> record.note("b", 2.0, "queued", agent="127.0.0.1:1")
        >>> record.explain("a"), len(record.explain("b"))
        ([], 1)
    """

    def __init__(self, *, limit: int = DEFAULT_REQUESTS) -> None:
        self._limit = limit
        self._events_by_request: collections.OrderedDict[str, list[Event]] = (
            collections.OrderedDict()
        )

    def note(
        self, request_id: str, now: float, event: str, **detail: typing.Any
    ) -> None:
        """Record an event of a request."""
        events = self._events_by_request.get(request_id)
        if events is None:
            events = self._events_by_request[request_id] = []
            if len(self._events_by_request) > self._limit:
                self._events_by_request.popitem(last=False)
        if len(events) < MAX_EVENTS:
            events.append(Event(at=now, event=event, detail=detail))

    def explain(self, request_id: str) -> list[Event]:
        """Return the events of a request in chronological order."""
        return list(self._events_by_request.get(request_id, ()))
