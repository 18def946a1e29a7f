"""Response streams that can be resumed from an offset.

A stream grows while its generation runs, even without a reader, and is kept
for a while after its end.
"""

import collections
from collections.abc import Callable

from gevent import event

_MAX_STREAMS = 1024


class Stream:
    """The bytes of one response.

    Attributes:
        data: All bytes so far.
        is_closed: Whether the stream has ended.
        is_broken: Whether it ended before it was complete.
        readers: Number of connections that read it now.
    """

    def __init__(self, *, cancel: Callable[[], None]) -> None:
        self.data = bytearray()
        self.is_closed = False
        self.is_broken = False
        self.readers = 0
        self._cancel = cancel
        self._change = event.Event()

    def write(self, data: bytes) -> None:
        """Append bytes and wake the readers."""
        self.data += data
        self._wake()

    def close(self, *, is_broken: bool = False) -> None:
        """End the stream and wake the readers."""
        self.is_closed = True
        self.is_broken = is_broken
        self._wake()

    def read(self, offset: int) -> bytes:
        """Return the bytes from an offset on."""
        return bytes(self.data[offset:])

    def wait(self, timeout: float | None = None) -> None:
        """Wait until the stream grows or ends."""
        self._change.wait(timeout)

    def cancel(self) -> None:
        """Cancel the generation if it still runs."""
        if not self.is_closed:
            self._cancel()

    def cancel_unread(self) -> None:
        """Cancel the generation if the stream has no readers."""
        if not self.readers:
            self.cancel()

    def _wake(self) -> None:
        waiting, self._change = self._change, event.Event()
        waiting.set()


class StreamTable:
    """The most recent streams, by id."""

    def __init__(self) -> None:
        self._stream_by_id: collections.OrderedDict[str, Stream] = (
            collections.OrderedDict()
        )

    def add(self, stream_id: str, stream: Stream) -> None:
        """Add a stream; above the limit, drop the oldest closed one."""
        self._stream_by_id[stream_id] = stream
        self._stream_by_id.move_to_end(stream_id)
        if len(self._stream_by_id) <= _MAX_STREAMS:
            return
        for old_id, old in list(self._stream_by_id.items()):
            if old.is_closed:
                del self._stream_by_id[old_id]
                return

    def get(self, stream_id: str) -> Stream | None:
        """Return a stream, or ``None``."""
        return self._stream_by_id.get(stream_id)
