"""The chunks that a process holds and serves to its peers.

Chunks of recent trees are kept besides those of the tree in force: a peer
that is a few changes behind sends the hash of its top chunk and receives all
chunks that differ in one response.

Examples:
    >>> holdings = Holdings()
    >>> list(holdings.give(["unknown"])), holdings.top == EMPTY_TREE.top
    ([], True)
    >>> len(holdings.bundle(holdings.top))
    0
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import typing

from daisypick_core.configuration import chunks
from daisypick_core.configuration import model

EMPTY_TREE = chunks.split(model.EMPTY)
# Covers about one minute at ten times the expected rate of change.
HISTORY_LIMIT = 64
BUNDLE_BYTES = 256_000


class _Past(typing.NamedTuple):
    """A former tree and its chunks that the next tree did not use."""

    top: str
    dropped: frozenset[str]


class Holdings:
    """The chunks of the tree in force and of recent trees.

    Attributes:
        top: Hash of the top chunk in force.
        chunk_by_hash: All chunks held.
    """

    def __init__(self) -> None:
        self.top = EMPTY_TREE.top
        self.chunk_by_hash: dict[str, bytes] = dict(EMPTY_TREE.chunk_by_hash)
        self._live = set(self.chunk_by_hash)
        self._past: collections.deque[_Past] = collections.deque()

    def is_live(self, chunk_hash: str) -> bool:
        """Return whether a chunk belongs to the tree in force."""
        return chunk_hash in self._live

    def move_to(self, top: str, staged: Mapping[str, bytes]) -> None:
        """Put another tree in force.

        Args:
            top: Its top chunk.
            staged: At least those of its chunks that are not held.
        """
        self.chunk_by_hash.update(staged)
        come = chunks.changed_chunks(self.top, top, self.chunk_by_hash)
        gone = chunks.changed_chunks(top, self.top, self.chunk_by_hash)
        self._live = (self._live - gone) | come
        self._past.append(_Past(top=self.top, dropped=frozenset(gone)))
        self.top = top
        if len(self._past) > HISTORY_LIMIT:
            self._forget(self._past.popleft())

    def _forget(self, past: _Past) -> None:
        kept = self._live.union(*(other.dropped for other in self._past))
        for chunk_hash in past.dropped - kept:
            self.chunk_by_hash.pop(chunk_hash, None)

    def give(self, hashes: Iterable[str]) -> dict[str, bytes]:
        """Return the requested chunks that are held."""
        return {
            chunk_hash: self.chunk_by_hash[chunk_hash]
            for chunk_hash in hashes
            if chunk_hash in self.chunk_by_hash
        }

    def bundle(self, have: str) -> dict[str, bytes]:
        """Return the chunks that a peer with the tree ``have`` lacks.

        For an unknown tree, or if the difference exceeds ``BUNDLE_BYTES``,
        this is the top chunk alone; the peer then requests the chunks that it
        references.
        """
        if have in ("", self.top):
            return {}
        if any(past.top == have for past in self._past):
            changed = chunks.changed_chunks(have, self.top, self.chunk_by_hash)
            given = self.give(changed)
            if sum(map(len, given.values())) <= BUNDLE_BYTES:
                return given
        return self.give([self.top])
