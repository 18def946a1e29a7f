"""One connection to another process, for one exchange after the other.

Errors are told apart by what they say about the request: with
``NotConnectedError`` nothing was sent, which with ``NoDescriptorsError`` tells
nothing of the peer; after ``ConnectionBrokeError`` and
``AnswerTimeoutError`` a request that was sent may have run.
"""

import socket as plain_socket
import time

from gevent import socket

from daisypick_http import answer_reader
from daisypick_http import messages

_RECEIVE_BYTES = 65536
_LEAST_TIMEOUT_SECONDS = 0.001
# The kernel gives up on unacknowledged bytes after this long, so a peer
# that went dark holds no connection for the quarter of an hour that is the
# system's default. Three times the longest freeze that a peer survives here.
_USER_TIMEOUT_MILLISECONDS = 10_000


class NotConnectedError(Exception):
    """The connection was not established; nothing was sent."""


class NoDescriptorsError(NotConnectedError):
    """This process has no descriptor left; the peer was not tried."""


class ConnectionBrokeError(Exception):
    """The connection broke; what was sent may have run."""


class AnswerTimeoutError(Exception):
    """Nothing came in time; what was sent may have run."""


def probe_silence(probed: socket.socket, seconds: int) -> None:
    """Let the kernel end a connection that is silent for some seconds.

    Something between the two ends may have lost track of a connection; then
    nothing ever comes on it, and no reset either.
    """
    tcp = plain_socket.IPPROTO_TCP
    probed.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
    probed.setsockopt(tcp, plain_socket.TCP_KEEPIDLE, 1)
    probed.setsockopt(tcp, plain_socket.TCP_KEEPINTVL, 1)
    probed.setsockopt(tcp, plain_socket.TCP_KEEPCNT, seconds - 1)
    probed.setsockopt(tcp, plain_socket.TCP_USER_TIMEOUT, seconds * 1000)


def receive(connected: socket.socket, timeout: float) -> bytes:
    """Return the next bytes, or none after the peer's end.

    The event loop takes a bounded number of events from the kernel in a turn
    and runs the timers that are due before it takes the rest. A loop that was
    held up would thus run the timers of sockets whose bytes came in time, so
    a socket is read once more after its timer has run.

    Raises:
        TimeoutError: Nothing came within ``timeout`` seconds.
        OSError: The connection broke.
    """
    try:
        connected.settimeout(max(timeout, _LEAST_TIMEOUT_SECONDS))
        return connected.recv(_RECEIVE_BYTES)
    except TimeoutError:
        connected.settimeout(0.0)
        try:
            return connected.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            raise TimeoutError("timed out") from None


def open_socket() -> socket.socket:
    """Return a socket that is not connected.

    Raises:
        NoDescriptorsError: This process has no descriptor left.
    """
    try:
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise NoDescriptorsError(str(error)) from error


def is_connected(connecting: socket.socket) -> bool:
    """Tell whether a connection has been established."""
    try:
        connecting.getpeername()
    except OSError:
        return False
    return True


class Connection:
    """A connected socket and the answer that is being read from it."""

    def __init__(
        self,
        *,
        address: tuple[str, int],
        connect_timeout: float,
        silence_limit: int | None = None,
    ) -> None:
        """Connect.

        Args:
            address: IP number and port.
            connect_timeout: Seconds for the connection to be established.
            silence_limit: Seconds after which the kernel ends a connection
                whose peer does not answer probes; ``None`` for no probes.

        Raises:
            NoDescriptorsError: This process has no descriptor left.
            NotConnectedError: The peer refused, reset or did not answer in
                ``connect_timeout`` seconds.
        """
        self.address = address
        self.idle_since = time.monotonic()
        self.idle_limit: float | None = None
        self.exchanges = 0
        self.reader: answer_reader.AnswerReader | None = None
        self._socket = open_socket()
        try:
            self._socket.setsockopt(
                plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
            )
            self._socket.setsockopt(
                plain_socket.IPPROTO_TCP,
                plain_socket.TCP_USER_TIMEOUT,
                _USER_TIMEOUT_MILLISECONDS,
            )
            if silence_limit is not None:
                probe_silence(self._socket, silence_limit)
            self._connect(connect_timeout)
        except OSError as error:
            self._socket.close()
            raise NotConnectedError(f"{address}: {error}") from error

    def _connect(self, timeout: float) -> None:
        self._socket.settimeout(timeout)
        try:
            self._socket.connect(self.address)
        except TimeoutError:
            # Established in time, as in ``receive``.
            if not is_connected(self._socket):
                raise

    def send(self, data: bytes, *, method: bytes, timeout: float) -> None:
        """Send a request and get ready for its answer.

        Raises:
            ConnectionBrokeError: The peer closed or does not read.
        """
        self.exchanges += 1
        self.reader = answer_reader.AnswerReader(method=method)
        try:
            self._socket.settimeout(timeout)
            self._socket.sendall(data)
        except OSError as error:
            raise ConnectionBrokeError(f"send: {error}") from error

    def read(self, timeout: float) -> None:
        """Read some bytes into ``reader``.

        Raises:
            AnswerTimeoutError: Nothing came within ``timeout`` seconds.
            ConnectionBrokeError: The connection was reset.
        """
        try:
            data = receive(self._socket, timeout)
        except TimeoutError as error:
            raise AnswerTimeoutError(f"silent for {timeout:.3f} s") from error
        except OSError as error:
            raise ConnectionBrokeError(f"receive: {error}") from error
        if data:
            self.reader.feed(data)
        else:
            self.reader.feed_end()

    def is_reusable(self) -> bool:
        """Tell whether the answer was whole and the connection stays."""
        reader = self.reader
        return (
            reader is not None
            and reader.complete
            and reader.keep_alive
            and not reader.surplus
        )

    def is_quiet(self) -> bool:
        """Tell whether an idle connection is open and has nothing to read.

        A connection that the peer has closed, or on which bytes arrived
        that nobody asked for, must not carry a request: the bytes would be
        taken for its answer.
        """
        try:
            self._socket.settimeout(0.0)
            self._socket.recv(1, plain_socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def read_idle_limit(self) -> None:
        """Take how long the peer keeps the connection, if it says so."""
        headers = self.reader.head.headers
        value = messages.find_header(headers, b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.idle_limit = float(seconds)

    def close(self) -> None:
        """Close the connection; the peer stops working on the request."""
        self._socket.close()
