"""How the servers of two versions answer, by route.

Routers count the answers that they get and send the counts to the router that
decides. Times are counted in buckets, each a quarter longer than the one
before. Of the version in force a bounded number of servers is counted, the same
at all routers, so that a large service does not cost more reports.

Examples:
    >>> evidence = Evidence()
    >>> evidence.add(
    ...     Answer("look", "i-1", is_target=True, failed=False, first=0.05)
    ... )
    >>> evidence.add(Answer("look", "i-1", is_target=True, failed=True))
    >>> tally = evidence.find_tallies("look", is_target=True)["i-1"]
    >>> tally.answers, tally.failures, tally.first.total
    (2, 1, 1)
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import hashlib
import math
import typing

_BUCKET_RATIO = 1.25
_SHORTEST_SECONDS = 0.0005
# Number of servers of the version in force whose answers are counted. Half of
# them may stand out by faults of their own.
_REFERENCE_SERVERS = 32


class Answer(typing.NamedTuple):
    """How one request ended at a server.

    Attributes:
        route: Name of its route.
        server: Name of the server.
        is_target: Whether the server is of the version to be approved.
        failed: Whether the server failed to answer it.
        first: Seconds to the answer, or to the first event of a stream; None
            if there was none or a cold start explains it.
        pace: Mean seconds from event to event of a stream; None if unknown.
    """

    route: str
    server: str
    is_target: bool
    failed: bool
    first: float | None = None
    pace: float | None = None


def find_seconds(bucket: int) -> float:
    """Return the shortest time of a bucket.

    Examples:
        >>> round(find_seconds(find_bucket(0.1)), 3)
        0.085
    """
    return _SHORTEST_SECONDS * _BUCKET_RATIO**bucket


def find_bucket(seconds: float) -> int:
    """Return the number of the bucket of a time."""
    ratio = max(seconds, _SHORTEST_SECONDS) / _SHORTEST_SECONDS
    return int(math.log(ratio) / math.log(_BUCKET_RATIO))


class Histogram:
    """Number of times by bucket."""

    def __init__(self, counts: Iterable[tuple[int, int]] = ()) -> None:
        self._count_by_bucket = collections.Counter(dict(counts))

    def add(self, seconds: float) -> None:
        """Count a time."""
        self._count_by_bucket[find_bucket(seconds)] += 1

    def merge(self, other: "Histogram") -> None:
        """Add the counts of another histogram."""
        self._count_by_bucket.update(other._count_by_bucket)

    @property
    def total(self) -> int:
        """Number of all times."""
        return self._count_by_bucket.total()

    def find_quantile(self, share: float) -> int:
        """Return the bucket up to which at least a share of the times lies."""
        due = share * self.total
        seen = 0
        for bucket, count in self.iterate():
            seen += count
            if seen >= due:
                return bucket
        return 0

    def find_median(self) -> float:
        """Return the median in seconds, zero without any time."""
        return find_seconds(self.find_quantile(0.5)) if self.total else 0.0

    def count_above(self, bucket: int) -> int:
        """Return the number of times in later buckets."""
        return sum(
            count
            for found, count in self._count_by_bucket.items()
            if found > bucket
        )

    def iterate(self) -> Iterator[tuple[int, int]]:
        """Yield buckets with their counts, the shortest time first."""
        yield from sorted(self._count_by_bucket.items())


class Tally:
    """Answers to the requests of one route at one server.

    Attributes:
        answers: Number of requests that ended.
        failures: Number of those that failed.
        first: Times to the first byte of the answer.
        pace: Times from event to event.
    """

    def __init__(
        self,
        *,
        answers: int = 0,
        failures: int = 0,
        first: Iterable[tuple[int, int]] = (),
        pace: Iterable[tuple[int, int]] = (),
    ) -> None:
        self.answers = answers
        self.failures = failures
        self.first = Histogram(first)
        self.pace = Histogram(pace)

    def add(self, answer: Answer) -> None:
        """Count an answer."""
        self.answers += 1
        self.failures += answer.failed
        if answer.first is not None:
            self.first.add(answer.first)
        if answer.pace is not None:
            self.pace.add(answer.pace)

    def merge(self, other: "Tally") -> None:
        """Add another tally."""
        self.answers += other.answers
        self.failures += other.failures
        self.first.merge(other.first)
        self.pace.merge(other.pace)


class Evidence:
    """Tallies by route, version and server."""

    def __init__(self) -> None:
        self._tally_by_server: dict[tuple[str, bool], dict[str, Tally]] = (
            collections.defaultdict(dict)
        )

    def add(self, answer: Answer) -> None:
        """Count an answer."""
        group = self._tally_by_server[answer.route, answer.is_target]
        group.setdefault(answer.server, Tally()).add(answer)

    def merge(
        self, route: str, server: str, tally: Tally, *, is_target: bool
    ) -> None:
        """Add a tally of a router."""
        group = self._tally_by_server[route, is_target]
        group.setdefault(server, Tally()).merge(tally)

    def iterate(self) -> Iterator[tuple[str, bool, str, Tally]]:
        """Yield route, whether it is the target, server and tally."""
        for (route, is_target), group in self._tally_by_server.items():
            for server, tally in group.items():
                yield route, is_target, server, tally

    def find_routes(self) -> list[str]:
        """Return the names of all routes with an answer."""
        return sorted({route for route, _ in self._tally_by_server})

    def find_tallies(
        self, route: str, *, is_target: bool
    ) -> Mapping[str, Tally]:
        """Return the tallies of a route at one of the versions, by server."""
        return self._tally_by_server.get((route, is_target), {})

    def describe(self) -> list[dict[str, object]]:
        """Return a row for each route and version, for logs."""
        rows = []
        for route in self.find_routes():
            for is_target in (False, True):
                total = Tally()
                tallies = self.find_tallies(route, is_target=is_target)
                for tally in tallies.values():
                    total.merge(tally)
                rows.append(
                    {
                        "route": route,
                        "version": "target" if is_target else "in force",
                        "answers": total.answers,
                        "failures": total.failures,
                        "first_ms": round(total.first.find_median() * 1e3, 1),
                        "pace_ms": round(total.pace.find_median() * 1e3, 1),
                    }
                )
        return rows

    def count_target(self) -> int:
        """Return the number of answers of the target."""
        return sum(
            tally.answers
            for _, is_target, _, tally in self.iterate()
            if is_target
        )


def choose_reference_servers(names: Iterable[str]) -> frozenset[str]:
    """Return the servers of the version in force that are counted.

    Examples:
        >>> len(choose_reference_servers(f"i-{n}" for n in range(100)))
        32
    """
    return frozenset(sorted(names, key=_hash)[:_REFERENCE_SERVERS])


def _hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
