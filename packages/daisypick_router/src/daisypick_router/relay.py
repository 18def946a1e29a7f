"""An answer of a backend server, read whole or event by event."""

import time
import typing

from daisypick_core.serving import event_stream
from daisypick_http import connection as connections
from daisypick_http import messages
from daisypick_router import exchange


class Whole(typing.NamedTuple):
    """A whole answer."""

    head: messages.AnswerHead
    body: bytes


class Broken(typing.NamedTuple):
    """The answer broke off."""

    reason: str
    silent: bool = False


def read_whole(opened: exchange.Opened, deadline: float) -> Whole | Broken:
    """Read an answer to its end; it is whole by its framing, or broken."""
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
        return Broken(reason=str(error), silent=True)
    return Whole(head=opened.head, body=b"".join(data))


class Ended(typing.NamedTuple):
    """The stream ended as its server meant it to."""


class EventReader:
    """Whole events of one server's stream."""

    def __init__(
        self, *, opened: exchange.Opened, stream: event_stream.EventStream
    ) -> None:
        self._connection = opened.connection
        self._stream = stream
        stream.restart()

    def read(self, until: float) -> bytes | Ended | Broken:
        """Return new whole events, the end, or why the stream broke off.

        Waits until ``until`` for the next event.
        """
        reader = self._connection.reader
        try:
            while True:
                events = self._stream.feed(reader.take_body())
                if events:
                    return events
                if reader.complete:
                    return self._judge_end()
                if reader.broken:
                    return Broken(reason=reader.broken)
                self._connection.read(until - time.monotonic())
        except event_stream.GapError as error:
            return Broken(reason=str(error))
        except connections.ConnectionBrokeError as error:
            return Broken(reason=str(error))
        except connections.AnswerTimeoutError as error:
            return Broken(reason=str(error), silent=True)

    def _judge_end(self) -> Ended | Broken:
        if self._stream.rest:
            return Broken(reason="stream ended within an event")
        return Ended()
