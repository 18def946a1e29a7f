"""Batched message lines over one connection between two routers.

Messages queued in one iteration of the event loop are sent in one write.
Neither end waits for the other: a peer that does not read is disconnected,
and requests that wait for its reply are decided locally.
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
# A line holds at most the data of a request's head; a peer that sends more is
# not a router.
_MAX_LINE_BYTES = 1 << 20
# Bytes that may be queued for a peer; several thousand messages.
_MAX_UNSENT_BYTES = 4 << 20
_SEND_SECONDS = 1.0


class PeerChannel:
    """One end of a connection.

    ``on_message(channel, message)`` is called for each message of the peer,
    ``on_invalid(failure)`` for each line that cannot be decoded.

    Attributes:
        last_received_at: When data was last received.
        closed: Whether the connection has ended.
        queued: Number of messages queued so far.
        written: Number of them that were written to the socket.
    """

    def __init__(
        self,
        *,
        socket: plain_socket.socket,
        on_message: Callable[["PeerChannel", typing.Any], None],
        on_invalid: Callable[[failure.Failure], None],
    ) -> None:
        self._socket = socket
        self._on_message = on_message
        self._on_invalid = on_invalid
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._has_unsent = event.Event()
        self.last_received_at = time.monotonic()
        self.closed = False
        self.queued = 0
        self.written = 0
        socket.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)

    def send(self, message: typing.Any) -> None:
        """Queue a message; it is dropped if the channel is closed."""
        if not self.closed:
            self.send_line(peer_messages.encode(message))

    def send_line(self, line: bytes) -> None:
        """Queue an encoded message, such as one sent to several peers."""
        if self.closed:
            return
        self._unsent.append(line)
        self.queued += 1
        self._unsent_bytes += len(line)
        if self._unsent_bytes > _MAX_UNSENT_BYTES:
            self.close()
            return
        self._has_unsent.set()

    def has_unread(self) -> bool:
        """Return whether data from the peer is waiting to be read."""
        timeout = self._socket.gettimeout()
        self._socket.settimeout(0.0)
        try:
            return bool(self._socket.recv(1, plain_socket.MSG_PEEK))
        except OSError:
            # No data has arrived, or the connection has ended.
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
                self.last_received_at = time.monotonic()
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    self._handle_line(line)
                if len(rest) > _MAX_LINE_BYTES:
                    return
        except OSError:
            # Equivalent to the end of the connection, which ``closed`` reports
            # to those that wait on it.
            return
        finally:
            self.close()
            writer.kill(block=False)

    def _handle_line(self, line: bytes) -> None:
        message = peer_messages.decode(line)
        if failure.is_failure(message):
            self._on_invalid(message)
        else:
            self._on_message(self, message)

    def _write(self) -> None:
        while not self.closed:
            self._has_unsent.wait()
            self._has_unsent.clear()
            data = b"".join(self._unsent)
            last_queued = self.queued
            self._unsent.clear()
            self._unsent_bytes = 0
            try:
                self._socket.settimeout(_SEND_SECONDS)
                self._socket.sendall(data)
                self.written = last_queued
            except OSError:
                # The reader sees this as the end of the connection.
                self.close()

    def close(self) -> None:
        """End the connection."""
        if self.closed:
            return
        self.closed = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(plain_socket.SHUT_RDWR)
        self._socket.close()
