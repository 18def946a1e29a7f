"""Which parts of prompts an engine is believed to keep.

An engine keeps parts that it has read until memory is short, then drops the
least recently used ones. A part is of use only if all parts before it are
kept too. Parts of running requests stay. The belief follows what was sent; an
engine that dropped more than we think reads again, which costs time but
never correctness.

Examples:
    >>> cache = PrefixCache(capacity=100)
    >>> system, talk = job.Part("a", 30), job.Part("b", 40)
    >>> cache.begin([system, talk]); cache.end([system, talk])
    >>> cache.count_kept([system, job.Part("c", 9)])
    30
    >>> cache.begin([job.Part("d", 60)])
    >>> cache.count_kept([system, talk])
    0
"""

import collections
from collections.abc import Iterable

from daisypick_core.scheduling import job


class PrefixCache:
    """Parts by name, least recently used first."""

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._tokens_by_part: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._users_by_part: dict[str, int] = {}
        self._read: set[str] = set()
        self._kept = 0
        self._held = 0
        self.generated = 0

    @property
    def held(self) -> int:
        """Tokens that cannot be dropped: of running requests."""
        return self._held + self.generated

    def count_kept(self, parts: Iterable[job.Part]) -> int:
        """Return the tokens of the leading parts that are kept."""
        kept = 0
        for part in parts:
            if part.name not in self._tokens_by_part:
                break
            kept += part.tokens
        return kept

    def count_read(self, parts: Iterable[job.Part]) -> int:
        """Return the tokens of the leading parts that were read in full.

        Only these can be copied to another engine; the rest is on its way.
        """
        read = 0
        for part in parts:
            if part.name not in self._read:
                break
            read += part.tokens
        return read

    def note_read(self, parts: Iterable[job.Part]) -> None:
        """A prompt of these parts was read."""
        self._read.update(
            part.name for part in parts if part.name in self._tokens_by_part
        )

    def count_unheld(self, parts: Iterable[job.Part]) -> int:
        """Return the tokens that would be held in addition."""
        return sum(
            part.tokens
            for part in parts
            if part.name not in self._users_by_part
        )

    def begin(self, parts: Iterable[job.Part]) -> None:
        """A request with these parts starts."""
        for part in parts:
            users = self._users_by_part.get(part.name, 0)
            self._users_by_part[part.name] = users + 1
            if not users:
                self._held += part.tokens
            if part.name not in self._tokens_by_part:
                self._kept += part.tokens
            self._tokens_by_part[part.name] = part.tokens
            self._tokens_by_part.move_to_end(part.name)
        self._drop_oldest()

    def end(self, parts: Iterable[job.Part]) -> None:
        """A request with these parts ended; they may be dropped now."""
        for part in parts:
            users = self._users_by_part.get(part.name, 0)
            if users > 1:
                self._users_by_part[part.name] = users - 1
            elif users:
                del self._users_by_part[part.name]
                self._held -= part.tokens
        self._drop_oldest()

    def forget_unread(self, parts: Iterable[job.Part]) -> None:
        """Drop parts that nobody reads any more and that were not read.

        A request that ends before its first token leaves them half read at
        the best; believed to be kept, they would draw others to an engine
        that has to read them again.
        """
        for part in parts:
            if part.name in self._read or part.name in self._users_by_part:
                continue
            self._kept -= self._tokens_by_part.pop(part.name, 0)

    def _drop_oldest(self) -> None:
        if self._kept + self.generated <= self._capacity:
            return
        for name in list(self._tokens_by_part):
            if name in self._users_by_part:
                continue
            self._kept -= self._tokens_by_part.pop(name)
            self._read.discard(name)
            if self._kept + self.generated <= self._capacity:
                return
