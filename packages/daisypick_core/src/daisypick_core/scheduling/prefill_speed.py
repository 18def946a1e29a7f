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

# Prior of the line, in seconds and in seconds per token. It weighs as much as
# one observation at each of two sizes, so a handful of first tokens outweigh
# it.
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
_MIN_SECONDS = 0.001
# Largest ratio, either way, between an observed and a predicted time; larger
# ones are clamped. Some first tokens wait for a slot in a full batch or for
# memory, which is unrelated to prefill: without the bound a few of these
# outliers flatten the line until a token seems to take no time.
_MAX_ERROR_RATIO = 2.0


class ServiceSpeed:
    """The latency line of a service: a base, and seconds per token.

    A weighted least squares fit with exponential decay. Errors grow with the
    time itself, so an observation is weighted by the inverse of its time.

    Args:
        base: Initial seconds to a first token without any prefill.
        token_seconds: Initial seconds per token.
    """

    def __init__(
        self,
        *,
        base: float = _INITIAL_BASE_SECONDS,
        token_seconds: float = _INITIAL_TOKEN_SECONDS,
    ) -> None:
        self.base = base
        self.token_seconds = token_seconds
        # Mean relative error of predictions, with exponential decay.
        self.relative_error = 0.25
        self._weight = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._tokens_squared = 0.0
        self._tokens_seconds = 0.0
        self._add(0.0, base)
        self._add(_PRIOR_TOKENS, self.predict(_PRIOR_TOKENS))

    def predict(self, tokens: float) -> float:
        """Return the seconds to first token with ``tokens`` to prefill."""
        return self.base + tokens * self.token_seconds

    def learn(self, tokens: float, seconds: float) -> None:
        """Learn from an observed first token."""
        expected = self.predict(tokens)
        seconds = min(
            max(seconds, expected / _MAX_ERROR_RATIO),
            expected * _MAX_ERROR_RATIO,
        )
        self._weight *= _SERVICE_DECAY
        self._tokens *= _SERVICE_DECAY
        self._seconds *= _SERVICE_DECAY
        self._tokens_squared *= _SERVICE_DECAY
        self._tokens_seconds *= _SERVICE_DECAY
        self._add(tokens, seconds)
        self._fit()

    def note_error(self, relative: float) -> None:
        """Record the relative error of a prediction."""
        error = min(abs(relative), 1.0)
        self.relative_error += (1.0 - _SERVICE_DECAY) * (
            error - self.relative_error
        )

    def _add(self, tokens: float, seconds: float) -> None:
        weight = 1.0 / max(self.predict(tokens), _MIN_SECONDS)
        self._weight += weight
        self._tokens += weight * tokens
        self._seconds += weight * seconds
        self._tokens_squared += weight * tokens * tokens
        self._tokens_seconds += weight * tokens * seconds

    def _fit(self) -> None:
        mean_tokens = self._tokens / self._weight
        mean_seconds = self._seconds / self._weight
        variance = self._tokens_squared / self._weight - mean_tokens**2
        covariance = self._tokens_seconds / self._weight
        covariance -= mean_tokens * mean_seconds
        if variance <= 1.0:
            return
        slope = max(covariance / variance, 0.0)
        base = mean_seconds - slope * mean_tokens
        if base < _MIN_SECONDS:
            base = _MIN_SECONDS
            slope = (mean_seconds - base) / max(mean_tokens, 1.0)
        if slope > 0.0:
            self.base, self.token_seconds = base, slope


class EngineSpeed:
    """Slowdown of one engine against the line of its service."""

    def __init__(self, *, service: ServiceSpeed) -> None:
        self._service = service
        self.factor = 1.0

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
            max(ratio, self.factor / _MAX_ERROR_RATIO),
            self.factor * _MAX_ERROR_RATIO,
        )
        factor = self.factor + (1.0 - _ENGINE_DECAY) * (ratio - self.factor)
        self.factor = min(max(factor, _MIN_FACTOR), _MAX_FACTOR)
        if was_idle:
            self._service.learn(tokens, seconds)
