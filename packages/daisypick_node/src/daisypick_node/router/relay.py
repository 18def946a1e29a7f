"""Buffers the response of a request between senders and the caller.

Senders add what agents send; the caller's greenlet takes all buffered bytes at
once. Each byte is passed on once, also if several attempts send it.
"""

import typing

import gevent.event

from daisypick_core.messages import frame
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import splice

# Backpressure: above this size, a sender waits for a slow caller instead of
# filling memory.
HIGH_WATER_BYTES = 1_048_576


class Usage(typing.NamedTuple):
    """Token counts of a complete response."""

    prompt_tokens: int
    completion_tokens: int


class Relay:
    """The response of one request.

    Attributes:
        head: Status and headers, once known.
        failure: Final failure, if the request failed.
        usage: Token counts, once the response is complete.
        is_caller_gone: Whether the caller has disconnected.
        splice: Position of the caller in the response.
    """

    def __init__(self) -> None:
        self.head: frame.Detail | None = None
        self.failure: failure_value.Failure | None = None
        self.usage: Usage | None = None
        self.is_caller_gone = False
        self.splice = splice.Splice()
        self._pending = bytearray()
        self._changed = gevent.event.Event()
        self._has_capacity = gevent.event.Event()
        self._has_capacity.set()

    @property
    def is_over(self) -> bool:
        """Whether the response is complete or has failed."""
        return self.failure is not None or self.usage is not None

    def start_attempt(self) -> None:
        """Expect the response of a new attempt from its first byte."""
        self.splice.restart()

    def put_head(self, detail: frame.Detail) -> failure_value.Failure | None:
        """Set status and headers; fail if the caller got another status."""
        if self.head is not None and self.splice.position:
            if self.head["status"] != detail["status"]:
                return failure_value.Failure(
                    code=codes.ANSWER_DIFFERS, reason="status: has changed"
                )
            return None
        self.head = detail
        self._changed.set()
        return None

    def put_data(self, part: frame.Frame) -> failure_value.Failure | None:
        """Add bytes; fail if they differ from those sent to the caller."""
        self._has_capacity.wait()
        new = self.splice.accept(part.offset, part.data)
        if failure_value.is_failure(new):
            return new
        self._pending += new
        if len(self._pending) > HIGH_WATER_BYTES:
            self._has_capacity.clear()
        self._changed.set()
        return None

    def finish(self, detail: frame.Detail) -> failure_value.Failure | None:
        """Handle the end mark; fail if the response is incomplete."""
        if not self.splice.is_whole(detail["size"]):
            return failure_value.Failure(
                code=codes.ANSWER_BROKEN, reason="size: bytes are missing"
            )
        self.usage = Usage(
            prompt_tokens=detail.get("prompt_tokens", 0),
            completion_tokens=detail.get("completion_tokens", 0),
        )
        self._changed.set()
        return None

    def fail(self, failure: failure_value.Failure) -> None:
        """Set the final failure unless the response is complete."""
        if not self.is_over:
            self.failure = failure
            self._changed.set()

    def record_disconnect(self) -> None:
        """Record that the caller has disconnected."""
        self.is_caller_gone = True
        self._changed.set()

    def wait(self) -> None:
        """Wait until the state changes."""
        self._changed.wait()
        self._changed.clear()

    def take(self) -> bytes:
        """Remove and return the buffered bytes."""
        data = bytes(self._pending)
        self._pending.clear()
        self._has_capacity.set()
        return data

    @property
    def pending_size(self) -> int:
        """Number of buffered bytes."""
        return len(self._pending)

    def release(self) -> None:
        """Unblock a waiting sender; nothing will be read any more."""
        self._has_capacity.set()
