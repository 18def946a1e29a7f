"""Responses in progress and retained, by attempt.

The runner appends the bytes of a response; any number of readers can stream
it from any offset. A router whose connection broke resumes at its offset, and
a retry of a completed idempotency key gets the first response. Finished
responses are retained for a limited time and within a memory limit; the
oldest are dropped first.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import typing

import gevent.event

from daisypick_core.messages import frame
from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value


class Usage(typing.NamedTuple):
    """Token counts of a finished response."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Head(typing.NamedTuple):
    """Status and headers of a response."""

    status: int
    headers: list[tuple[str, str]]


class Hint(typing.NamedTuple):
    """An agent that could start a waiting attempt now."""

    agent: str
    load: load_message.Load


class AttemptResponse:
    """The response to one attempt, appended to while it streams.

    Attributes:
        is_started: Whether the attempt has left the gate's queue.
        head: Status and headers, ``None`` until they arrive.
        data: Body bytes received so far.
        usage: Token counts, ``None`` until the response is complete.
        failure: Why the response is not complete.
        finished_at: Time of completion or failure, ``None`` before.
        reader_count: Number of readers that stream the response now.
        last_read_at: Time at which the last reader disconnected.
        hints: Idle agents not yet reported to the readers.
    """

    def __init__(self) -> None:
        self.is_started = False
        self.head: Head | None = None
        self.data = bytearray()
        self.usage: Usage | None = None
        self.failure: failure_value.Failure | None = None
        self.finished_at: float | None = None
        self.reader_count = 0
        self.last_read_at = 0.0
        self.hints: list[Hint] = []
        self._changed = gevent.event.Event()

    @property
    def is_over(self) -> bool:
        """Whether the response is complete or has failed."""
        return self.usage is not None or self.failure is not None

    def notify(self) -> None:
        """Wake the waiting readers."""
        self._changed.set()

    def wait(self, timeout: float) -> bool:
        """Wait for a change; return whether there was one."""
        has_changed = self._changed.wait(timeout)
        self._changed.clear()
        return has_changed

    def hint(self, hint: Hint) -> None:
        """Queue a hint about an idle agent for the readers."""
        self.hints.append(hint)
        self.notify()

    def start(self) -> None:
        """Record that the attempt is running."""
        self.is_started = True
        self.notify()

    def set_head(self, head: Head) -> None:
        """Set status and headers."""
        self.head = head
        self.notify()

    def append(self, data: bytes) -> None:
        """Append body bytes."""
        self.data += data
        self.notify()

    def finish(self, usage: Usage, now: float) -> None:
        """Mark the response as complete."""
        self.usage = usage
        self.finished_at = now
        self.notify()

    def fail(self, failure: failure_value.Failure, now: float) -> None:
        """Mark the response as failed."""
        self.failure = failure
        self.finished_at = now
        self.notify()


def make_dropped(now: float) -> AttemptResponse:
    """Return a failed response for an attempt whose response was dropped."""
    response = AttemptResponse()
    response.fail(
        failure_value.Failure(
            code=codes.OUTCOME_UNKNOWN, reason="answer: is no longer kept"
        ),
        now,
    )
    return response


class ResponseStore:
    """Responses by attempt id, bounded in age and memory."""

    def __init__(self, *, keep_seconds: float, keep_bytes: int) -> None:
        self._keep_seconds = keep_seconds
        self._keep_bytes = keep_bytes
        self._response_by_attempt: dict[str, AttemptResponse] = {}
        self._open_ids: set[str] = set()
        self._finished_ids: collections.deque[str] = collections.deque()
        self._kept_bytes = 0

    def get(self, attempt_id: str) -> AttemptResponse | None:
        """Return the response to an attempt, ``None`` if it is not stored."""
        return self._response_by_attempt.get(attempt_id)

    def get_or_make(self, attempt_id: str) -> AttemptResponse:
        """Return the response to an attempt; create it if it is missing."""
        response = self._response_by_attempt.get(attempt_id)
        if response is None:
            response = self._response_by_attempt[attempt_id] = AttemptResponse()
            self._open_ids.add(attempt_id)
        return response

    def note_finished(self, attempt_id: str, now: float) -> None:
        """Record a finished response and drop those beyond the limits."""
        response = self._response_by_attempt.get(attempt_id)
        if response is None:
            return
        self._open_ids.discard(attempt_id)
        self._finished_ids.append(attempt_id)
        self._kept_bytes += len(response.data)
        self.drop_old(now)

    def drop_old(self, now: float) -> None:
        """Drop finished responses beyond the age or memory limit."""
        while self._finished_ids:
            attempt_id = self._finished_ids[0]
            response = self._response_by_attempt[attempt_id]
            is_old = now - (response.finished_at or now) > self._keep_seconds
            if not is_old and self._kept_bytes <= self._keep_bytes:
                return
            if response.reader_count and not is_old:
                return
            self._finished_ids.popleft()
            self._kept_bytes -= len(response.data)
            del self._response_by_attempt[attempt_id]

    def has_readers(self) -> bool:
        """Return whether any response is being read."""
        return any(
            response.reader_count
            for response in self._response_by_attempt.values()
        )

    def find_abandoned(self, now: float, grace: float) -> list[str]:
        """Return open attempts without a reader for ``grace`` seconds."""
        return [
            attempt_id
            for attempt_id in self._open_ids
            if self._is_abandoned(
                self._response_by_attempt[attempt_id], now, grace
            )
        ]

    def _is_abandoned(
        self, response: AttemptResponse, now: float, grace: float
    ) -> bool:
        if response.is_over or response.reader_count:
            return False
        return now - response.last_read_at > grace


class Follower:
    """Streams a response to one reader, from an offset to its end.

    ``describe`` returns the agent's load, which is sent with the first, the
    ``STARTED`` and the last frame. A ``HEARTBEAT`` is sent after each
    ``heartbeat_seconds`` without another frame, so that a router can
    distinguish a slow response from a dead connection.
    """

    def __init__(
        self,
        *,
        response: AttemptResponse,
        offset: int,
        heartbeat_seconds: float,
        describe: Callable[[], frame.Detail],
    ) -> None:
        self._response = response
        self._offset = offset
        self._heartbeat_seconds = heartbeat_seconds
        self._describe = describe
        self._has_started = False
        self._has_head = False

    def frames(self) -> Iterator[list[frame.Frame]]:
        """Yield batches of the frames that are ready, up to the last one."""
        ready = [frame.Frame(kind=frame.QUEUED, detail=self._describe())]
        while True:
            ready += self._ready_frames()
            if ready:
                yield ready
            if ready and ready[-1].kind in (frame.END, frame.REFUSED):
                return
            ready = []
            if self._has_more():
                continue
            if not self._response.wait(self._heartbeat_seconds):
                ready = [frame.Frame(kind=frame.HEARTBEAT)]

    def _has_more(self) -> bool:
        """Return whether data arrived while the last frames were sent."""
        response = self._response
        has_data = (
            response.head is not None and len(response.data) > self._offset
        )
        return has_data or response.is_over

    def _ready_frames(self) -> list[frame.Frame]:
        response = self._response
        ready = [_hint_frame(hint) for hint in response.hints]
        response.hints.clear()
        if response.is_started and not self._has_started:
            self._has_started = True
            ready.append(
                frame.Frame(kind=frame.STARTED, detail=self._describe())
            )
        if response.head is not None and not self._has_head:
            self._has_head = True
            ready.append(_head_frame(response.head))
        if self._has_head and len(response.data) > self._offset:
            data = bytes(response.data[self._offset :])
            ready.append(
                frame.Frame(kind=frame.DATA, offset=self._offset, data=data)
            )
            self._offset += len(data)
        if response.is_over:
            ready.append(_last_frame(response, self._describe()))
        return ready


def _head_frame(head: Head) -> frame.Frame:
    detail = frame.Detail(status=head.status, headers=head.headers)
    return frame.Frame(kind=frame.HEAD, detail=detail)


def _hint_frame(hint: Hint) -> frame.Frame:
    detail = frame.Detail(idle_agent=hint.agent, idle_load=hint.load)
    return frame.Frame(kind=frame.HEARTBEAT, detail=detail)


def _last_frame(response: AttemptResponse, detail: frame.Detail) -> frame.Frame:
    if response.usage is not None:
        detail["prompt_tokens"] = response.usage.prompt_tokens
        detail["completion_tokens"] = response.usage.completion_tokens
        detail["size"] = len(response.data)
        return frame.Frame(
            kind=frame.END, offset=len(response.data), detail=detail
        )
    assert response.failure is not None
    detail["code"] = response.failure.code.number
    detail["reason"] = response.failure.reason
    detail["retry_after"] = response.failure.retry_after
    return frame.Frame(kind=frame.REFUSED, detail=detail)
