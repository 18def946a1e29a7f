"""The chunks that a process holds, and what it can give to others.

Besides the tree in force, chunks of the last trees are kept: a peer that is
a few changes behind says which top it has and gets all that differs in one
answer.

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
# At ten times the letter's rate of change this is a minute's worth.
HISTORY_LIMIT = 64
BUNDLE_BYTES = 256_000


class _Past(typing.NamedTuple):
    """A former tree and the chunks that fell away with it."""

    top: str
    dropped: frozenset[str]


class Holdings:
    """The tree in force and some of its predecessors.

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
        """Tell whether a chunk belongs to the tree in force."""
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
        """Return those of the chunks that are held."""
        return {
            chunk_hash: self.chunk_by_hash[chunk_hash]
            for chunk_hash in hashes
            if chunk_hash in self.chunk_by_hash
        }

    def bundle(self, have: str) -> dict[str, bytes]:
        """Return what a holder of the tree ``have`` lacks.

        For a tree that is not remembered, or too great a difference, this is
        the top chunk alone, from which the other side finds its way.
        """
        if have in ("", self.top):
            return {}
        if any(past.top == have for past in self._past):
            changed = chunks.changed_chunks(have, self.top, self.chunk_by_hash)
            given = self.give(changed)
            if sum(map(len, given.values())) <= BUNDLE_BYTES:
                return given
        return self.give([self.top])
