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
    >>> cache.count_cached([system, job.Part("c", 9)])
    30
    >>> cache.begin([job.Part("d", 60)])
    >>> cache.count_cached([system, talk])
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
        self._references_by_part: dict[str, int] = {}
        self._prefilled: set[str] = set()
        self._cached = 0
        self._pinned = 0
        self.output_tokens = 0

    @property
    def pinned(self) -> int:
        """Tokens that cannot be dropped: of running requests."""
        return self._pinned + self.output_tokens

    def count_cached(self, parts: Iterable[job.Part]) -> int:
        """Return the tokens of the leading parts that are kept."""
        cached = 0
        for part in parts:
            if part.name not in self._tokens_by_part:
                break
            cached += part.tokens
        return cached

    def count_prefilled(self, parts: Iterable[job.Part]) -> int:
        """Return the tokens of the leading parts that were read in full.

        Only these can be copied to another engine; the rest is on its way.
        """
        prefilled = 0
        for part in parts:
            if part.name not in self._prefilled:
                break
            prefilled += part.tokens
        return prefilled

    def mark_prefilled(self, parts: Iterable[job.Part]) -> None:
        """A prompt of these parts was read."""
        self._prefilled.update(
            part.name for part in parts if part.name in self._tokens_by_part
        )

    def count_unpinned(self, parts: Iterable[job.Part]) -> int:
        """Return the tokens that would be held in addition."""
        return sum(
            part.tokens
            for part in parts
            if part.name not in self._references_by_part
        )

    def begin(self, parts: Iterable[job.Part]) -> None:
        """A request with these parts starts."""
        for part in parts:
            references = self._references_by_part.get(part.name, 0)
            self._references_by_part[part.name] = references + 1
            if not references:
                self._pinned += part.tokens
            if part.name not in self._tokens_by_part:
                self._cached += part.tokens
            self._tokens_by_part[part.name] = part.tokens
            self._tokens_by_part.move_to_end(part.name)
        self._evict()

    def end(self, parts: Iterable[job.Part]) -> None:
        """A request with these parts ended; they may be dropped now."""
        for part in parts:
            references = self._references_by_part.get(part.name, 0)
            if references > 1:
                self._references_by_part[part.name] = references - 1
            elif references:
                del self._references_by_part[part.name]
                self._pinned -= part.tokens
        self._evict()

    def drop_unprefilled(self, parts: Iterable[job.Part]) -> None:
        """Drop parts that nobody reads any more and that were not read.

        A request that ends before its first token leaves them half read at
        the best; believed to be kept, they would draw others to an engine
        that has to read them again.
        """
        for part in parts:
            if (
                part.name in self._prefilled
                or part.name in self._references_by_part
            ):
                continue
            self._cached -= self._tokens_by_part.pop(part.name, 0)

    def _evict(self) -> None:
        if self._cached + self.output_tokens <= self._capacity:
            return
        for name in list(self._tokens_by_part):
            if name in self._references_by_part:
                continue
            self._cached -= self._tokens_by_part.pop(name)
            self._prefilled.discard(name)
            if self._cached + self.output_tokens <= self._capacity:
                return
