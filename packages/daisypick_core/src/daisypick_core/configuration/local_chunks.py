"""The chunks that a process holds and serves to its peers.

Chunks of recent trees are kept besides those of the tree in force: a peer
that is a few changes behind sends the hash of its top chunk and receives all
chunks that differ in one response.

Examples:
    >>> local = LocalChunks()
    >>> list(local.find(["unknown"])), local.top == EMPTY_TREE.top
    ([], True)
    >>> len(local.bundle(local.top))
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


class _FormerTree(typing.NamedTuple):
    """A former tree and its chunks that the next tree did not use."""

    top: str
    dropped: frozenset[str]


class LocalChunks:
    """The chunks of the tree in force and of recent trees.

    Attributes:
        top: Hash of the top chunk in force.
        chunk_by_hash: All chunks held.
    """

    def __init__(self) -> None:
        self.top = EMPTY_TREE.top
        self.chunk_by_hash: dict[str, bytes] = dict(EMPTY_TREE.chunk_by_hash)
        self._live = set(self.chunk_by_hash)
        self._former_trees: collections.deque[_FormerTree] = collections.deque()

    def is_live(self, chunk_hash: str) -> bool:
        """Return whether a chunk belongs to the tree in force."""
        return chunk_hash in self._live

    def switch_to(self, top: str, staged: Mapping[str, bytes]) -> None:
        """Put another tree in force.

        Args:
            top: Its top chunk.
            staged: At least those of its chunks that are not held.
        """
        self.chunk_by_hash.update(staged)
        added = chunks.changed_chunks(self.top, top, self.chunk_by_hash)
        removed = chunks.changed_chunks(top, self.top, self.chunk_by_hash)
        self._live = (self._live - removed) | added
        self._former_trees.append(
            _FormerTree(top=self.top, dropped=frozenset(removed))
        )
        self.top = top
        if len(self._former_trees) > HISTORY_LIMIT:
            self._evict(self._former_trees.popleft())

    def _evict(self, former: _FormerTree) -> None:
        kept = self._live.union(
            *(other.dropped for other in self._former_trees)
        )
        for chunk_hash in former.dropped - kept:
            self.chunk_by_hash.pop(chunk_hash, None)

    def find(self, hashes: Iterable[str]) -> dict[str, bytes]:
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
        if any(former.top == have for former in self._former_trees):
            changed = chunks.changed_chunks(have, self.top, self.chunk_by_hash)
            found = self.find(changed)
            if sum(map(len, found.values())) <= BUNDLE_BYTES:
                return found
        return self.find([self.top])
