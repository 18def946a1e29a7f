"""How the servers of two versions answer, by route.

Routers count the answers that they get and send the counts to the router that
decides. Times are counted in buckets, each a quarter longer than the one
before.

Examples:
    >>> evidence = Evidence()
    >>> evidence.add(
    ...     Answer(route="look", server="i-1", failed=False, first=0.05)
    ... )
    >>> evidence.add(Answer(route="look", server="i-1", failed=True))
    >>> tally = evidence.tally_by_key["look", "i-1"]
    >>> tally.answers, tally.failures, tally.first.total
    (2, 1, 1)
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import math
import typing

_BUCKET_RATIO = 1.25
_SHORTEST_SECONDS = 0.0005
# Stands for all servers of the version in force, whose answers need not be told
# apart by server.
ALL_SERVERS = ""


class Answer(typing.NamedTuple):
    """How one request ended at a server.

    Attributes:
        route: Name of its route.
        server: Name of the server, or ``ALL_SERVERS``.
        failed: Whether the server failed to answer it.
        first: Seconds to the answer, or to the first event of a stream; None
            if there was none or a cold start explains it.
        pace: Mean seconds from event to event of a stream; None if unknown.
    """

    route: str
    server: str
    failed: bool
    first: float | None = None
    pace: float | None = None


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

    def count_above(self, bucket: int) -> int:
        """Return the number of times in later buckets."""
        return sum(count for found, count in self.iterate() if found > bucket)

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
    """Tallies by route and server.

    Attributes:
        tally_by_key: The tallies by the name of the route and of the server.
    """

    def __init__(self) -> None:
        self.tally_by_key: dict[tuple[str, str], Tally] = {}

    def add(self, answer: Answer) -> None:
        """Count an answer."""
        self._find(answer.route, answer.server).add(answer)

    def merge(self, route: str, server: str, tally: Tally) -> None:
        """Add a tally of a router."""
        self._find(route, server).merge(tally)

    def _find(self, route: str, server: str) -> Tally:
        return self.tally_by_key.setdefault((route, server), Tally())

    def find_routes(self) -> list[str]:
        """Return the names of all routes with an answer."""
        return sorted({route for route, _ in self.tally_by_key})

    def find_reference(self, route: str) -> Tally:
        """Return the tally of a route at the version in force."""
        return self.tally_by_key.get((route, ALL_SERVERS), Tally())

    def find_target(self, route: str) -> dict[str, Tally]:
        """Return the tallies of a route at the target, by server."""
        return {
            server: tally
            for (found, server), tally in self.tally_by_key.items()
            if found == route and server != ALL_SERVERS
        }

    def count_target(self) -> int:
        """Return the number of answers of the target."""
        return sum(
            tally.answers
            for (_, server), tally in self.tally_by_key.items()
            if server != ALL_SERVERS
        )
