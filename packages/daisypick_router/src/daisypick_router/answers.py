"""What a router learns of answers, and how its predictions held.

Lengths are learned by route, the times within streams by service. A scheduler
gets the predicted length with a request and the pace with its end.
"""

import collections
import time

from daisypick_core.scheduling import answer_lengths
from daisypick_core.serving import stream_times
from daisypick_router import answer_progress
from daisypick_router import context as contexts
from daisypick_router import load_watch
from daisypick_router import log as logs
from daisypick_router import metrics as metric_numbers

# Least seconds without an event after which a place at another server is
# acquired for a resumable stream. Callers themselves time out after two seconds
# at the earliest.
_MIN_SILENCE_SECONDS = 1.2
# Timeout for the first event: a multiple of the route's latency target and of
# the predicted time, and a minimum in seconds. An engine can be 2.5 times
# slower for a moment.
_FIRST_EVENT_TIMEOUT_OBJECTIVES = 2.5
_FIRST_EVENT_TIMEOUT_PREDICTIONS = 2.5
_MIN_FIRST_EVENT_TIMEOUT_SECONDS = 1.0


class Answers:
    """Lengths, paces and silences of a router's answers."""

    def __init__(
        self,
        *,
        load: load_watch.LoadWatch,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
    ) -> None:
        self._load = load
        self._log = log
        self._metrics = metrics
        self._lengths = answer_lengths.AnswerLengths()
        self._times_by_service: dict[str, stream_times.StreamTimes] = (
            collections.defaultdict(stream_times.StreamTimes)
        )

    def predict_length(
        self, context: contexts.Context, passed: int
    ) -> answer_lengths.AnswerLength:
        """Return the events that an answer has yet to come.

        Args:
            context: The request.
            passed: Events that its caller has received already.
        """
        caller_headers = context.caller_headers
        return self._lengths.predict(
            context.route.name,
            hint=caller_headers.expected_tokens,
            maximum=caller_headers.output_tokens,
            passed=passed,
        )

    def find_first_event_timeout(
        self, context: contexts.Context, predicted: float
    ) -> float:
        """Return the seconds after which a first event is late.

        Args:
            context: The request.
            predicted: Seconds that the prefill of its prompt and of those
                ahead of it are predicted to take.
        """
        return max(
            context.route.objective * _FIRST_EVENT_TIMEOUT_OBJECTIVES,
            predicted * _FIRST_EVENT_TIMEOUT_PREDICTIONS,
            _MIN_FIRST_EVENT_TIMEOUT_SECONDS,
        )

    def find_silence_timeout(self, context: contexts.Context) -> float:
        """Return the seconds after which a further event is late."""
        return self._times_by_service[context.service.name].find_silence_limit(
            time.monotonic(), least=_MIN_SILENCE_SECONDS
        )

    def note_events(
        self,
        context: contexts.Context,
        progress: answer_progress.AnswerProgress,
        events: bytes,
    ) -> None:
        """Record events that were just received."""
        now = time.monotonic()
        times = self._times_by_service[context.service.name]
        silence = progress.note_events(events, now, late=self._load.is_late())
        if silence:
            times.note_silence(silence, now)
        elif progress.predicted_end is None and progress.first_at == now:
            expected = progress.work.expected_events
            if expected and times.event_seconds is not None:
                progress.predicted_end = now + expected * times.event_seconds

    def note_try_end(
        self,
        context: contexts.Context,
        progress: answer_progress.AnswerProgress,
        server: str,
        *,
        complete: bool,
    ) -> None:
        """Record and log the end of one try.

        Args:
            context: The request.
            progress: Its answer.
            server: Where it ran.
            complete: Whether the server ended the answer regularly.
        """
        if progress.first_at is None:
            return
        work = progress.work
        pace = progress.pace
        if pace is not None:
            self._times_by_service[context.service.name].note_pace(
                events=pace.events, seconds=pace.seconds
            )
        now = time.monotonic()
        predicted_end = progress.predicted_end
        self._log.write(
            "placing",
            "End.",
            id=work.key,
            server=server,
            route=context.route.name,
            complete=complete,
            hint=context.caller_headers.expected_tokens,
            maximum=context.caller_headers.output_tokens,
            expected=round(work.expected_events, 1),
            high=round(work.high_events, 1),
            events=progress.events,
            pace=pace,
            first=round(progress.first_at - work.arrived_at, 4),
            predicted=_round_time(predicted_end, work.arrived_at),
            seconds=round(now - work.arrived_at, 4),
            deadline=round(work.deadline_at - work.arrived_at, 4),
        )
        if not complete or not work.expected_events:
            return
        route = context.route.name
        self._metrics.observe(
            "answer_events_ratio",
            progress.events / work.expected_events,
            route=route,
        )
        self._metrics.count(
            "answers_predicted_total",
            route=route,
            length="high" if progress.events > work.high_events else "within",
        )
        if predicted_end is not None:
            error = now - predicted_end
            self._metrics.observe(
                "answer_seconds_error", abs(error), route=route
            )
            self._metrics.count(
                "answer_ends_predicted_total",
                route=route,
                end="late" if error > 0.0 else "early",
            )

    def learn_length(
        self,
        context: contexts.Context,
        progress: answer_progress.AnswerProgress,
        *,
        complete: bool,
    ) -> None:
        """Learn from the whole answer of a request, after its last try."""
        self._lengths.learn(
            context.route.name,
            hint=context.caller_headers.expected_tokens,
            maximum=context.caller_headers.output_tokens,
            events=progress.passed,
            is_cut=not complete,
            resumed_after=context.caller_headers.last_event or 0,
        )


def _round_time(at: float | None, since: float) -> float | None:
    return None if at is None else round(at - since, 4)
