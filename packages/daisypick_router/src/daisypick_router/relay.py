"""Reads a backend server's response, completely or event by event."""

import time
import typing

from daisypick_core.serving import event_stream
from daisypick_http import connection as connections
from daisypick_http import messages
from daisypick_router import exchange


class WholeResponse(typing.NamedTuple):
    """A complete response."""

    head: messages.ResponseHead
    body: bytes


class Broken(typing.NamedTuple):
    """The response ended before it was complete."""

    reason: str
    timed_out: bool = False


def read_whole(
    opened: exchange.OpenExchange, deadline: float
) -> WholeResponse | Broken:
    """Read a response to its end, as given by its HTTP framing."""
    connection = opened.connection
    reader = connection.reader
    data = [reader.take_body()]
    try:
        while not reader.complete:
            if reader.broken:
                return Broken(reason=reader.broken)
            connection.read(deadline - time.monotonic())
            data.append(reader.take_body())
    except connections.ConnectionBrokeError as error:
        return Broken(reason=str(error))
    except connections.AnswerTimeoutError as error:
        return Broken(reason=str(error), timed_out=True)
    return WholeResponse(head=opened.head, body=b"".join(data))


class StreamEnded(typing.NamedTuple):
    """The server ended the stream regularly."""


class EventReader:
    """Reads complete events from one server's stream."""

    def __init__(
        self, *, opened: exchange.OpenExchange, stream: event_stream.EventStream
    ) -> None:
        self._connection = opened.connection
        self._stream = stream
        stream.restart()

    def read(self, until: float) -> bytes | StreamEnded | Broken:
        """Return new complete events, the end, or why the stream failed.

        Waits until ``until`` for the next event.
        """
        reader = self._connection.reader
        try:
            while True:
                events = self._stream.feed(reader.take_body())
                if events:
                    return events
                if reader.complete:
                    return self._classify_end()
                if reader.broken:
                    return Broken(reason=reader.broken)
                self._connection.read(until - time.monotonic())
        except event_stream.GapError as error:
            return Broken(reason=str(error))
        except connections.ConnectionBrokeError as error:
            return Broken(reason=str(error))
        except connections.AnswerTimeoutError as error:
            return Broken(reason=str(error), timed_out=True)

    def _classify_end(self) -> StreamEnded | Broken:
        if self._stream.rest:
            return Broken(reason="stream ended within an event")
        return StreamEnded()
