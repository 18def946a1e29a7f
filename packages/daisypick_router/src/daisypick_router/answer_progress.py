"""What was received of one request's answer, and how fast, by try."""

import typing

from daisypick_core.scheduling import job
from daisypick_core.serving import event_stream

# Blank line that ends an event.
_EVENT_END = b"\n\n"
# Events of the shortest try whose pace is known: with fewer the chunks of
# prefill between two events decide it.
_MIN_PACE_EVENTS = 8
# A send to the caller that took longer was waiting for it to read. The same
# bound is used for the lag of the event loop.
_SLOW_SEND_SECONDS = 0.02


class Pace(typing.NamedTuple):
    """How fast the events of one try came.

    Attributes:
        events: Events after the first one.
        seconds: From the first event to the last.
        longest: The longest time between two of them.
    """

    events: int
    seconds: float
    longest: float


class AnswerProgress:
    """Events of one request's answer.

    Args:
        last_event: Id of the last event that the caller received before.

    Attributes:
        stream: Checks the events and their ids.
        passed: Events received so far, with those of the caller's earlier
            attempt that it resumes.
        work: The job of the current try.
        first_at: When its first event was received, ``None`` before.
        last_at: When its last event was received.
        predicted_end: When it was predicted to end, ``None`` if unknown.
    """

    def __init__(self, *, last_event: int | None) -> None:
        self.stream = event_stream.EventStream(last_id=last_event)
        self.passed = last_event or 0
        self.work: job.Job | None = None
        self._begin_try()

    def _begin_try(self) -> None:
        self.first_at: float | None = None
        self.last_at = 0.0
        self.predicted_end: float | None = None
        self._events_at_first = 0
        self._events = 0
        self._first_was_late = False
        self._last_was_late = False
        self._caller_was_slow = False
        self._silent_since: float | None = None
        self._longest = 0.0

    def begin_try(self, work: job.Job) -> None:
        """Start to count the events of a try."""
        self.work = work
        self._begin_try()

    @property
    def events(self) -> int:
        """Events of the current try."""
        return self._events

    def note_events(self, data: bytes, now: float, *, late: bool) -> float:
        """Count received events; return for how long the server was silent.

        Args:
            data: Complete events.
            now: The time.
            late: Whether they may have arrived some time before.

        Returns:
            Zero if it is unknown: at a try's first event, after a late one, or
            if the server was not read meanwhile because the caller did not
            read.
        """
        count = data.count(_EVENT_END)
        silence = 0.0
        if self.first_at is None:
            self.first_at = now
            self._events_at_first = count
            self._first_was_late = late
        elif self._silent_since is not None and not late:
            silence = now - self._silent_since
            self._longest = max(self._longest, silence)
        self.last_at = now
        self._last_was_late = late
        self._silent_since = None if late else now
        self._events += count
        self.passed += count
        return silence

    def note_sent(self, seconds: float) -> None:
        """Record how long it took to send events to the caller."""
        if seconds > _SLOW_SEND_SECONDS:
            self._caller_was_slow = True
            self._silent_since = None

    @property
    def pace(self) -> Pace | None:
        """Pace of the current try, ``None`` if it says nothing of its server.

        Events that were read together with the first one count as the first:
        they had arrived before.
        """
        if (
            self.first_at is None
            or self._events < _MIN_PACE_EVENTS
            or self._first_was_late
            or self._last_was_late
            or self._caller_was_slow
        ):
            return None
        events = self._events - self._events_at_first
        seconds = self.last_at - self.first_at
        if events <= 0 or seconds <= 0.0:
            return None
        return Pace(events=events, seconds=seconds, longest=self._longest)
