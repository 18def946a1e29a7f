"""The registered ways to expect a request's cost, in tokens.

The true cost is known only at the end, and hints about it are off by up to
8 times in either direction. The estimate decides what is charged while a
request runs; errors are repaired at its end, so they move service in time
and never add up. A learned mean does this with less noise than the hints.

Means are kept per service and organisation, up to a bound; the least
recently used are forgotten first and fall back to the service's mean.

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
    """Expects costs and learns from true ones."""

    def estimate(
        self, service: str, organisation: str, *, hint: float
    ) -> float:
        """Return the expected cost of a request."""
        ...

    def learn(
        self, service: str, organisation: str, *, hint: float, cost: float
    ) -> None:
        """Take the true cost of a request that ended."""
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
    """Moving means by key; the least recently used are forgotten."""

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
    """Believe the hint."""

    def estimate(
        self, service: str, organisation: str, *, hint: float
    ) -> float:
        """Return the hint."""
        del service, organisation
        return hint

    def learn(
        self, service: str, organisation: str, *, hint: float, cost: float
    ) -> None:
        """Learn nothing."""
        del service, organisation, hint, cost


@register("learned_mean")
class LearnedMean:
    """Expect the mean cost of the organisation at the service."""

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
        """Move the means of the organisation and of the service."""
        del hint
        self._means.learn((service, organisation), cost)
        self._means.learn((service, ""), cost)


@register("corrected_hint")
class CorrectedHint:
    """Multiply the hint by the mean ratio of cost to hint.

    A hint that is off by much still tells large requests from small ones,
    which no mean does; the ratio takes out what is steadily wrong.
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
        """Move the means of costs and of hints.

        Their ratio is learned rather than the mean of single ratios, which
        one tiny hint would throw off.
        """
        if hint <= 0.0:
            return
        for key in ((service, organisation), (service, "")):
            self._costs.learn(key, cost)
            self._hints.learn(key, hint)
