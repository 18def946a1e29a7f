"""An answer on its way to the caller.

A sender puts in what comes from agents; the caller's greenlet takes out what
has arrived, all together. Only bytes that the caller has not seen come out,
over however many attempts.
"""

import typing

import gevent.event

from daisypick_core.messages import frame
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import splice

# A caller that reads slowly holds the agent back instead of filling memory.
HIGH_WATER_BYTES = 1_048_576


class Usage(typing.NamedTuple):
    """Tokens of a whole answer."""

    prompt_tokens: int
    completion_tokens: int


class Relay:
    """One request's answer.

    Attributes:
        head: Status and headers, once known.
        failure: Final failure, if there is one.
        usage: Tokens, once the answer is whole.
        is_caller_gone: Whether the caller has closed its connection.
        splice: What the caller has been given.
    """

    def __init__(self) -> None:
        self.head: frame.Detail | None = None
        self.failure: failure_value.Failure | None = None
        self.usage: Usage | None = None
        self.is_caller_gone = False
        self.splice = splice.Splice()
        self._pending = bytearray()
        self._changed = gevent.event.Event()
        self._room = gevent.event.Event()
        self._room.set()

    @property
    def is_over(self) -> bool:
        """Whether nothing more will be put in."""
        return self.failure is not None or self.usage is not None

    def begin(self) -> None:
        """Note that a new attempt's answer begins."""
        self.splice.restart()

    def put_head(self, detail: frame.Detail) -> failure_value.Failure | None:
        """Take status and headers; a failure if they differ from the seen."""
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
        """Take bytes; a failure if they do not continue what was seen."""
        self._room.wait()
        new = self.splice.accept(part.offset, part.data)
        if failure_value.is_failure(new):
            return new
        self._pending += new
        if len(self._pending) > HIGH_WATER_BYTES:
            self._room.clear()
        self._changed.set()
        return None

    def finish(self, detail: frame.Detail) -> failure_value.Failure | None:
        """Take the end mark; a failure if the answer is not whole."""
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
        """Give the caller its final answer: a failure."""
        if not self.is_over:
            self.failure = failure
            self._changed.set()

    def leave(self) -> None:
        """Note that the caller has gone."""
        self.is_caller_gone = True
        self._changed.set()

    def wait(self) -> None:
        """Wait for a change."""
        self._changed.wait()
        self._changed.clear()

    def take(self) -> bytes:
        """Return the bytes that have arrived."""
        data = bytes(self._pending)
        self._pending.clear()
        self._room.set()
        return data

    @property
    def pending_size(self) -> int:
        """Bytes that wait to be taken."""
        return len(self._pending)

    def release(self) -> None:
        """Let a waiting sender go on; nobody takes any more."""
        self._room.set()
