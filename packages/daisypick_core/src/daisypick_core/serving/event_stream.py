r"""Complete events of a stream, in order, without duplicates.

A backend server can fail in the middle of an event. Only complete events are
forwarded, so another server can resume the stream after the last one. An event
that was already forwarded is skipped; a gap is an error, because the caller
would miss events without noticing.

Examples:
    >>> stream = EventStream()
    >>> stream.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> stream.last_id, stream.rest
    (1, b'id: 2\nda')
    >>> stream.restart(); stream.feed(b"id: 1\ndata: a\n\nid: 2\nx\n\n")
    b'id: 2\nx\n\n'
"""

_END = b"\n\n"
_ID = b"id:"


class GapError(Exception):
    """An event is missing between two received events."""


class EventStream:
    """Splits bytes into events and checks their ids.

    Attributes:
        last_id: Id of the last forwarded event, ``None`` before the first.
        rest: Bytes of an incomplete event.
        passed: Number of forwarded events.
    """

    def __init__(self, *, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.rest = b""
        self.passed = 0

    def restart(self) -> None:
        """Start reading from another server, after ``last_id``."""
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the complete events that were not forwarded yet.

        Raises:
            GapError: An event between the last one and this one is missing.
        """
        buffer = self.rest + data
        end = buffer.rfind(_END)
        if end < 0:
            self.rest = buffer
            return b""
        complete = buffer[: end + len(_END)]
        self.rest = buffer[end + len(_END) :]
        return b"".join(
            event + _END
            for event in complete.split(_END)[:-1]
            if self._is_new(event)
        )

    def _is_new(self, event: bytes) -> bool:
        number = _read_id(event)
        if number is None:
            return True
        if self.last_id is not None:
            if number <= self.last_id:
                return False
            if number > self.last_id + 1:
                raise GapError(
                    f"event {number} came after event {self.last_id}"
                )
        self.last_id = number
        self.passed += 1
        return True


def _read_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            value = line[len(_ID) :].strip()
            return int(value) if value.isdigit() else None
    return None
