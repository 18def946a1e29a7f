"""One connection to another process, for sequential exchanges.

Errors are distinguished by what they imply for the request: after
``NotConnectedError`` nothing was sent. Its subclass ``NoDescriptorsError``
implies nothing about the peer, and ``RefusedError`` that its process has ended.
After ``ConnectionBrokeError`` and
``AnswerTimeoutError`` a request that was sent may have run.
"""

import socket as plain_socket
import time

from gevent import socket

from daisypick_http import bodies
from daisypick_http import messages
from daisypick_http import progress as progress_module
from daisypick_http import response_reader

_RECEIVE_BYTES = 65536
# Time between two looks for an early response while a peer does not read.
_EARLY_LOOK_SECONDS = 0.05
# Largest body that is copied into one packet with its head.
_COPY_BYTES = 16384
_MIN_TIMEOUT_SECONDS = 0.001
# The kernel closes a connection with unacknowledged bytes after this time, so
# an unreachable peer does not hold it for the system's default of a quarter of
# an hour. The value is three times the longest freeze that a peer survives.
_TCP_USER_TIMEOUT_MS = 10_000


class NotConnectedError(Exception):
    """The connection was not established; nothing was sent."""


class RefusedError(NotConnectedError):
    """The peer's host responded that nothing listens at the address."""


class NoDescriptorsError(NotConnectedError):
    """This process has no free file descriptor; the peer was not contacted."""


class ConnectionBrokeError(Exception):
    """The connection broke; a request that was sent may have run."""


class AnswerTimeoutError(Exception):
    """Nothing was received in time; a request that was sent may have run."""


def enable_keepalive(probed: socket.socket, seconds: int) -> None:
    """Enable TCP keepalive, which closes an unresponsive connection.

    A device between the two ends may have dropped its state of a connection;
    then neither data nor a reset is ever received on it.
    """
    tcp = plain_socket.IPPROTO_TCP
    probed.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
    probed.setsockopt(tcp, plain_socket.TCP_KEEPIDLE, 1)
    probed.setsockopt(tcp, plain_socket.TCP_KEEPINTVL, 1)
    probed.setsockopt(tcp, plain_socket.TCP_KEEPCNT, seconds - 1)
    probed.setsockopt(tcp, plain_socket.TCP_USER_TIMEOUT, seconds * 1000)


def receive(
    connected: socket.socket, timeout: float, most: int = _RECEIVE_BYTES
) -> bytes:
    """Return the next bytes, or none after the peer closed the connection.

    The event loop takes a bounded number of events from the kernel per
    iteration and runs the due timers before it takes the others. A delayed loop
    would thus run the timers of sockets whose bytes arrived in time, so a
    socket is read once more after its timer has run.

    Raises:
        TimeoutError: Nothing was received within ``timeout`` seconds.
        OSError: The connection broke.
    """
    try:
        connected.settimeout(max(timeout, _MIN_TIMEOUT_SECONDS))
        return connected.recv(most)
    except TimeoutError:
        connected.settimeout(0.0)
        try:
            return connected.recv(most)
        except BlockingIOError:
            raise TimeoutError("timed out") from None


def open_socket() -> socket.socket:
    """Return a socket that is not connected.

    Raises:
        NoDescriptorsError: This process has no free file descriptor.
    """
    try:
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise NoDescriptorsError(str(error)) from error


def is_connected(connecting: socket.socket) -> bool:
    """Return whether a connection has been established."""
    try:
        connecting.getpeername()
    except OSError:
        return False
    return True


class Connection:
    """A connected socket and the response that is being read from it.

    Attributes:
        address: IP address and port of the peer.
        opened_at: Monotonic time at which the connection was established.
        idle_since: Monotonic time at which bytes were last received, or of
            the opening.
        idle_limit: Seconds for which the peer keeps an idle connection, or
            ``None`` if the peer does not announce it.
        open_until: Seconds of the current idle time after which the connection
            was last seen open.
        exchanges: Number of requests sent.
        reader: Parser of the current response.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        connect_timeout: float,
        keepalive_timeout: int | None = None,
        receive_bytes: int | None = None,
    ) -> None:
        """Connect.

        Args:
            address: IP address and port.
            connect_timeout: Seconds within which the connection must be
                established.
            keepalive_timeout: Seconds after which the kernel closes the
                connection if the peer does not respond to keepalive probes;
                ``None`` for no probes.
            receive_bytes: Size of the kernel's receive buffer, which it
                doubles; ``None`` for one that grows to some megabytes. While it
                is full, the kernel asks for more only after a sixteenth of it
                was read, so a large one makes a peer wait for long.

        Raises:
            NoDescriptorsError: This process has no free file descriptor.
            RefusedError: The peer refused the connection.
            NotConnectedError: The peer reset the connection, or did not respond
                within ``connect_timeout`` seconds.
        """
        self.address = address
        self.idle_since = time.monotonic()
        self.idle_limit: float | None = None
        self.open_until = 0.0
        self.exchanges = 0
        self.reader: response_reader.ResponseReader | None = None
        self._is_sent = True
        self._was_read_late = False
        self._socket = open_socket()
        try:
            self._socket.setsockopt(
                plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
            )
            self._socket.setsockopt(
                plain_socket.IPPROTO_TCP,
                plain_socket.TCP_USER_TIMEOUT,
                _TCP_USER_TIMEOUT_MS,
            )
            if receive_bytes is not None:
                self._socket.setsockopt(
                    plain_socket.SOL_SOCKET,
                    plain_socket.SO_RCVBUF,
                    receive_bytes,
                )
            if keepalive_timeout is not None:
                enable_keepalive(self._socket, keepalive_timeout)
            self._connect(connect_timeout)
            self.opened_at = time.monotonic()
        except ConnectionRefusedError as error:
            self._socket.close()
            raise RefusedError(f"{address}: {error}") from error
        except OSError as error:
            self._socket.close()
            raise NotConnectedError(f"{address}: {error}") from error

    def _connect(self, timeout: float) -> None:
        self._socket.settimeout(timeout)
        try:
            self._socket.connect(self.address)
        except TimeoutError:
            # A delayed event loop may run the timer although the connection was
            # established in time, as in ``receive``.
            if not is_connected(self._socket):
                raise

    def send(
        self,
        data: bytes,
        *,
        method: bytes,
        timeout: float,
        body: bodies.Body = b"",
        bound: progress_module.ProgressBound | None = None,
    ) -> None:
        """Send a request and prepare to read its response.

        Args:
            data: The request, or its head.
            method: Its method.
            timeout: Seconds within which all of it is to be sent.
            body: The rest of it. Small ones are copied into one packet with
                the head; large ones are not copied.
            bound: Progress that is asked of the peer besides.

        Raises:
            ConnectionBrokeError: The peer closed the connection or does not
                read.
        """
        self.exchanges += 1
        self.open_until = 0.0
        self.reader = response_reader.ResponseReader(method=method)
        parts: list[bytes | bytearray] = [data, *bodies.iterate_blocks(body)]
        if len(body) <= _COPY_BYTES:
            parts = [b"".join(parts)]
        self._is_sent = False
        try:
            if bound is not None:
                self._send_paced(parts, timeout, bound)
            else:
                for part in parts:
                    self._socket.settimeout(timeout)
                    self._socket.sendall(part)
        except OSError as error:
            raise ConnectionBrokeError(f"send: {error}") from error
        self._is_sent = True

    def _send_paced(
        self,
        parts: list[bytes | bytearray],
        timeout: float,
        bound: progress_module.ProgressBound,
    ) -> None:
        now = time.monotonic()
        until = now + timeout
        progress = progress_module.Progress(bound, now)
        for part in parts:
            rest = memoryview(part)
            while rest:
                wait = min(
                    min(progress.due_at, until) - time.monotonic(),
                    _EARLY_LOOK_SECONDS,
                )
                self._socket.settimeout(max(wait, _MIN_TIMEOUT_SECONDS))
                try:
                    sent = self._socket.send(rest[:_RECEIVE_BYTES])
                except TimeoutError:
                    sent = 0
                    if not self.is_open_and_idle():
                        raise ConnectionResetError(
                            "peer answers before it has the request"
                        ) from None
                rest = rest[sent:]
                progress.note(sent)
                now = time.monotonic()
                if rest and (now >= until or progress.is_late(now)):
                    raise TimeoutError("peer reads too slowly")

    def read(self, timeout: float, *, is_bounded: bool = False) -> None:
        """Read available bytes into ``reader``.

        Once the time has passed, which a delayed event loop finds out late, the
        socket is read once more. A peer that goes on sending gets no more time.

        Args:
            timeout: Seconds to wait; zero or less if the time has passed.
            is_bounded: Whether what is read without progress is bounded by its
                size, so that the peer gets more time while it sends.

        Raises:
            AnswerTimeoutError: Nothing was received within ``timeout`` seconds,
                or the time had passed as the socket was last read.
            ConnectionBrokeError: The connection was reset.
        """
        is_late = timeout <= 0.0
        if is_late and self._was_read_late and not is_bounded:
            raise AnswerTimeoutError("still incomplete as its time had passed")
        self._was_read_late = is_late
        try:
            data = receive(self._socket, timeout)
        except TimeoutError as error:
            raise AnswerTimeoutError(f"silent for {timeout:.3f} s") from error
        except OSError as error:
            raise ConnectionBrokeError(f"receive: {error}") from error
        if data:
            self.idle_since = time.monotonic()
            self.reader.feed(data)
        else:
            self.reader.feed_end()

    def is_reusable(self) -> bool:
        """Return whether another request may be sent on the connection.

        The response must be complete and the peer must keep the connection. A
        connection that has not been used yet is reusable.
        """
        reader = self.reader
        if reader is None:
            return True
        return (
            self._is_sent
            and reader.complete
            and reader.keep_alive
            and not reader.surplus
        )

    def is_open_and_idle(self) -> bool:
        """Return whether an idle connection is open and has nothing to read.

        A connection that the peer has closed, or on which unsolicited bytes
        were received, must not carry a request: the bytes would be parsed as
        its response.
        """
        try:
            self._socket.settimeout(0.0)
            self._socket.recv(1, plain_socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def update_idle_limit(self) -> None:
        """Set ``idle_limit`` from the peer's ``Keep-Alive`` header."""
        if self.reader is None:
            return
        headers = self.reader.head.headers
        value = messages.find_header(headers, b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.idle_limit = float(seconds)

    def close(self) -> None:
        """Close the connection, upon which the peer cancels the request."""
        self._socket.close()
