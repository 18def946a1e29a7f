"""The registered estimators of a request's cost, in tokens.

The actual cost is known only at the end of a request, and hints about it are
off by a factor of up to 8 in either direction. The estimate determines the
charge while a request runs. Errors are corrected at its end, so they shift
service in time but do not accumulate. A learned mean is less noisy than the
hints.

Means are kept per service and organisation, up to a bound; the least
recently used are evicted first, and the service's mean then applies.

Examples:
    >>> estimator = LearnedMean()
    >>> estimator.estimate("desk", "union", hint=100.0)
    100.0
    >>> estimator.learn("desk", "union", hint=100.0, cost=800.0)
    >>> estimator.estimate("desk", "union", hint=100.0)
    800.0
    >>> estimator.estimate("desk", "studio", hint=100.0)
    800.0
"""

import collections
from collections.abc import Callable
import typing

LEARNING_RATE = 0.05
DEFAULT_LIMIT = 50_000


class Estimator(typing.Protocol):
    """Estimates costs and learns from actual ones."""

    def estimate(
        self, service: str, organisation: str, *, hint: float
    ) -> float:
        """Return the estimated cost of a request."""
        ...

    def learn(
        self, service: str, organisation: str, *, hint: float, cost: float
    ) -> None:
        """Update the estimator with the actual cost of a request."""
        ...


Factory = Callable[[], Estimator]

by_name: dict[str, Factory] = {}


def register(name: str) -> Callable[[Factory], Factory]:
    """Register an estimator under a name."""

    def _add(factory: Factory) -> Factory:
        by_name[name] = factory
        return factory

    return _add


class _BoundedMeans:
    """Moving means by key with eviction of the least recently used."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._mean_by_key: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._mean_by_key)

    def get(self, key: tuple[str, str]) -> float | None:
        mean = self._mean_by_key.get(key)
        if mean is not None:
            self._mean_by_key.move_to_end(key)
        return mean

    def learn(self, key: tuple[str, str], value: float) -> None:
        mean = self._mean_by_key.get(key, value)
        self._mean_by_key[key] = mean + LEARNING_RATE * (value - mean)
        self._mean_by_key.move_to_end(key)
        if len(self._mean_by_key) > self._limit:
            self._mean_by_key.popitem(last=False)


@register("hint")
class Hint:
    """Use the hint as the estimate."""

    def estimate(
        self, service: str, organisation: str, *, hint: float
    ) -> float:
        """Return the hint."""
        del service, organisation
        return hint

    def learn(
        self, service: str, organisation: str, *, hint: float, cost: float
    ) -> None:
        """Ignore the actual cost."""
        del service, organisation, hint, cost


@register("learned_mean")
class LearnedMean:
    """Use the mean cost of the organisation at the service."""

    def __init__(self, *, limit: int = DEFAULT_LIMIT) -> None:
        self._means = _BoundedMeans(limit)

    def __len__(self) -> int:
        return len(self._means)

    def estimate(
        self, service: str, organisation: str, *, hint: float
    ) -> float:
        """Return the organisation's mean, else the service's, else the hint."""
        own_mean = self._means.get((service, organisation))
        if own_mean is not None:
            return own_mean
        service_mean = self._means.get((service, ""))
        return hint if service_mean is None else service_mean

    def learn(
        self, service: str, organisation: str, *, hint: float, cost: float
    ) -> None:
        """Update the means of the organisation and of the service."""
        del hint
        self._means.learn((service, organisation), cost)
        self._means.learn((service, ""), cost)


@register("corrected_hint")
class CorrectedHint:
    """Multiply the hint by the mean ratio of cost to hint.

    Even an inaccurate hint distinguishes large requests from small ones,
    which a mean cannot do; the ratio removes the hint's systematic error.
    """

    def __init__(self, *, limit: int = DEFAULT_LIMIT) -> None:
        self._costs = _BoundedMeans(limit)
        self._hints = _BoundedMeans(limit)

    def estimate(
        self, service: str, organisation: str, *, hint: float
    ) -> float:
        """Return the hint times the organisation's ratio, or the service's."""
        for key in ((service, organisation), (service, "")):
            mean_cost = self._costs.get(key)
            mean_hint = self._hints.get(key)
            if mean_cost is not None and mean_hint:
                return hint * mean_cost / mean_hint
        return hint

    def learn(
        self, service: str, organisation: str, *, hint: float, cost: float
    ) -> None:
        """Update the means of costs and of hints.

        The ratio of the two means is used rather than the mean of individual
        ratios, which a single tiny hint would distort.
        """
        if hint <= 0.0:
            return
        for key in ((service, organisation), (service, "")):
            self._costs.learn(key, cost)
            self._hints.learn(key, hint)
