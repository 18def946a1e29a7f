"""Which organisations are within their share of the fleet's capacity.

The capacity of a sliding window is divided by max-min fairness: organisations
that demand less than an equal share get their demand, the others divide the
rest equally. The tokens of an organisation's requests that started in the
window are its usage, which decides whether its next request is within its
share. A request over the share may still run, but only on spare capacity.

Examples:
    >>> shares = FairShare(window_seconds=4.0)
    >>> shares.set_capacity(tokens_per_second=100.0)
    >>> shares.add_demand("farm", 50.0, now=0.0)
    >>> for _ in range(10):
    ...     shares.add_demand("flood", 100.0, now=0.0)
    >>> shares.find_level(now=0.0)
    350.0
    >>> shares.add_usage("flood", 300.0, now=0.0)
    >>> shares.is_within("flood", 100.0, now=0.5)
    False
    >>> shares.is_within("farm", 50.0, now=0.5)
    True
"""

from collections.abc import Iterable
import math

# Steps in which the window moves. With 16 steps the sums are within 7 % of
# those of a window that moves with every request.
_STEPS = 16
# Seconds for which a computed level is reused: less than half a step of a
# window of four seconds.
_LEVEL_CACHE_SECONDS = 0.1


class _SlidingSum:
    """Sum over the steps of the window."""

    __slots__ = ("_first", "_sums", "newest_step", "total")

    def __init__(self) -> None:
        self._first = 0
        # Step of the most recent amount.
        self.newest_step = 0
        self._sums: list[float] = [0.0] * _STEPS
        self.total = 0.0

    def move_to(self, step: int) -> None:
        """Drop the steps that have left the window."""
        for expired_step in range(self._first, min(step, self._first + _STEPS)):
            index = expired_step % _STEPS
            self.total -= self._sums[index]
            self._sums[index] = 0.0
        self._first = max(step, self._first)

    def add(self, step: int, amount: float) -> None:
        """Add to the newest step."""
        self.move_to(step)
        self._sums[(step + _STEPS - 1) % _STEPS] += amount
        self.newest_step = max(self.newest_step, step)
        self.total += amount


def find_max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair level of demands; infinite if all are met.

    Examples:
        >>> find_max_min_level([1.0, 5.0, 9.0], 9.0)
        4.0
        >>> find_max_min_level([1.0, 2.0], 9.0)
        inf
    """
    remaining = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        equal_share = remaining / (len(ordered) - index)
        if demand > equal_share:
            return equal_share
        remaining -= demand
    return math.inf


def _drop_expired(
    sum_by_organisation: dict[str, _SlidingSum], step: int
) -> None:
    """Drop organisations whose last amount has left the window."""
    expired = [
        organisation
        for organisation, total in sum_by_organisation.items()
        if step - total.newest_step > _STEPS
    ]
    for organisation in expired:
        del sum_by_organisation[organisation]


class FairShare:
    """Demand and usage in tokens by organisation, in a sliding window."""

    def __init__(self, *, window_seconds: float) -> None:
        self._seconds = window_seconds
        self._step_seconds = window_seconds / _STEPS
        self._capacity = 0.0
        self._demand_by_organisation: dict[str, _SlidingSum] = {}
        self._usage_by_organisation: dict[str, _SlidingSum] = {}
        self._level = math.inf
        self._level_at = -math.inf

    def set_capacity(self, *, tokens_per_second: float) -> None:
        """Set the throughput of the fleet; zero if that is not known."""
        self._capacity = tokens_per_second * self._seconds

    def _step(self, now: float) -> int:
        return int(now / self._step_seconds)

    def add_demand(self, organisation: str, tokens: float, now: float) -> None:
        """Add a submitted request to its organisation's demand."""
        demand = self._demand_by_organisation.setdefault(
            organisation, _SlidingSum()
        )
        demand.add(self._step(now), tokens)

    def add_usage(self, organisation: str, tokens: float, now: float) -> None:
        """Add a started request to its organisation's usage."""
        usage = self._usage_by_organisation.setdefault(
            organisation, _SlidingSum()
        )
        usage.add(self._step(now), tokens)

    def __len__(self) -> int:
        """Return how many organisations are remembered."""
        return len(
            self._demand_by_organisation.keys()
            | self._usage_by_organisation.keys()
        )

    def find_level(self, now: float) -> float:
        """Return the tokens that each organisation may use in a window."""
        if now - self._level_at < _LEVEL_CACHE_SECONDS:
            return self._level
        self._level_at = now
        self._level = math.inf
        step = self._step(now)
        _drop_expired(self._demand_by_organisation, step)
        _drop_expired(self._usage_by_organisation, step)
        if self._capacity > 0.0:
            for demand in self._demand_by_organisation.values():
                demand.move_to(step)
            self._level = find_max_min_level(
                (
                    demand.total
                    for demand in self._demand_by_organisation.values()
                ),
                self._capacity,
            )
        return self._level

    def find_usage(self, organisation: str, now: float) -> float:
        """Return the tokens that an organisation has used in the window."""
        usage = self._usage_by_organisation.get(organisation)
        if usage is None:
            return 0.0
        usage.move_to(self._step(now))
        return usage.total

    def is_within(self, organisation: str, tokens: float, now: float) -> bool:
        """Return whether a request is within its organisation's share."""
        level = self.find_level(now)
        usage = self.find_usage(organisation, now)
        return usage == 0.0 or usage + tokens <= level
