"""Which routers keep what is known of a stream.

Each router takes part with one point on a ring of hash values, and an id leads
to the points that follow its own. Routers that know nearly the same routers
thus choose nearly the same ones, without a message.

Examples:
    >>> ring = RegistrarRing(["r-1", "r-2", "r-3"])
    >>> ring.choose("a-1", 2) == RegistrarRing(["r-3", "r-1", "r-2"]).choose(
    ...     "a-1", 2
    ... )
    True
    >>> sorted(ring.choose("a-1", 9))
    ['r-1', 'r-2', 'r-3']
"""

import bisect
from collections.abc import Iterable
import zlib


class RegistrarRing:
    """Some routers in the order of their hash values."""

    def __init__(self, routers: Iterable[str]) -> None:
        self._points = sorted((_hash(router), router) for router in routers)

    def choose(self, key: str, count: int) -> list[str]:
        """Return the routers that keep a key, ``count`` at most."""
        begin = bisect.bisect(self._points, (_hash(key), ""))
        following = self._points[begin:] + self._points[:begin]
        return [router for _, router in following[:count]]


def _hash(name: str) -> int:
    return zlib.crc32(name.encode())
