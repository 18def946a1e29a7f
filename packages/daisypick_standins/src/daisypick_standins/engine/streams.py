"""Answers as bytes that can be read again from an offset.

A stream grows while its generation runs, whether or not anybody reads it,
and is kept for a while after its end.
"""

import collections
from collections.abc import Callable

from gevent import event

_KEPT_STREAMS = 1024


class Stream:
    """The bytes of one answer.

    Attributes:
        data: All bytes so far.
        is_closed: Whether no more will come.
        is_broken: Whether it ended before its time.
        readers: Connections that read it now.
    """

    def __init__(self, *, cancel: Callable[[], None]) -> None:
        self.data = bytearray()
        self.is_closed = False
        self.is_broken = False
        self.readers = 0
        self._cancel = cancel
        self._change = event.Event()

    def write(self, data: bytes) -> None:
        """Add bytes and wake the readers."""
        self.data += data
        self._wake()

    def close(self, *, is_broken: bool = False) -> None:
        """Note that no more will come."""
        self.is_closed = True
        self.is_broken = is_broken
        self._wake()

    def read(self, offset: int) -> bytes:
        """Return what is there from an offset on."""
        return bytes(self.data[offset:])

    def wait(self, timeout: float | None = None) -> None:
        """Wait until more is there."""
        self._change.wait(timeout)

    def cancel(self) -> None:
        """Cancel the generation if it still runs."""
        if not self.is_closed:
            self._cancel()

    def cancel_unread(self) -> None:
        """Cancel the generation if nobody reads the stream."""
        if not self.readers:
            self.cancel()

    def _wake(self) -> None:
        waiting, self._change = self._change, event.Event()
        waiting.set()


class StreamTable:
    """Streams by id, so many of the last ones."""

    def __init__(self) -> None:
        self._stream_by_id: collections.OrderedDict[str, Stream] = (
            collections.OrderedDict()
        )

    def add(self, stream_id: str, stream: Stream) -> None:
        """Keep a stream; the oldest closed ones are dropped."""
        self._stream_by_id[stream_id] = stream
        self._stream_by_id.move_to_end(stream_id)
        if len(self._stream_by_id) <= _KEPT_STREAMS:
            return
        for old_id, old in list(self._stream_by_id.items()):
            if old.is_closed:
                del self._stream_by_id[old_id]
                return

    def get(self, stream_id: str) -> Stream | None:
        """Return a stream, or ``None``."""
        return self._stream_by_id.get(stream_id)
