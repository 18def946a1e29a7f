"""Progress of an engine's answers, and how much prefill they leave room for.

All running requests of an engine advance by one event in the same time, see
``decode_speed``; while it prefills, they hardly advance. So the progress of
each answer follows from two sums over time, the running requests and the
prefill done, which cost the same for one answer and for a full batch. What is
left of an answer and of its deadline gives its *headroom*: the prefill that the
engine may still do before the answer would be late.

Examples:
    >>> from daisypick_core.scheduling import decode_speed
    >>> service = decode_speed.ServiceDecodeSpeed()
    >>> for _ in range(30):
    ...     service.learn(1.0, 0.05)
    >>> load = DecodeLoad(
    ...     speed=decode_speed.EngineDecodeSpeed(service=service)
    ... )
    >>> load.begin("r-1", deadline_at=10.0, events=100.0)
    >>> load.note_first("r-1", 0.0, prefilled=0.0)
    >>> room = load.find_headroom(0.0, running=1, prefilled=0.0, backlog=0.0)
    >>> round(room.seconds), round(room.share, 1)
    (5, 0.5)
"""

import collections
import math
import typing

from daisypick_core.scheduling import decode_speed

# Least part of an answer that is expected to follow, as a share of what has
# come: an answer that is longer than predicted is likely to go on.
_MIN_REST_SHARE = 0.25
# Seconds for which a computed headroom is reused: less than the prefill of an
# engine's backlog takes.
_CACHE_SECONDS = 0.1
# Least headroom, as a share of what is left of a deadline, of an answer that
# limits the engine. One with less is lost in all likelihood; it would keep the
# engine from all other requests until its deadline.
_MIN_SHARE = -0.15


class Headroom(typing.NamedTuple):
    """Prefill that an engine can do without making an answer late.

    Attributes:
        seconds: Prefill until the end of the answer that leaves the least.
        share: The same as a share of the time, at most 1.
    """

    seconds: float
    share: float


NO_LIMIT = Headroom(seconds=float("inf"), share=1.0)


class _Answer:
    """A request with a predicted length at the engine."""

    __slots__ = (
        "deadline_at",
        "events",
        "first_at",
        "max_pause",
        "prefilled",
        "running_seconds",
    )

    def __init__(
        self, *, deadline_at: float, events: float, max_pause: float
    ) -> None:
        self.deadline_at = deadline_at
        self.events = events
        self.max_pause = max_pause
        # When its first event came; and the sums at that time.
        self.first_at: float | None = None
        self.prefilled = 0.0
        self.running_seconds = 0.0


class DecodeLoad:
    """The answers of one engine.

    Args:
        speed: The engine's time from event to event.
    """

    def __init__(self, *, speed: decode_speed.EngineDecodeSpeed) -> None:
        self.speed = speed
        self._answer_by_key: dict[str, _Answer] = {}
        # Number of answers by the longest pause that their callers accept.
        self._answers_by_pause: collections.Counter[float] = (
            collections.Counter()
        )
        # Sum over time of the running requests, in request-seconds.
        self._running_seconds = 0.0
        self._summed_at: float | None = None
        self._headroom = NO_LIMIT
        self._headroom_at: float | None = None

    def note_running(self, running: int, now: float) -> None:
        """Record how many requests ran until now; call before it changes."""
        if self._summed_at is not None:
            self._running_seconds += running * max(now - self._summed_at, 0.0)
        self._summed_at = now

    def begin(
        self,
        key: str,
        *,
        deadline_at: float,
        events: float,
        max_pause: float = 0.0,
    ) -> None:
        """Record the start of a request.

        Args:
            key: The request.
            deadline_at: When its caller stops waiting.
            events: Its predicted length; zero if unknown, then it sets no
                limit.
            max_pause: Longest time between two of its events for which it is
                in time; zero if unknown.
        """
        if events <= 0.0:
            return
        self._answer_by_key[key] = _Answer(
            deadline_at=deadline_at, events=events, max_pause=max_pause
        )
        if max_pause > 0.0:
            self._answers_by_pause[max_pause] += 1
        self._headroom_at = None

    def note_first(self, key: str, now: float, *, prefilled: float) -> None:
        """Record the first event of a request.

        Args:
            key: The request.
            now: The time.
            prefilled: Seconds of prefill that the engine has done so far.
        """
        answer = self._answer_by_key.get(key)
        if answer is not None and answer.first_at is None:
            answer.first_at = now
            answer.prefilled = prefilled
            answer.running_seconds = self._running_seconds

    def end(self, key: str) -> None:
        """Record the end of a request."""
        answer = self._answer_by_key.pop(key, None)
        if answer is None:
            return
        self._headroom_at = None
        if answer.max_pause > 0.0:
            self._answers_by_pause[answer.max_pause] -= 1
            if not self._answers_by_pause[answer.max_pause]:
                del self._answers_by_pause[answer.max_pause]

    def find_max_prefill(self, running: int) -> float:
        """Return for how long the engine may prefill without a break.

        Args:
            running: Running requests.

        Returns:
            Seconds; infinite if no answer sets a limit.
        """
        if not self._answers_by_pause or not self.speed.service.is_known:
            return math.inf
        return self.speed.service.pause_limit.find_prefill_seconds(
            min(self._answers_by_pause),
            event_seconds=self.speed.predict(running),
        )

    def note_pace(
        self,
        key: str,
        *,
        events: int,
        seconds: float,
        longest: float,
        prefilled: float,
    ) -> None:
        """Learn from an answer that has just ended.

        Args:
            key: The request.
            events: Its events after the first.
            seconds: Time from the first to the last of them.
            longest: The longest time between two of them.
            prefilled: Seconds of prefill that the engine has done so far.
        """
        answer = self._answer_by_key.get(key)
        if answer is None or answer.first_at is None or seconds <= 0.0:
            return
        if answer.max_pause > 0.0:
            self.speed.service.pause_limit.learn(
                longest=longest, limit=answer.max_pause
            )
        decoding = max(seconds - (prefilled - answer.prefilled), seconds / 4.0)
        running = (self._running_seconds - answer.running_seconds) / seconds
        self.speed.learn(max(running, 1.0), decoding / events)

    def find_headroom(
        self, now: float, *, running: int, prefilled: float, backlog: float
    ) -> Headroom:
        """Return the prefill that the running answers leave room for.

        Args:
            now: The time.
            running: Running requests.
            prefilled: Seconds of prefill that the engine has done so far.
            backlog: Seconds of prefill that are ahead of a new request.
        """
        if not self.speed.service.is_known:
            return NO_LIMIT
        if (
            self._headroom_at is None
            or now - self._headroom_at >= _CACHE_SECONDS
        ):
            self._headroom_at = now
            self._headroom = self._compute_headroom(
                now, running, prefilled, backlog
            )
        return self._headroom

    def _compute_headroom(
        self, now: float, running: int, prefilled: float, backlog: float
    ) -> Headroom:
        event_seconds = self.speed.predict(running)
        least = NO_LIMIT
        for answer in self._answer_by_key.values():
            left = answer.deadline_at - now
            if left <= 0.0:
                continue
            rest = answer.events
            if answer.first_at is not None:
                decoding = now - answer.first_at
                decoding -= prefilled - answer.prefilled
                done = max(decoding, 0.0) / event_seconds
                rest = max(rest - done, done * _MIN_REST_SHARE)
            seconds = left - backlog - rest * event_seconds
            share = seconds / left
            if _MIN_SHARE < share < least.share:
                least = Headroom(seconds=max(seconds, 0.0), share=share)
        return least._replace(share=max(least.share, 0.0))
