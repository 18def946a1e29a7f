"""Matches requests to routes by host, then by the longest path prefix.

Examples:
    >>> def make(name, prefix):
    ...     return Route(
    ...         name=name, host="a.example", path_prefix=prefix, kind=SAFE,
    ...         timeout=1.0, objective=0.2, weight_by_service={"s": 1.0},
    ...         max_attempts=2, public=False, resumable=False,
    ...     )
    >>> table = RouteTable(routes=[make("all", "/"), make("plots", "/p/")])
    >>> table.find("A.example:80", "/p/7").name
    'plots'
    >>> table.find("b.example", "/p/7") is None
    True
"""

from collections.abc import Iterable
from collections.abc import Mapping
import random
import typing

SAFE = "safe"
UNSAFE = "unsafe"
STREAMING = "streaming"


class Route(typing.NamedTuple):
    """Settings for the requests below a path.

    Attributes:
        name: Name for logs.
        host: Host header in lower case, without a port.
        path_prefix: Begins and ends with a slash.
        kind: ``SAFE`` (may be repeated), ``UNSAFE`` (runs at most once) or
            ``STREAMING`` (responds with events).
        timeout: Maximum time that a caller waits, in seconds.
        objective: Latency objective in seconds; for a stream up to its first
            event.
        weight_by_service: Services and their shares of the requests.
        max_attempts: Maximum number of backend servers tried per request.
        public: Whether requests need no API key.
        resumable: Whether another server may resume a broken stream.
        max_pause: Longest time between two events of a stream that is in time,
            in seconds; zero if none is declared.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout: float
    objective: float
    weight_by_service: Mapping[str, float]
    max_attempts: int
    public: bool
    resumable: bool
    max_pause: float = 0.0

    @property
    def may_run_again(self) -> bool:
        """Whether requests are idempotent and may be repeated."""
        return self.kind == SAFE

    def pick_service(self, rng: random.Random) -> str:
        """Return a service, chosen at random by weight.

        Returns an empty name if no service has a weight.
        """
        names = list(self.weight_by_service)
        weights = list(self.weight_by_service.values())
        if not any(weights):
            return ""
        if len(names) == 1:
            return names[0]
        return rng.choices(names, weights)[0]


class RouteTable:
    """Routes by host, the longest prefix first."""

    def __init__(self, *, routes: Iterable[Route]) -> None:
        self._routes_by_host: dict[str, list[Route]] = {}
        self._timeout_by_service: dict[str, float] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
            for service in route.weight_by_service:
                self._timeout_by_service[service] = max(
                    self.find_longest_timeout(service), route.timeout
                )
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda route: -len(route.path_prefix))

    def find_longest_timeout(self, service: str) -> float:
        """Return the longest timeout in seconds of a service's routes."""
        return self._timeout_by_service.get(service, 0.0)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or ``None``."""
        name = host.lower().partition(":")[0]
        path = target.partition("?")[0]
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def __len__(self) -> int:
        """Return the number of routes."""
        return sum(map(len, self._routes_by_host.values()))
