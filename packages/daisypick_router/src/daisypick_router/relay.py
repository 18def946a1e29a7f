"""Reads a backend server's response, completely or event by event.

A large response is sent on while it arrives; see ``docs/design/held_bytes.md``.
"""

import time
import typing

from daisypick_core.serving import event_stream
from daisypick_http import connection as connections
from daisypick_http import messages
from daisypick_http import server as http_server
from daisypick_router import exchange

# A response up to this size is held until it is complete, so that another
# server can be tried if it breaks off.
_HELD_RESPONSE_BYTES = 65_536
# An event holds some tokens; what exceeds this is no event.
_MAX_EVENT_BYTES = 1 << 20
# A larger response that cannot be sent on as it arrives is given up.
_MAX_BUFFERED_BYTES = 16 << 20
# Servers cut off a response that stays unread for some seconds; the first
# second of waiting for a caller is what a loaded router takes anyway.
_CALLER_SLOW_SECONDS = 1.0


class WholeResponse(typing.NamedTuple):
    """A complete response.

    Attributes:
        head: Status and headers.
        body: Its body, unless ``sent``.
        sent: Whether its body was sent to the caller as it arrived.
        head_only: Whether it has no body, whatever its head says.
        by_close: Whether only the end of the connection says that it is whole.
    """

    head: messages.ResponseHead
    body: bytes
    sent: bool = False
    head_only: bool = False
    by_close: bool = False


class Broken(typing.NamedTuple):
    """The response ended before it was complete.

    Attributes:
        reason: For the log.
        timed_out: Whether nothing was received in time.
        caller_slow: Whether it was not read for a while, since its caller did
            not read. The server is not to blame.
    """

    reason: str
    timed_out: bool = False
    caller_slow: bool = False


def read_whole(
    opened: exchange.OpenExchange,
    deadline: float,
    caller: http_server.CallerConnection,
) -> WholeResponse | Broken:
    """Read a response to its end, as given by its HTTP framing.

    A large one that is the answer is sent to the caller as it arrives, if the
    caller's connection may hold bytes back.
    """
    blocked = caller.blocked_seconds
    relayed = _WholeRelay(opened=opened, caller=caller)
    result = relayed.run(deadline)
    if isinstance(result, Broken):
        return note_blocked(result, caller.blocked_seconds - blocked)
    return result


def note_blocked(broken: Broken, blocked_seconds: float) -> Broken:
    """Return a failure with its cause, if the caller delayed the reading."""
    return broken._replace(caller_slow=blocked_seconds >= _CALLER_SLOW_SECONDS)


class _WholeRelay:
    """Reads one response, and sends it on while it arrives."""

    def __init__(
        self,
        *,
        opened: exchange.OpenExchange,
        caller: http_server.CallerConnection,
    ) -> None:
        self._opened = opened
        self._caller = caller
        self._data: list[bytes] = []
        self._size = 0
        self._is_started = False
        length = messages.find_header(opened.head.headers, b"content-length")
        self._length = int(length) if length is not None else None

    def run(self, deadline: float) -> WholeResponse | Broken:
        """Read until the end, or until ``deadline`` without blocked time."""
        connection = self._opened.connection
        reader = connection.reader
        blocked = self._caller.blocked_seconds
        try:
            self._take(reader.take_body())
            while not reader.complete:
                if reader.broken:
                    return Broken(reason=reader.broken)
                if self._size > _MAX_BUFFERED_BYTES and not self._is_started:
                    return Broken(reason="response is too large")
                waited = self._caller.blocked_seconds - blocked
                connection.read(deadline + waited - time.monotonic())
                self._take(reader.take_body())
        except connections.ConnectionBrokeError as error:
            return Broken(reason=str(error))
        except connections.AnswerTimeoutError as error:
            return Broken(reason=str(error), timed_out=True)
        return WholeResponse(
            head=self._opened.head,
            body=b"".join(self._data),
            sent=self._is_started,
            head_only=not reader.has_body,
            by_close=reader.ended_by_close,
        )

    def _take(self, part: bytes) -> None:
        if not part:
            return
        if self._is_started:
            self._send(part)
            return
        if self._caller.hold.is_ended:
            # The request goes on without a caller.
            self._data.clear()
            return
        self._data.append(part)
        self._size += len(part)
        self._caller.hold.set_buffered(self._size)
        if (
            self._caller.streams_responses
            and self._size > _HELD_RESPONSE_BYTES
            and self._opened.head.status < 500
            and not self._caller.response_started
        ):
            self._begin()

    def _begin(self) -> None:
        head = self._opened.head
        headers = messages.drop_hop_by_hop(head.headers)
        self._is_started = True
        if self._length is None:
            self._caller.begin_stream(status=head.status, headers=headers)
        else:
            self._caller.begin_whole(
                status=head.status, headers=headers, length=self._length
            )
        self._caller.hold.set_buffered(0)
        while self._data:
            self._send(self._data.pop(0))

    def _send(self, part: bytes) -> None:
        if self._length is None:
            self._caller.send_chunk(part)
        else:
            self._caller.send_part(part)


def send_whole(
    caller: http_server.CallerConnection, response: WholeResponse
) -> None:
    """Send a complete response, or end one that was sent as it arrived."""
    caller.hold.set_buffered(0)
    headers = messages.drop_hop_by_hop(response.head.headers)
    length = messages.find_header(response.head.headers, b"content-length")
    if response.head_only and length is not None:
        caller.begin_whole(
            status=response.head.status, headers=headers, length=int(length)
        )
        caller.end_whole()
    elif not response.sent:
        caller.send_whole(
            status=response.head.status, headers=headers, body=response.body
        )
    elif length is not None:
        caller.end_whole()
    else:
        caller.end_stream()


class StreamEnded(typing.NamedTuple):
    """The server ended the stream regularly.

    Attributes:
        by_close: Whether only the end of the connection says so.
    """

    by_close: bool = False


class EventReader:
    """Reads complete events from one server's stream."""

    def __init__(
        self, *, opened: exchange.OpenExchange, stream: event_stream.EventStream
    ) -> None:
        self._connection = opened.connection
        self._stream = stream
        self._has_events = False
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
                    self._has_events = True
                    return events
                if len(self._stream.rest) > _MAX_EVENT_BYTES:
                    return Broken(reason="event is too large")
                if reader.complete:
                    return self._classify_end()
                if reader.broken:
                    return Broken(reason=reader.broken)
                # A caller that did not read may have used up the time.
                self._connection.read(until - time.monotonic(), is_bounded=True)
        except event_stream.GapError as error:
            return Broken(reason=str(error))
        except connections.ConnectionBrokeError as error:
            return Broken(reason=str(error))
        except connections.AnswerTimeoutError as error:
            return Broken(reason=str(error), timed_out=True)

    def _classify_end(self) -> StreamEnded | Broken:
        by_close = self._connection.reader.ended_by_close
        if self._stream.rest:
            return Broken(reason="stream ended within an event")
        if by_close and not self._has_events:
            return Broken(reason="stream ended before its first event")
        return StreamEnded(by_close=by_close)
