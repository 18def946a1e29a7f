"""Structured, bounded and non-blocking log lines on standard output.

A line is a JSON object: ``at`` (Unix seconds), ``process``, ``part`` (the
component that logs), ``say`` (a short sentence) and further fields. Lines are
batched and written ten times a second. When standard output is read too slowly
or too many lines are logged, lines are dropped, and a line reports how many.

eliot is not used because it writes synchronously in the caller;
``docs/design/platform.md`` compares both.
"""

import collections
import os
import time
import typing

import gevent
import msgspec

# Limit on lines about requests, which hold a few hundred bytes each.
_LINES_PER_SECOND = 400
_MAX_QUEUED_LINES = 2000
# Parts that log lines for each request; beyond the limit these are dropped. The
# others report the state of the process. They are few and explain what happens
# during a load spike, so only the size of the queue limits them.
_REQUEST_PARTS = frozenset({"serve", "placing", "send"})
# Texts may come from callers.
_MAX_TEXT_LENGTH = 1000
_FLUSH_SECONDS = 0.1
_STDOUT = 1


class Log:
    """Writer of the process's log lines."""

    def __init__(self, *, process: str) -> None:
        self._process = process
        self._encoder = msgspec.json.Encoder()
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._second = 0
        self._lines_in_second = 0
        self.dropped = 0

    def write(self, part: str, text: str, **fields: typing.Any) -> None:
        """Queue a line, or drop it if a limit is reached."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._lines_in_second = 0
        must_drop = len(self._lines) >= _MAX_QUEUED_LINES
        if part in _REQUEST_PARTS:
            self._lines_in_second += 1
            must_drop = must_drop or self._lines_in_second > _LINES_PER_SECOND
        if must_drop:
            self.dropped += 1
            return
        self._append(now, part, text, fields)

    def _append(
        self, now: float, part: str, text: str, fields: dict[str, typing.Any]
    ) -> None:
        line = {
            "at": round(now, 4),
            "process": self._process,
            "part": part,
            "say": text,
            **{name: _clip(value) for name, value in fields.items()},
        }
        self._lines.append(self._encoder.encode(line) + b"\n")

    def run(self) -> None:
        """Write queued lines until the greenlet is killed."""
        os.set_blocking(_STDOUT, False)
        while True:
            gevent.sleep(_FLUSH_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Write the queued lines, as far as the output accepts them.

        Lines stay queued, within the limit of the queue, until those that were
        taken from it before are written.
        """
        if self.dropped and len(self._lines) < _MAX_QUEUED_LINES:
            count, self.dropped = self.dropped, 0
            self._append(
                time.time(), "log", "Dropped log lines.", {"lines": count}
            )
        while self._lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = b"".join(self._lines)
                self._lines.clear()
            try:
                written = os.write(_STDOUT, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Standard output is closed; there is nowhere to report that.
                written = len(self._unwritten)
            self._unwritten = self._unwritten[written:]
            if self._unwritten:
                return


def _clip(value: typing.Any) -> typing.Any:
    if isinstance(value, str) and len(value) > _MAX_TEXT_LENGTH:
        return f"{value[:_MAX_TEXT_LENGTH]}... ({len(value)} characters)"
    return value
