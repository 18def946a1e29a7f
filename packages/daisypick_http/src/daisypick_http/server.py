"""The server side of one caller's connection.

The connection is still read while a request is handled. This detects that a
caller disconnects, upon which the handler is stopped at once and with it the
work at the backend server. A closing connection first shuts down its sending
side and is read for a moment longer (lingering close): closing it with unread
bytes would reset the connection, and the response could be lost.
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import fcntl
import socket as plain_socket
import struct
import termios
import time

import gevent

from daisypick_http import caller_writer
from daisypick_http import connection as connections
from daisypick_http import hold as holds
from daisypick_http import messages
from daisypick_http import progress as progress_module
from daisypick_http import request_reader
from daisypick_http import turns as turns_module

_READ_BYTES = 65_536
# What is read of further requests while one is handled.
_READ_AHEAD_BYTES = 4_096
# Bytes that may wait unread behind a request that is handled, and the time
# between two looks at them.
_MAX_UNREAD_BYTES = 16_384
_PIPELINE_CHECK_SECONDS = 0.1
# Maximum wait for the caller to close a connection after this side was closed.
_LINGER_SECONDS = 1.0


class CallerDisconnected(gevent.GreenletExit):
    """The caller closed its connection and cannot receive the response."""


class Limits:
    """Limits for the size and the duration of callers' requests.

    Attributes:
        header_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
        header_timeout: Seconds from the first byte of a head to its last.
        idle_timeout: Seconds for which an idle connection is kept open.
    """

    def __init__(
        self,
        *,
        header_bytes: int = 16384,
        body_bytes: int = 4194304,
        header_timeout: float = 3.0,
        idle_timeout: float = 15.0,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout = header_timeout
        self.idle_timeout = idle_timeout


class CallerConnection:
    """A caller's connection.

    ``handle(connection, request)`` responds to each request by ``send_whole``
    or by ``begin_stream``, ``send_chunk`` and ``end_stream``. It runs in a
    greenlet of its own, which ``begin(greenlet, request)`` starts, immediately
    or later. ``on_drop(request, reason)`` is called for each complete request
    that was not handled before the connection ended,
    ``on_idle(connection, idle)`` at each request's start and end,
    ``on_closing(connection)`` when this side is closed, and ``on_error(error)``
    for an error that ``handle`` raised, other than those of the caller's
    connection; the connection is then aborted.

    Attributes:
        idle_since: Monotonic time at which the connection last became idle.
        closing: Whether this side is closed.
        exchanges: Number of requests started on the connection.
        response_started: Whether the head of the current response was sent.
        response_completed: Whether the current response was sent completely.
        end_reason: Why the connection has ended.
        is_too_slow: Whether it was ended since the caller reads too slowly.
        hold: Counts the bytes that are held for the connection.
    """

    def __init__(
        self,
        *,
        socket: plain_socket.socket,
        handle: Callable[["CallerConnection", messages.Request], None],
        limits: Callable[[], Limits],
        begin: Callable[[gevent.Greenlet, messages.Request], None] | None = (
            None
        ),
        on_drop: Callable[[messages.Request, str], None] | None = None,
        on_idle: Callable[["CallerConnection", bool], None] | None = None,
        on_closing: Callable[["CallerConnection"], None] | None = None,
        on_error: Callable[[Exception], None] | None = None,
        hold: holds.Hold | None = None,
        pace: holds.Pace | None = None,
        turns: turns_module.Turns | None = None,
        receive_bytes: int = 0,
    ) -> None:
        """Create the server side of a connection.

        With a ``pace``, bytes that the caller does not read wait here while
        the handler goes on, up to the limit of ``hold``, and bodies and
        responses are bounded by their progress instead of a time for the whole.
        Connections with the same ``turns`` share the time for parsing.
        ``receive_bytes`` are what the kernel receives without their being read.
        """
        self._receive_bytes = receive_bytes
        self._turns = turns or turns_module.Turns()
        self.hold = hold or holds.Hold()
        self._pace = pace
        self._body_progress: progress_module.Progress | None = None
        self._writer = pace and caller_writer.CallerWriter(
            connected=socket,
            bound=pace.response,
            on_waiting=self.hold.set_response,
            on_slow=self._end_slow,
        )
        self._request_bytes = 0
        self._keeps_handler = False
        self._socket = socket
        self._begin = begin or _start_immediately
        self._on_drop = on_drop or _do_nothing
        self._on_idle = on_idle or _do_nothing
        self._on_closing = on_closing or _do_nothing
        self._on_error = on_error or _do_nothing
        self._pending_request: messages.Request | None = None
        self._handle = handle
        self._limits = limits
        self._handler: gevent.Greenlet | None = None
        # Whether ``run`` has finished, and why.
        self._has_finished = False
        self.end_reason = "closed by the router"
        self.is_too_slow = False
        self.idle_since = time.monotonic()
        self._idle_timeout = limits().idle_timeout
        self._reader = request_reader.RequestReader(
            header_bytes=limits().header_bytes,
            body_bytes=limits().body_bytes,
            begin_body=self.hold.begin_body,
            extend_body=self.hold.extend_body,
        )
        self.closing = False
        self._aborted = False
        self._keep_alive = True
        self.exchanges = 0
        self.response_started = False
        self.response_completed = False
        # Method of the current request, and whether its response has a body.
        self._method = b""
        self._has_body = True

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, queued or handled."""
        reader = self._reader
        return (
            self._handler is None
            and reader.began_at is None
            and not reader.requests
        )

    @property
    def has_request(self) -> bool:
        """Whether a request is queued or handled."""
        return self._handler is not None

    def run(self) -> None:
        """Serve the connection until either end closes it."""
        self._socket.setsockopt(
            plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
        )
        try:
            while not self._aborted and self._read_once(self._reader):
                pass
        except OSError as error:
            # The caller closed the connection before its refusal was sent.
            self._note_end(str(error))
        finally:
            self._has_finished = True
            if self._handler is not None and not self._keeps_handler:
                self._handler.kill(
                    CallerDisconnected(self.end_reason), block=False
                )
            self._socket.close()
            self._report_unhandled()
            # A handler that was killed before it started does not end itself.
            if self._handler is None or self._pending_request is not None:
                self.hold.close()

    def _report_unhandled(self) -> None:
        unhandled = [*self._reader.requests]
        if self._pending_request is not None:
            unhandled.insert(0, self._pending_request)
        reason = (
            "arrived after our side was closed"
            if self.closing
            else self.end_reason
        )
        for request in unhandled:
            self._on_drop(request, reason)

    def _read_once(self, reader: request_reader.RequestReader) -> bool:
        """Read and process available bytes; return whether to continue."""
        timeout = self._next_timeout(reader)
        if timeout <= 0.0 and self.closing:
            return False
        try:
            data = connections.receive(
                self._socket, timeout, most=self._find_read_size()
            )
        except TimeoutError:
            expired = self._next_timeout(reader) <= 0.0
            return self._handle_timeout(reader) if expired else True
        except OSError as error:
            self._note_end(str(error))
            return False
        if not data:
            self._note_end("closed by the caller")
            return False
        limits = self._limits()
        reader.set_limits(
            header_bytes=limits.header_bytes, body_bytes=limits.body_bytes
        )
        if self.closing and (reader.refusal is not None or reader.requests):
            return True
        reader.feed(data, time.monotonic())
        self._note_received(reader, len(data))
        self._serve_received(reader)
        while reader.has_unparsed and not self._aborted and not self.closing:
            self._count_request(is_read=False)
            self._turns.wait()
            reader.resume()
            self._note_received(reader, 0)
            self._serve_received(reader)
        return True

    def _find_read_size(self) -> int:
        """Return how many bytes to read; few while a request is handled.

        Reading then shows whether the caller disconnects.
        """
        return _READ_BYTES if self._handler is None else _READ_AHEAD_BYTES

    def _serve_received(self, reader: request_reader.RequestReader) -> None:
        if self.closing and self._handler is None:
            return
        if reader.expects_continue and not reader.refusal:
            reader.expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._serve_requests(reader)

    def _note_end(self, reason: str) -> None:
        if not self._aborted:
            self.end_reason = reason

    def _note_received(
        self, reader: request_reader.RequestReader, amount: int
    ) -> None:
        """Count received bytes, and the progress of a body."""
        self.hold.note_head(incomplete=reader.in_head)
        self._count_request()
        if not reader.in_body or reader.refusal is not None:
            self._body_progress = None
            self.hold.end_body()
            return
        refusal = self.hold.note_body(reader.body_bytes)
        if refusal is not None:
            self._drop_incomplete(refusal)
        elif self._pace is not None:
            if self._body_progress is None:
                self._body_progress = progress_module.Progress(
                    self._pace.body, time.monotonic()
                )
            self._body_progress.note(amount)

    def _count_request(self, *, is_read: bool = True) -> None:
        """Count the bytes of requests.

        Args:
            is_read: Whether the connection is being read. If not, what the
                kernel may receive on it counts too.
        """
        unread = 0 if is_read else self._receive_bytes
        self.hold.set_request(
            self._request_bytes + self._reader.held_bytes + unread
        )

    def _serve_requests(self, reader: request_reader.RequestReader) -> None:
        while reader.requests and not self._aborted:
            self._await_handler(reader)
            if self.closing or self._aborted or not reader.requests:
                break
            self._start(reader.take())
        if reader.refusal is not None and not self.closing:
            self._await_handler(reader)
            if not self._aborted:
                self.reject(reader.refusal)

    def _await_handler(self, reader: request_reader.RequestReader) -> None:
        """Wait for the end of a request while others wait behind it.

        The connection is not read meanwhile. A caller that sends more than a
        bound is refused, and what it sends is dropped until then, so that
        neither this process nor the kernel keeps it.
        """
        while self._handler is not None and not self._aborted:
            if reader.refusal is None:
                self._count_request()
                self._handler.join(timeout=_PIPELINE_CHECK_SECONDS)
                if self._count_unread() > _MAX_UNREAD_BYTES:
                    reader.refuse_all(self.hold.refuse_pipelined())
                    self._count_request()
            elif (
                not self._discard(_PIPELINE_CHECK_SECONDS)
                # It may have ended as the caller disconnected.
                and self._handler is not None
            ):
                self._handler.join()

    def _discard(self, timeout: float) -> bool:
        """Drop received bytes; return whether the connection is open."""
        try:
            return bool(connections.receive(self._socket, timeout))
        except TimeoutError:
            return True
        except OSError as error:
            self._note_end(str(error))
            return False

    def _count_unread(self) -> int:
        """Return the bytes that were received and not read."""
        if self._socket.fileno() < 0:
            return 0
        found = fcntl.ioctl(
            self._socket.fileno(), termios.FIONREAD, struct.pack("i", 0)
        )
        return struct.unpack("i", found)[0]

    def reject(self, refusal: request_reader.Refusal) -> None:
        """Respond to bytes that are not an acceptable request, and close."""
        self._keep_alive = False
        # Its own method is not known, and need not be, on a last response.
        self._method = b""
        self.send_whole(
            status=refusal.status,
            headers=refusal.headers,
            body=refusal.body or refusal.reason.encode(),
        )

    def reject_incomplete(self, refusal: request_reader.Refusal) -> None:
        """Reject a request that is still incomplete.

        What was received of it is dropped at once, the response is sent by a
        greenlet of its own.
        """
        reader = self._reader
        is_incomplete = reader.in_head or reader.in_body
        if not is_incomplete or self._handler is not None or self.closing:
            return
        self._drop_incomplete(refusal)
        gevent.spawn(self._reject_quietly, refusal)

    def _reject_quietly(self, refusal: request_reader.Refusal) -> None:
        # The caller may have closed the connection.
        with contextlib.suppress(OSError):
            if not self.closing:
                self.reject(refusal)

    def _drop_incomplete(self, refusal: request_reader.Refusal) -> None:
        self._reader.refuse(refusal)
        self._body_progress = None
        self.hold.note_head(incomplete=False)
        self.hold.end_body()
        self._count_request()

    def _next_timeout(self, reader: request_reader.RequestReader) -> float:
        now = time.monotonic()
        if self._handler is not None:
            return self._limits().idle_timeout
        if self.closing:
            return self.idle_since + _LINGER_SECONDS - now
        if self._body_progress is not None:
            return self._body_progress.due_at - now
        if reader.began_at is not None:
            return reader.began_at + self._limits().header_timeout - now
        self._idle_timeout = max(
            self._idle_timeout, self._limits().idle_timeout
        )
        return self.idle_since + self._idle_timeout - now

    def _handle_timeout(self, reader: request_reader.RequestReader) -> bool:
        if self.closing:
            return False
        if self._body_progress is not None and not self._body_progress.is_late(
            time.monotonic()
        ):
            return True
        if reader.began_at is not None:
            refusal = request_reader.Refusal(
                status=408, reason="request came too slowly"
            )
            self._drop_incomplete(refusal)
            self.reject(refusal)
            return True
        self.close_idle()
        if not self.closing:
            self.idle_since = time.monotonic()
        return True

    def _start(self, request: messages.Request) -> None:
        self._keep_alive = request.keep_alive
        self.exchanges += 1
        self.response_started = False
        self.response_completed = False
        self._method = request.method
        self._pending_request = request
        self._request_bytes = request_reader.find_running_size(request)
        self._count_request()
        self.hold.note_head(incomplete=self._reader.in_head)
        self._on_idle(self, False)
        self._handler = gevent.Greenlet(self._run_handler, request)
        self._begin(self._handler, request)

    def _run_handler(self, request: messages.Request) -> None:
        self._pending_request = None
        try:
            self._handle(self, request)
        except OSError:
            self.abort()
        except Exception as error:
            # A caller whose connection stays open would wait for a response.
            self._on_error(error)
            self.abort()
        finally:
            self._handler = None
            self.idle_since = time.monotonic()
            self._idle_timeout = self._limits().idle_timeout
            self._request_bytes = 0
            self._count_request()
            if not self._has_finished:
                self._on_idle(self, True)
            else:
                self.hold.close()

    def _end_slow(self) -> None:
        self.is_too_slow = True
        self.hold.note_slow()

    def drop(self, reason: str, *, keep_handler: bool) -> None:
        """Abort the connection and drop the bytes that wait for the caller.

        Args:
            reason: For the log.
            keep_handler: Whether the handler goes on without a caller; what it
                sends is dropped.
        """
        if self._aborted:
            return
        self.end_reason = reason
        self._keeps_handler = keep_handler
        if self._writer is not None and keep_handler:
            self._writer.discard()
        elif self._writer is not None:
            self._writer.fail(OSError(reason))
        self._drop_incomplete(request_reader.Refusal(status=503, reason=reason))
        self.abort()

    def abort(self) -> None:
        """Abort the connection, so that no response on it looks complete."""
        self._aborted = True
        self._socket.settimeout(0.0)
        # The caller may already have closed the connection.
        with contextlib.suppress(OSError):
            self._socket.shutdown(plain_socket.SHUT_RDWR)

    def close_idle(self) -> None:
        """Close this side unless a request was received but not read yet.

        A busy process reads with a delay. Closing a connection that holds an
        unread request would leave its caller without a response.
        """
        if self.is_idle and not self._has_unread():
            self.close_gracefully()

    def has_disconnected(self) -> bool:
        """Return whether the caller has closed the connection.

        A busy process reads with a delay, so ``run`` may not have noticed yet.
        A request forwarded after its caller disconnected would waste the work
        of a backend server.
        """
        return self._peek() == b""

    def _has_unread(self) -> bool:
        return bool(self._peek())

    def _peek(self) -> bytes | None:
        """Return the next unread byte, empty if the caller has closed.

        ``None`` if nothing was received yet.
        """
        timeout = self._socket.gettimeout()
        self._socket.settimeout(0.0)
        try:
            return self._socket.recv(1, plain_socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            # Reset, or closed by ``run``, whose signal to stop the handler may
            # still be queued in the event loop.
            return b""
        finally:
            self._socket.settimeout(timeout)

    def close_gracefully(self) -> None:
        """Close this side and wait a moment for the caller to close."""
        if self.closing:
            return
        self.closing = True
        self._on_closing(self)
        self.idle_since = time.monotonic()
        try:
            self._socket.shutdown(plain_socket.SHUT_WR)
        except OSError:
            self._aborted = True

    def close_after_answer(self) -> None:
        """Close the connection after the current response.

        The response announces this if its head was not sent yet. Otherwise the
        connection is closed without notice; a caller that has just sent its
        next request sees that it was not read, and may retry it.
        """
        self._keep_alive = False

    def write(self, data: bytes) -> None:
        """Write bytes.

        Raises:
            OSError: The caller has disconnected, or does not read.
        """
        if self._keeps_handler:
            return
        if self._writer is not None:
            self._writer.put(data)
            self._writer.wait_for_room(self.hold.find_limit)
            return
        self.hold.set_response(len(data))
        try:
            self._socket.settimeout(10.0)
            self._socket.sendall(data)
        finally:
            self.hold.set_response(0)

    @property
    def blocked_seconds(self) -> float:
        """Time for which a handler has waited for room for its bytes."""
        return 0.0 if self._writer is None else self._writer.blocked_seconds

    @property
    def streams_responses(self) -> bool:
        """Whether bytes may wait here while the handler goes on."""
        return self._writer is not None

    def send_whole(
        self,
        *,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a response of known length.

        One that has no body by its method or status ends with its head.
        """
        self._send_head(status, headers, _make_length(len(body)), body)
        self._finish()

    def begin_whole(
        self,
        *,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        length: int,
    ) -> None:
        """Send the head of a response of known length.

        Its body follows by ``send_part`` and ends with ``end_whole``.
        """
        self._send_head(status, headers, _make_length(length), b"")

    def send_part(self, data: bytes) -> None:
        """Send a part of the body of a response of known length."""
        if self._has_body:
            self.write(data)

    def end_whole(self) -> None:
        """Mark a response of known length as complete."""
        self._finish()

    def begin_stream(
        self, *, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Send the head of a response of unknown length."""
        framing = (b"Transfer-Encoding", b"chunked")
        self._send_head(status, headers, framing, b"")

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk of the response."""
        if self._has_body:
            self.write(messages.write_chunk(data))

    def end_stream(self) -> None:
        """Send the last chunk, which marks the response as complete."""
        if self._has_body:
            self.write(messages.LAST_CHUNK)
        self._finish()

    def _send_head(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        framing: tuple[bytes, bytes],
        body: bytes,
    ) -> None:
        self.response_started = True
        self._has_body = messages.has_body(self._method, status)
        sent = [*headers]
        # To HEAD it tells of the response to GET; 204 must not have any.
        if self._has_body or self._method == b"HEAD":
            sent.append(framing)
        if not self._keep_alive:
            sent.append((b"Connection", b"close"))
        data = messages.write_head(status=status, headers=sent)
        self.write(data + body if self._has_body else data)

    def _finish(self) -> None:
        if self._writer is not None and not self._keeps_handler:
            self._writer.flush()
        if self._keeps_handler:
            return
        self.response_completed = True
        if not self._keep_alive:
            self.close_gracefully()


def _make_length(length: int) -> tuple[bytes, bytes]:
    return b"Content-Length", b"%d" % length


def _start_immediately(
    handler: gevent.Greenlet, request: messages.Request
) -> None:
    del request
    handler.start()


def _do_nothing(*args: object) -> None:
    del args
