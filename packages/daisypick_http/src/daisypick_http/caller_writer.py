"""Writes to a caller without waiting for it, up to a bound of bytes.

What the kernel does not take at once is kept here and sent by a greenlet, so
that whoever produces the bytes can go on. A caller that takes fewer bytes than
the bound on progress asks for is reported once.
"""

import collections
from collections.abc import Callable
import fcntl
import socket as plain_socket
import struct
import termios
import time

import gevent
from gevent import event
from gevent import socket

from daisypick_http import progress as progress_module

# Size of the kernel's buffer, which it doubles. It would grow to some
# megabytes for each slow caller otherwise, beyond what this process counts.
_KERNEL_BUFFER_BYTES = 65_536
_SEND_BYTES = 65_536
# The kernel takes bytes in steps of a third of its buffer; progress is looked
# at more often than that.
_LOOK_SECONDS = 0.5


class CallerWriter:
    """The outgoing bytes of one caller's connection.

    Attributes:
        waiting: Bytes that are kept here.
        blocked_seconds: Time for which producers waited for room.
    """

    def __init__(
        self,
        *,
        connected: socket.socket,
        bound: progress_module.ProgressBound,
        on_waiting: Callable[[int], None],
        on_slow: Callable[[], None],
    ) -> None:
        """Create a writer.

        Args:
            connected: The caller's socket.
            bound: The progress that is asked for.
            on_waiting: Called with ``waiting`` when it has changed.
            on_slow: Called when the caller misses the bound.
        """
        self._socket = connected
        self._bound = bound
        self._on_waiting = on_waiting
        self._on_slow = on_slow
        self._chunks: collections.deque[memoryview] = collections.deque()
        self.waiting = 0
        self.blocked_seconds = 0.0
        self._error: OSError | None = None
        self._discards = False
        self._has_changed = event.Event()
        self._sender: gevent.Greenlet | None = None
        self._accepted = 0
        connected.setsockopt(
            plain_socket.SOL_SOCKET,
            plain_socket.SO_SNDBUF,
            _KERNEL_BUFFER_BYTES,
        )

    def put(self, data: bytes) -> None:
        """Send bytes, or keep those that the kernel does not take now.

        Raises:
            OSError: The caller has disconnected or misses the bound.
        """
        if self._discards:
            return
        if self._error is not None:
            raise self._error
        rest = memoryview(data)
        if not self._chunks:
            rest = rest[self._send_now(rest) :]
        if not rest:
            return
        self._chunks.append(rest)
        self._set_waiting(self.waiting + len(rest))
        if self._sender is None:
            self._sender = gevent.spawn(self._run)

    def _send_now(self, data: memoryview) -> int:
        try:
            sent = self._socket.send(data, 0, 0.0)
        except BlockingIOError:
            return 0
        self._accepted += sent
        return sent

    def wait_for_room(self, find_limit: Callable[[float], float]) -> None:
        """Wait until fewer bytes are kept than the limit.

        ``find_limit(waited)`` gets the seconds for which the call has waited.

        Raises:
            OSError: The caller has disconnected or misses the bound.
        """
        if self.waiting < find_limit(0.0):
            return
        began_at = time.monotonic()
        try:
            while self.waiting and self.waiting >= find_limit(
                time.monotonic() - began_at
            ):
                self._wait_for_change()
        finally:
            self.blocked_seconds += time.monotonic() - began_at
        self._raise_error()

    def flush(self) -> None:
        """Wait until the kernel has all bytes.

        Raises:
            OSError: The caller has disconnected or misses the bound.
        """
        while self.waiting:
            self._wait_for_change()
        self._raise_error()

    def _wait_for_change(self) -> None:
        self._has_changed.clear()
        self._has_changed.wait(_LOOK_SECONDS)

    def _raise_error(self) -> None:
        if self._error is not None and not self._discards:
            raise self._error

    def discard(self) -> None:
        """Drop the kept bytes and all that follow, without an error."""
        self._discards = True
        self._drop()

    def fail(self, error: OSError) -> None:
        """Drop the kept bytes; whoever writes gets the error."""
        if self._error is None:
            self._error = error
        self._drop()

    def _drop(self) -> None:
        self._chunks.clear()
        self._set_waiting(0)

    def _set_waiting(self, amount: int) -> None:
        self.waiting = amount
        self._on_waiting(amount)
        self._has_changed.set()

    def _run(self) -> None:
        progress = progress_module.Progress(self._bound, time.monotonic())
        taken = self._find_taken()
        try:
            while self._chunks:
                self._send_first()
                before, taken = taken, self._find_taken()
                progress.note(taken - before)
                if self._chunks and progress.is_late(time.monotonic()):
                    self.fail(TimeoutError("caller reads too slowly"))
                    self._on_slow()
        except OSError as error:
            self.fail(error)
        except Exception as error:
            # Whoever writes would wait for room that nothing makes any more.
            self.fail(OSError(f"sending failed: {error!r}"))
            raise
        finally:
            self._sender = None

    def _send_first(self) -> None:
        """Send a part of the first chunk; returns without one after a time."""
        chunk = self._chunks[0]
        self._socket.settimeout(_LOOK_SECONDS)
        try:
            sent = self._socket.send(chunk[:_SEND_BYTES])
        except TimeoutError:
            return
        self._accepted += sent
        if not self._chunks or self._chunks[0] is not chunk:
            return
        if sent == len(chunk):
            self._chunks.popleft()
        else:
            self._chunks[0] = chunk[sent:]
        self._set_waiting(self.waiting - sent)

    def _find_taken(self) -> int:
        """Return the bytes that the caller's host has acknowledged."""
        if self._socket.fileno() < 0:
            return self._accepted
        unacknowledged = fcntl.ioctl(
            self._socket.fileno(), termios.TIOCOUTQ, struct.pack("i", 0)
        )
        return self._accepted - struct.unpack("i", unacknowledged)[0]
