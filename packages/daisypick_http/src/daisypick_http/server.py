"""One caller's connection: requests come in, answers go out, callers leave.

The reader goes on reading while a request is handled. That is how it sees a
caller close its connection, upon which the handler is ended at once and with
it the work at the backend server. A closing connection first ends its
writing side and reads on for a moment: closing with unread bytes would reset
the connection and could take the answer with it.
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import socket as plain_socket
import time

import gevent

from daisypick_http import connection as connections
from daisypick_http import messages
from daisypick_http import request_reader

# Longest wait for the caller's end of a connection that we have ended.
_LINGER_SECONDS = 1.0


class CallerLeft(gevent.GreenletExit):
    """The caller closed its connection; its request is of no use to it."""


class Limits:
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Most bytes of a head.
        body_bytes: Most bytes of a body.
        header_timeout: Seconds from the first byte of a head to its last.
        idle_timeout: Seconds that an idle connection is kept.
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

    ``handle(connection, request)`` answers each request by ``send_whole`` or
    by ``begin_stream``, ``send_chunk`` and ``end_stream``. It runs in a
    greenlet of its own, which ``begin(greenlet, request)`` starts, at once or
    when there is time. ``on_drop(request, reason)`` is told of each whole
    request that ends with the connection and was never handled,
    ``on_idle(connection, idle)`` of each request's start and end.

    Attributes:
        idle_since: When it last had nothing to do.
        closing: Whether our side has ended.
        exchanges: Requests that were begun on it.
        answer_begun: Whether the head of the running answer went out.
        answer_ended: Whether the running answer went out whole.
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
    ) -> None:
        self._socket = socket
        self._begin = begin or _begin_at_once
        self._on_drop = on_drop or _ignore
        self._on_idle = on_idle or _ignore
        self._unbegun: messages.Request | None = None
        self._handle = handle
        self._limits = limits
        self._handler: gevent.Greenlet | None = None
        # Whether it is served no longer, and why.
        self._ended = False
        self._reason = "closed by the router"
        self.idle_since = time.monotonic()
        self._idle_timeout = limits().idle_timeout
        self._reader = request_reader.RequestReader(
            header_bytes=limits().header_bytes, body_bytes=limits().body_bytes
        )
        self.closing = False
        self._aborted = False
        self._keep_alive = True
        self.exchanges = 0
        self.answer_begun = False
        self.answer_ended = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is read, in part or whole, or handled."""
        reader = self._reader
        return (
            self._handler is None
            and reader.began_at is None
            and not reader.requests
        )

    def run(self) -> None:
        """Serve the connection until either end closes it."""
        self._socket.setsockopt(
            plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
        )
        try:
            while not self._aborted and self._read_once(self._reader):
                pass
        finally:
            self._ended = True
            if self._handler is not None:
                self._handler.kill(CallerLeft(self._reason), block=False)
            self._socket.close()
            self._drop_unhandled()

    def _drop_unhandled(self) -> None:
        unhandled = [*self._reader.requests]
        if self._unbegun is not None:
            unhandled.insert(0, self._unbegun)
        reason = "came after our end" if self.closing else self._reason
        for request in unhandled:
            self._on_drop(request, reason)

    def _read_once(self, reader: request_reader.RequestReader) -> bool:
        """Read and serve what came; return whether to go on."""
        timeout = self._next_timeout(reader)
        if timeout <= 0.0 and self.closing:
            return False
        try:
            data = connections.receive(self._socket, timeout)
        except TimeoutError:
            silent = self._next_timeout(reader) <= 0.0
            return self._end_silence(reader) if silent else True
        except OSError as error:
            self._reason = str(error)
            return False
        if not data:
            self._reason = "closed by the caller"
            return False
        limits = self._limits()
        reader.set_limits(
            header_bytes=limits.header_bytes, body_bytes=limits.body_bytes
        )
        reader.feed(data, time.monotonic())
        if self.closing and self._handler is None:
            return True
        if reader.wants_continue and not reader.refusal:
            reader.wants_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return self._serve_read(reader)

    def _serve_read(self, reader: request_reader.RequestReader) -> bool:
        while reader.requests and not self._aborted:
            if self._handler is not None:
                self._handler.join()
            if self.closing or self._aborted:
                break
            self._start(reader.requests.pop(0))
        if reader.refusal is not None and not self.closing:
            if self._handler is not None:
                self._handler.join()
            self.refuse_bytes(reader.refusal)
        return True

    def refuse_bytes(self, refusal: request_reader.Refusal) -> None:
        """Answer bytes that are no acceptable request, and close."""
        self._keep_alive = False
        self.send_whole(
            status=refusal.status, headers=(), body=refusal.reason.encode()
        )

    def _next_timeout(self, reader: request_reader.RequestReader) -> float:
        now = time.monotonic()
        if self._handler is not None:
            return self._limits().idle_timeout
        if self.closing:
            return self.idle_since + _LINGER_SECONDS - now
        if reader.began_at is not None:
            return reader.began_at + self._limits().header_timeout - now
        self._idle_timeout = max(
            self._idle_timeout, self._limits().idle_timeout
        )
        return self.idle_since + self._idle_timeout - now

    def _end_silence(self, reader: request_reader.RequestReader) -> bool:
        if self.closing:
            return False
        if reader.began_at is not None:
            self.refuse_bytes(
                request_reader.Refusal(
                    status=408, reason="request came too slowly"
                )
            )
            return True
        self.close_idle()
        if not self.closing:
            self.idle_since = time.monotonic()
        return True

    def _start(self, request: messages.Request) -> None:
        self._keep_alive = request.keep_alive
        self.exchanges += 1
        self.answer_begun = False
        self.answer_ended = False
        self._unbegun = request
        self._on_idle(self, False)
        self._handler = gevent.Greenlet(self._run_handler, request)
        self._begin(self._handler, request)

    def _run_handler(self, request: messages.Request) -> None:
        self._unbegun = None
        try:
            self._handle(self, request)
        except OSError:
            self.abort()
        finally:
            self._handler = None
            self.idle_since = time.monotonic()
            self._idle_timeout = self._limits().idle_timeout
            if not self._ended:
                self._on_idle(self, True)

    def abort(self) -> None:
        """Cut the connection, so that no answer on it looks whole."""
        self._aborted = True
        self._socket.settimeout(0.0)
        # The caller may have closed first; then there is nothing to cut.
        with contextlib.suppress(OSError):
            self._socket.shutdown(plain_socket.SHUT_RDWR)

    def close_idle(self) -> None:
        """End our side unless a request has come that was not read yet.

        A busy process reads late. Ending its side of a connection on which a
        whole request lies would leave that caller without an answer.
        """
        if self.is_idle and not self._has_unread():
            self.close_softly()

    def has_left(self) -> bool:
        """Tell whether the caller closed, though nobody may have read that.

        A busy process reads late. What it sends on after its caller has left
        costs a backend server work that is for nobody.
        """
        return self._peek() == b""

    def _has_unread(self) -> bool:
        return bool(self._peek())

    def _peek(self) -> bytes | None:
        """Return the next unread byte, or none after the caller's end.

        ``None`` if nothing has come yet.
        """
        timeout = self._socket.gettimeout()
        self._socket.settimeout(0.0)
        try:
            return self._socket.recv(1, plain_socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            # Reset, or closed by the reader, whose word to end the handler
            # may still wait for its turn in the loop.
            return b""
        finally:
            self._socket.settimeout(timeout)

    def close_softly(self) -> None:
        """End our side; the caller's end is awaited for a moment."""
        if self.closing:
            return
        self.closing = True
        self.idle_since = time.monotonic()
        try:
            self._socket.shutdown(plain_socket.SHUT_WR)
        except OSError:
            self._aborted = True

    def close_after_answer(self) -> None:
        """End the connection after the answer, announced if it can be.

        An answer whose head is out already is followed by the end itself. A
        caller that had just sent its next request sees it unread, and may
        send it again.
        """
        self._keep_alive = False

    def write(self, data: bytes) -> None:
        """Write bytes.

        Raises:
            OSError: The caller is gone, or does not read.
        """
        self._socket.settimeout(10.0)
        self._socket.sendall(data)

    def send_whole(
        self,
        *,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send an answer of known length."""
        framed = [*headers, (b"Content-Length", b"%d" % len(body))]
        self._send_head(status, framed, body)
        self._finish()

    def begin_stream(
        self, *, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Send the head of an answer whose length is not known."""
        framed = [*headers, (b"Transfer-Encoding", b"chunked")]
        self._send_head(status, framed, b"")

    def send_chunk(self, data: bytes) -> None:
        """Send a piece of the answer."""
        self.write(messages.write_chunk(data))

    def end_stream(self) -> None:
        """Mark the answer as whole."""
        self.write(messages.LAST_CHUNK)
        self._finish()

    def _send_head(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        self.answer_begun = True
        if not self._keep_alive:
            headers.append((b"Connection", b"close"))
        self.write(messages.write_head(status=status, headers=headers) + body)

    def _finish(self) -> None:
        self.answer_ended = True
        if not self._keep_alive:
            self.close_softly()


def _begin_at_once(handler: gevent.Greenlet, request: messages.Request) -> None:
    del request
    handler.start()


def _ignore(*facts: object) -> None:
    del facts
