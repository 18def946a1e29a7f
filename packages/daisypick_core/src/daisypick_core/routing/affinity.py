"""The preferred agents of a prompt prefix, by rendezvous hashing.

Examples:
    >>> ranking = PrefixRanking()
    >>> ranking.set_addresses(["a", "b", "c", "d"])
    >>> first = ranking.rank("union/visits")
    >>> len(first), first == ranking.rank("union/visits")
    (3, True)
    >>> ranking.set_addresses([a for a in "abcd" if a != first[0]])
    >>> ranking.rank("union/visits")[:2] == first[1:]
    True
"""

import collections
from collections.abc import Iterable
import heapq

import xxhash

# Number of preferred agents of a prefix; beyond these only load decides.
RANKED = 3
_MAX_PREFIXES = 4096


class PrefixRanking:
    """The preferred agents of prefixes, cached for the latest prefixes."""

    def __init__(self) -> None:
        self._addresses: tuple[str, ...] = ()
        self._rank_by_prefix: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Set the addresses of the agents of a service."""
        addresses = tuple(sorted(addresses))
        if addresses != self._addresses:
            self._addresses = addresses
            self._rank_by_prefix.clear()

    def rank(self, prefix: str) -> tuple[str, ...]:
        """Return the preferred addresses of a prefix, best first."""
        ranked = self._rank_by_prefix.get(prefix)
        if ranked is None:
            ranked = tuple(
                heapq.nlargest(
                    RANKED,
                    self._addresses,
                    key=lambda address: _weight(prefix, address),
                )
            )
            self._rank_by_prefix[prefix] = ranked
            if len(self._rank_by_prefix) > _MAX_PREFIXES:
                self._rank_by_prefix.popitem(last=False)
        return ranked


def _weight(prefix: str, address: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{prefix}\0{address}".encode())
