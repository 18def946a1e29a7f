"""Prediction of the time from one event of an answer to the next.

An engine decodes one token of each running request in a step. A step takes a
base time and a time for each running request, and a chunk of prompt tokens may
be prefilled between two steps. So the duration of an answer is its events times
a line of the running requests, plus the prefill done meanwhile. The line is
learned from the answers of all engines of a service, and a factor for each
engine gives its current slowdown against it.

Events are counted, not tokens: how many tokens an event holds is not known.

Examples:
    >>> service = ServiceDecodeSpeed()
    >>> service.is_known
    False
    >>> engine = EngineDecodeSpeed(service=service)
    >>> for _ in range(30):
    ...     engine.learn(10.0, 0.03); engine.learn(50.0, 0.07)
    >>> service.is_known, round(engine.predict(30.0), 2)
    (True, 0.05)
"""

from daisypick_core.scheduling import learned_line
from daisypick_core.scheduling import pause_limit

# Prior of the line, in seconds and in seconds per running request.
_INITIAL_BASE_SECONDS = 0.03
_INITIAL_RUN_SECONDS = 0.0003
_PRIOR_RUNNING = 32.0
# Answers from which the line counts as known. Before that a wrong prior could
# refuse requests that would complete.
_MIN_ANSWERS = 20
# Exponential decay per answer.
_SERVICE_DECAY = 0.99
_ENGINE_DECAY = 0.9
# Bounds of an engine's factor, so that false observations neither exclude an
# engine nor attract all requests to it.
_MIN_FACTOR, _MAX_FACTOR = 0.3, 10.0


class ServiceDecodeSpeed:
    """The line of a service: seconds from event to event by running requests.

    Attributes:
        relative_error: Mean relative error of predictions, with exponential
            decay.
        pause_limit: How long engines may prefill without a break.
    """

    def __init__(self) -> None:
        self._line = learned_line.LearnedLine(
            base=_INITIAL_BASE_SECONDS,
            slope=_INITIAL_RUN_SECONDS,
            prior_x=_PRIOR_RUNNING,
            decay=_SERVICE_DECAY,
            may_be_flat=True,
        )
        self._answers = 0
        self.relative_error = 0.25
        self.pause_limit = pause_limit.PauseLimit()

    @property
    def is_known(self) -> bool:
        """Whether enough answers were observed to rely on the line."""
        return self._answers >= _MIN_ANSWERS

    def predict(self, running: float) -> float:
        """Return the seconds from event to event beside no prefill."""
        return self._line.predict(running)

    def learn(self, running: float, seconds: float) -> None:
        """Learn from an answer.

        Args:
            running: Mean number of requests that ran at the engine.
            seconds: From event to event, without the prefill done meanwhile.
        """
        self._answers += 1
        self._line.learn(running, seconds)

    def note_error(self, relative: float) -> None:
        """Record the relative error of a prediction."""
        error = min(abs(relative), 1.0)
        self.relative_error += (1.0 - _SERVICE_DECAY) * (
            error - self.relative_error
        )


class EngineDecodeSpeed:
    """Slowdown of one engine against the line of its service."""

    def __init__(self, *, service: ServiceDecodeSpeed) -> None:
        self.service = service
        self.factor = 1.0

    def predict(self, running: float) -> float:
        """Return the seconds from event to event beside no prefill."""
        return self.service.predict(running) * self.factor

    def learn(self, running: float, seconds: float) -> None:
        """Learn from an answer of the engine.

        Args:
            running: Mean number of requests that ran there meanwhile.
            seconds: From event to event, without the prefill done meanwhile.
        """
        ratio = seconds / self.service.predict(running)
        self.service.note_error(ratio / self.factor - 1.0)
        self.service.learn(running, seconds)
        ratio = min(
            max(ratio, self.factor / learned_line.MAX_ERROR_RATIO),
            self.factor * learned_line.MAX_ERROR_RATIO,
        )
        factor = self.factor + (1.0 - _ENGINE_DECAY) * (ratio - self.factor)
        self.factor = min(max(factor, _MIN_FACTOR), _MAX_FACTOR)
