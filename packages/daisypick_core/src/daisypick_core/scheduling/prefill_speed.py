"""Prediction of the time to first token, learned from observed ones.

An engine prefills prompts one after the other, so the time from sending a
request to its first token is a fixed base plus a time for each token to
prefill, its own and those ahead of it. A linear regression over all engines
of a service gives both; a factor for each engine gives its current slowdown
against that line. An engine that turns slow or cold is thus detected after a
few first tokens, and an engine without observations counts as average.

Examples:
    >>> speed = ServiceSpeed()
    >>> for tokens in (500, 2000, 8000) * 20:
    ...     speed.learn(tokens, 0.02 + tokens / 40_000.0)
    >>> round(speed.predict(4000), 2)
    0.12
    >>> slow, sound = EngineSpeed(service=speed), EngineSpeed(service=speed)
    >>> for _ in range(40):
    ...     slow.learn(4000, 0.24)
    ...     sound.learn(4000, 0.12)
    >>> round(slow.predict(4000) / sound.predict(4000), 1)
    2.0
"""

from daisypick_core.scheduling import decode_speed
from daisypick_core.scheduling import learned_line

# Prior of the line, in seconds and in seconds per token.
_INITIAL_BASE_SECONDS = 0.03
_INITIAL_TOKEN_SECONDS = 1.0 / 50_000.0
_PRIOR_TOKENS = 5000.0
# Exponential decay per first token: about a hundred first tokens of a service
# determine its line, about ten of an engine its factor.
_SERVICE_DECAY = 0.99
_ENGINE_DECAY = 0.9
# Bounds of an engine's factor, so that false or missing observations neither
# exclude an engine nor attract all requests to it.
_MIN_FACTOR, _MAX_FACTOR = 0.3, 20.0


class ServiceSpeed:
    """The latency line of a service: a base, and seconds per token.

    Args:
        base: Initial seconds to a first token without any prefill.
        token_seconds: Initial seconds per token.

    Attributes:
        decode: The line of the time from event to event.
        relative_error: Mean relative error of predictions, with exponential
            decay.
    """

    def __init__(
        self,
        *,
        base: float = _INITIAL_BASE_SECONDS,
        token_seconds: float = _INITIAL_TOKEN_SECONDS,
    ) -> None:
        self._line = learned_line.LearnedLine(
            base=base,
            slope=token_seconds,
            prior_x=_PRIOR_TOKENS,
            decay=_SERVICE_DECAY,
        )
        self.decode = decode_speed.ServiceDecodeSpeed()
        self.relative_error = 0.25

    @property
    def base(self) -> float:
        """Seconds to a first token without any prefill."""
        return self._line.base

    @property
    def token_seconds(self) -> float:
        """Seconds of prefill per token."""
        return self._line.slope

    def predict(self, tokens: float) -> float:
        """Return the seconds to first token with ``tokens`` to prefill."""
        return self._line.predict(tokens)

    def learn(self, tokens: float, seconds: float) -> None:
        """Learn from an observed first token."""
        self._line.learn(tokens, seconds)

    def note_error(self, relative: float) -> None:
        """Record the relative error of a prediction."""
        error = min(abs(relative), 1.0)
        self.relative_error += (1.0 - _SERVICE_DECAY) * (
            error - self.relative_error
        )


class EngineSpeed:
    """Slowdown of one engine against the line of its service.

    Attributes:
        factor: The slowdown.
        decode: The same for the time from event to event.
    """

    def __init__(self, *, service: ServiceSpeed) -> None:
        self._service = service
        self.factor = 1.0
        self.decode = decode_speed.EngineDecodeSpeed(service=service.decode)

    @property
    def token_seconds(self) -> float:
        """Seconds of prefill per token at this engine."""
        return self._service.token_seconds * self.factor

    @property
    def relative_error(self) -> float:
        """Mean relative error of predictions."""
        return self._service.relative_error

    def predict(self, tokens: float) -> float:
        """Return the seconds to first token with ``tokens`` to prefill."""
        return self._service.predict(tokens) * self.factor

    def learn(
        self, tokens: float, seconds: float, *, was_idle: bool = True
    ) -> None:
        """Learn from an observed first token.

        Args:
            tokens: Estimated tokens that the engine had to prefill.
            seconds: From sending the request to its first token.
            was_idle: Whether the engine had no prefill backlog before. Only
                then are the tokens known well enough for the line: a backlog
                is itself estimated by the line, and an error in it flattens
                the line, which makes the error grow.
        """
        expected = self._service.predict(tokens)
        self._service.note_error(seconds / (expected * self.factor) - 1.0)
        ratio = seconds / expected
        ratio = min(
            max(ratio, self.factor / learned_line.MAX_ERROR_RATIO),
            self.factor * learned_line.MAX_ERROR_RATIO,
        )
        factor = self.factor + (1.0 - _ENGINE_DECAY) * (ratio - self.factor)
        self.factor = min(max(factor, _MIN_FACTOR), _MAX_FACTOR)
        if was_idle:
            self._service.learn(tokens, seconds)
