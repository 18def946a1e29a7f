"""Structured log lines on standard output, bounded and never blocking.

A line is a JSON object: ``at`` (Unix seconds), ``part`` (who speaks),
``say`` (a short sentence) and what decided. Lines are gathered and written
ten times a second. When the reader of our output is slow or too much is
said, lines are left out and counted, and the count is a line of its own.

Not by eliot, which writes while the caller waits; ``docs/design/platform.md``
compares them.
"""

import collections
import os
import time
import typing

import gevent
import msgspec

# Lines a second that a router writes at the most, of a few hundred bytes each.
_LINES_PER_SECOND = 400
_MOST_WAITING = 2000
# Lines of these parts come with each request and are left out beyond the
# bound. The others tell what the process believes; they are few, and under a
# flood they are the ones that explain it, so only the queue bounds them.
_PARTS_OF_REQUESTS = frozenset({"serve", "placing", "send"})
_FLUSH_SECONDS = 0.1
_STDOUT = 1


class Log:
    """Writer of the process's log lines."""

    def __init__(self, *, process: str) -> None:
        self._process = process
        self._encoder = msgspec.json.Encoder()
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._second = 0
        self._in_second = 0
        self.left_out = 0

    def write(self, part: str, say: str, **fields: typing.Any) -> None:
        """Log one line, if the bound allows it."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._in_second = 0
        full = len(self._lines) >= _MOST_WAITING
        if part in _PARTS_OF_REQUESTS:
            self._in_second += 1
            full = full or self._in_second > _LINES_PER_SECOND
        if full:
            self.left_out += 1
            return
        self._append(now, part, say, fields)

    def _append(
        self, now: float, part: str, say: str, fields: dict[str, typing.Any]
    ) -> None:
        line = {
            "at": round(now, 4),
            "process": self._process,
            "part": part,
            "say": say,
            **fields,
        }
        self._lines.append(self._encoder.encode(line) + b"\n")

    def run(self) -> None:
        """Write gathered lines until the greenlet is killed."""
        os.set_blocking(_STDOUT, False)
        while True:
            gevent.sleep(_FLUSH_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Write what is gathered, as far as the output takes it."""
        if self.left_out and len(self._lines) < _MOST_WAITING:
            count, self.left_out = self.left_out, 0
            self._append(
                time.time(), "log", "Left lines out.", {"lines": count}
            )
        if not self._lines and not self._rest:
            return
        data = self._rest + b"".join(self._lines)
        self._lines.clear()
        try:
            written = os.write(_STDOUT, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads our output any more; there is nowhere to say so.
            written = len(data)
        self._rest = data[written:]
