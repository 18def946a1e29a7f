"""How many requests each router may send to a cold backend server.

A cold server fails under more than its rate, whoever sends. Routers can be cut
off from each other and from the platform, so each works out its own part from
the routers that it knows of, and keeps to it. The parts of all routers add up
to the rate. Where there are more routers than the rate allows requests, some
have a part of one and the others of none: if each might send one in a while of
its own, all of them could in the same second. Which ones is drawn by rendezvous
hashing, for each server anew, so routers that know of somewhat different others
still agree on nearly all of them.

A router that knows of none, not even itself, has not read the list yet and has
no part. It must not count on being few: after a fault that stops all routers,
all of them start like that.

Examples:
    >>> parts = ColdParts()
    >>> parts.find_part("r-1", "i-1", rate=23.0)
    0
    >>> parts.set_routers([f"r-{number}" for number in range(5)])
    >>> [parts.find_part(f"r-{n}", "i-1", rate=23.0) for n in range(5)]
    [5, 4, 5, 5, 4]
"""

from collections.abc import Iterable
import hashlib


def _weigh(server: str, router: str) -> bytes:
    text = f"{server}\0{router}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class ColdParts:
    """Parts of a cold server's rate, by router."""

    def __init__(self) -> None:
        self._routers: frozenset[str] = frozenset()
        self._rank_by_server: dict[str, dict[str, int]] = {}

    def set_routers(self, routers: Iterable[str]) -> None:
        """Take the names of all routers; none if they are not known."""
        self._routers = frozenset(routers)
        self._rank_by_server.clear()

    def find_part(self, router: str, server: str, *, rate: float) -> int:
        """Return the requests a second that a router may send."""
        if router not in self._routers:
            return 0
        even, rest = divmod(int(rate), len(self._routers))
        return even + (self._find_ranks(server)[router] < rest)

    def _find_ranks(self, server: str) -> dict[str, int]:
        ranks = self._rank_by_server.get(server)
        if ranks is None:
            order = sorted(
                self._routers, key=lambda router: _weigh(server, router)
            )
            ranks = {router: rank for rank, router in enumerate(order)}
            self._rank_by_server[server] = ranks
        return ranks
