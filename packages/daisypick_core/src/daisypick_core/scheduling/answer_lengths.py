"""Prediction of the number of events of an answer, learned by route.

Routers see events, not tokens, and an event holds an unannounced number of
tokens. A length is therefore learned as a multiple of what the caller
announced: of its estimate if there is one, else of its maximum number of
tokens. The two differ too much in meaning to be learned together.

Each route has a histogram of these multiples with exponential decay. An answer
that was cut off is only known to be longer than what was received; its weight
is spread over the longer answers in proportion to theirs (the estimator of
Kaplan and Meier). Counted as lengths, the answers that end at their deadlines
would make long answers look short. An answer that its caller resumes was
learned as cut before: that weight is taken from the longer answers again.

Examples:
    >>> lengths = AnswerLengths()
    >>> for events in range(41, 61):
    ...     lengths.learn("visit", hint=100, maximum=500, events=events)
    >>> expected, high = lengths.predict("visit", hint=200, maximum=500)
    >>> round(expected, -1), round(high, -1)
    (100.0, 120.0)
    >>> lengths.predict("visit", hint=0, maximum=500)
    AnswerLength(expected=0.0, high=0.0)
"""

import collections
import math
import typing

# Decay per answer: a route's last hundred answers determine its prediction.
_DECAY = 0.99
# Answers without which nine in ten cannot be told from the median.
_MIN_ANSWERS = 8
# Routes and bases that are remembered, those used last; some 1 KB each.
_MAX_HISTOGRAMS = 512
# Bounds of the multiples, and the factor from one bucket to the next. Events
# of many tokens and answers far below a maximum give small multiples.
_MIN_MULTIPLE, _MAX_MULTIPLE = 0.001, 100.0
_STEP = math.log(1.1)
_BUCKETS = math.ceil(math.log(_MAX_MULTIPLE / _MIN_MULTIPLE) / _STEP)
# Weights grow instead of all older ones being multiplied by the decay; they are
# scaled down when they reach this.
_MAX_WEIGHT = 1e9

_MEDIAN, _HIGH = 0.5, 0.9


class AnswerLength(typing.NamedTuple):
    """Predicted events of an answer; zeros if unknown.

    Attributes:
        expected: The median.
        high: Events that nine in ten such answers do not exceed.
    """

    expected: float
    high: float


UNKNOWN = AnswerLength(expected=0.0, high=0.0)


class AnswerLengths:
    """Answer lengths of all routes."""

    def __init__(self) -> None:
        self._histograms: collections.OrderedDict[
            tuple[str, bool], _Histogram
        ] = collections.OrderedDict()

    def learn(
        self,
        route: str,
        *,
        hint: int,
        maximum: int,
        events: int,
        is_cut: bool = False,
        resumed_after: int = 0,
    ) -> None:
        """Learn from an answer.

        Args:
            route: Name of its route.
            hint: Tokens that its caller estimated, zero if none were.
            maximum: Maximum tokens, zero if none were given.
            events: Events of the answer, with those before it was resumed.
            is_cut: Whether it would have gone on.
            resumed_after: Events that its caller had from an attempt before.
        """
        basis = hint or maximum
        if not basis or events <= resumed_after:
            return
        key = (route, bool(hint))
        histogram = self._histograms.pop(key, None) or _Histogram()
        self._histograms[key] = histogram
        if len(self._histograms) > _MAX_HISTOGRAMS:
            self._histograms.popitem(last=False)
        if resumed_after:
            histogram.drop_above(_find_position(resumed_after / basis))
        histogram.add(_find_position(events / basis), is_cut=is_cut)

    def predict(
        self, route: str, *, hint: int, maximum: int, passed: int = 0
    ) -> AnswerLength:
        """Return the events that an answer has yet to come.

        Args:
            route: Name of its route.
            hint: Tokens that its caller estimated, zero if none were.
            maximum: Maximum tokens, zero if none were given.
            passed: Events that have been received already.
        """
        basis = hint or maximum
        histogram = self._histograms.get((route, bool(hint)))
        if not basis or histogram is None or histogram.answers < _MIN_ANSWERS:
            return UNKNOWN
        above = _find_position(passed / basis) if passed else 0.0
        expected, high = (
            max(basis * _find_multiple(position) - passed, 1.0)
            for position in histogram.find_quantiles(
                (_MEDIAN, _HIGH), above=above
            )
        )
        return AnswerLength(expected=expected, high=high)


class _Histogram:
    """Weights by bucket; positions are bucket numbers with a fraction."""

    def __init__(self) -> None:
        self.answers = 0
        self._weights = [0.0] * _BUCKETS
        self._weight = 1.0

    def add(self, position: float, *, is_cut: bool) -> None:
        self._weight /= _DECAY
        if self._weight > _MAX_WEIGHT:
            self._weights = [one / self._weight for one in self._weights]
            self._weight = 1.0
        bucket = min(int(position), _BUCKETS - 1)
        longer = sum(self._weights[bucket + 1 :]) if is_cut else 0.0
        if not longer:
            self._weights[bucket] += self._weight
        else:
            factor = 1.0 + self._weight / longer
            for number in range(bucket + 1, _BUCKETS):
                self._weights[number] *= factor
        self.answers += 1

    def drop_above(self, position: float) -> None:
        """Take the weight of one answer that was cut from the longer ones."""
        begin = min(int(position), _BUCKETS - 1) + 1
        longer = sum(self._weights[begin:])
        if longer > self._weight:
            factor = 1.0 - self._weight / longer
            for number in range(begin, _BUCKETS):
                self._weights[number] *= factor

    def find_quantiles(
        self, shares: tuple[float, ...], *, above: float
    ) -> list[float]:
        """Return positions below which these shares of the weight are.

        Args:
            shares: Shares in ascending order.
            above: Position below which weights do not count.
        """
        begin = min(int(above), _BUCKETS - 1)
        weights = self._weights[begin:]
        weights[0] *= 1.0 - min(above - begin, 1.0)
        total = sum(weights)
        found: list[float] = []
        passed = 0.0
        for number, weight in enumerate(weights, begin):
            while (
                len(found) < len(shares)
                and weight
                and passed + weight >= shares[len(found)] * total
            ):
                inside = (shares[len(found)] * total - passed) / weight
                found.append(number + max(inside, 0.0))
            passed += weight
        # None is as long as this one already is, or rounding left a rest.
        return found + [above] * (len(shares) - len(found))


def _find_position(multiple: float) -> float:
    multiple = min(max(multiple, _MIN_MULTIPLE), _MAX_MULTIPLE)
    return math.log(multiple / _MIN_MULTIPLE) / _STEP


def _find_multiple(position: float) -> float:
    return _MIN_MULTIPLE * math.exp(position * _STEP)
