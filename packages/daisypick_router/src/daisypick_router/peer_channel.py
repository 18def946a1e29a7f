"""Lines over one connection between two routers, gathered before they go.

Messages that are made in one turn of the loop leave in one write. Neither
end waits for the other: a peer that does not read is cut off, and whoever
waits for it decides alone.
"""

from collections.abc import Callable
import contextlib
import socket as plain_socket
import time
import typing

import gevent
from gevent import event

from daisypick_core.results import failure
from daisypick_router import peer_messages

_RECEIVE_BYTES = 65536
# A line is a request's head at the most; a peer that sends more is no router.
_LONGEST_LINE = 1 << 20
# Bytes that a peer may leave unread; some thousand messages.
_MOST_UNSENT = 4 << 20
_SEND_SECONDS = 1.0


class PeerChannel:
    """One end of a connection.

    ``on_message(channel, message)`` gets what the peer says,
    ``on_bad(failure)`` what is no message.

    Attributes:
        heard_at: When something last came.
        closed: Whether the connection has ended.
        queued: How many messages were ever to be sent.
        written: How many of them have left.
    """

    def __init__(
        self,
        *,
        socket: plain_socket.socket,
        on_message: Callable[["PeerChannel", typing.Any], None],
        on_bad: Callable[[failure.Failure], None],
    ) -> None:
        self._socket = socket
        self._on_message = on_message
        self._on_bad = on_bad
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._has_unsent = event.Event()
        self.heard_at = time.monotonic()
        self.closed = False
        self.queued = 0
        self.written = 0
        socket.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)

    def send(self, message: typing.Any) -> None:
        """Send a message soon; a closed channel drops it."""
        if not self.closed:
            self.send_line(peer_messages.encode(message))

    def send_line(self, line: bytes) -> None:
        """Send an encoded message, such as one that goes to many."""
        if self.closed:
            return
        self._unsent.append(line)
        self.queued += 1
        self._unsent_bytes += len(line)
        if self._unsent_bytes > _MOST_UNSENT:
            self.close()
            return
        self._has_unsent.set()

    def has_unread(self) -> bool:
        """Tell whether the peer said something that was not read yet."""
        timeout = self._socket.gettimeout()
        self._socket.settimeout(0.0)
        try:
            return bool(self._socket.recv(1, plain_socket.MSG_PEEK))
        except OSError:
            # Nothing has come, or the connection has ended.
            return False
        finally:
            self._socket.settimeout(timeout)

    def run(self) -> None:
        """Read until the connection ends."""
        writer = gevent.spawn(self._write)
        rest = b""
        try:
            while not self.closed:
                self._socket.settimeout(None)
                data = self._socket.recv(_RECEIVE_BYTES)
                if not data:
                    return
                self.heard_at = time.monotonic()
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    self._take(line)
                if len(rest) > _LONGEST_LINE:
                    return
        except OSError:
            # The end of the connection is all there is to know; whoever
            # waits on it is told by ``closed``.
            return
        finally:
            self.close()
            writer.kill(block=False)

    def _take(self, line: bytes) -> None:
        message = peer_messages.decode(line)
        if failure.is_failure(message):
            self._on_bad(message)
        else:
            self._on_message(self, message)

    def _write(self) -> None:
        while not self.closed:
            self._has_unsent.wait()
            self._has_unsent.clear()
            data = b"".join(self._unsent)
            leaving = self.queued
            self._unsent.clear()
            self._unsent_bytes = 0
            try:
                self._socket.settimeout(_SEND_SECONDS)
                self._socket.sendall(data)
                self.written = leaving
            except OSError:
                # Seen by the reader as the end of the connection.
                self.close()

    def close(self) -> None:
        """End the connection."""
        if self.closed:
            return
        self.closed = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(plain_socket.SHUT_RDWR)
        self._socket.close()
