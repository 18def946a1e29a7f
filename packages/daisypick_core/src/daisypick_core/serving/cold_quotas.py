"""Quotas of the request rate that a cold backend server can handle.

A cold server fails when all routers together exceed its rate. Routers can be
partitioned from each other and from the platform, so each computes its own
quota from the routers that it knows and keeps to it. The quotas of all routers
add up to the rate. With more routers than requests per second, some routers
have a quota of one and the others of zero: if each router could send one
request at an interval of its own, all of them could send in the same second.
Rendezvous hashing per server chooses those routers, so routers with slightly
different views still agree on nearly all of them.

A router whose list of routers is empty has not read the list yet, and its quota
is zero. It cannot assume that there are only few routers: after a fault that
stops all routers, all of them restart with an empty list.

Examples:
    >>> parts = ColdQuotas()
    >>> parts.find_quota("r-1", "i-1", rate=23.0)
    0
    >>> parts.set_routers([f"r-{number}" for number in range(5)])
    >>> [parts.find_quota(f"r-{n}", "i-1", rate=23.0) for n in range(5)]
    [5, 4, 5, 5, 4]
"""

from collections.abc import Iterable
import hashlib


def _hash_pair(server: str, router: str) -> bytes:
    text = f"{server}\0{router}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class ColdQuotas:
    """Quotas of a cold server's rate, by router."""

    def __init__(self) -> None:
        self._routers: frozenset[str] = frozenset()
        self._rank_by_server: dict[str, dict[str, int]] = {}

    def set_routers(self, routers: Iterable[str]) -> None:
        """Set the names of all routers; empty if they are unknown."""
        self._routers = frozenset(routers)
        self._rank_by_server.clear()

    def find_quota(self, router: str, server: str, *, rate: float) -> int:
        """Return the requests per second that a router may send."""
        if router not in self._routers:
            return 0
        base, remainder = divmod(int(rate), len(self._routers))
        return base + (self._find_ranks(server)[router] < remainder)

    def _find_ranks(self, server: str) -> dict[str, int]:
        ranks = self._rank_by_server.get(server)
        if ranks is None:
            order = sorted(
                self._routers, key=lambda router: _hash_pair(server, router)
            )
            ranks = {router: rank for rank, router in enumerate(order)}
            self._rank_by_server[server] = ranks
        return ranks
