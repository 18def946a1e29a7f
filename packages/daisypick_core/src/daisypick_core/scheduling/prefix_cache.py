"""Estimate of the prompt parts in an engine's prefix cache.

An engine caches parts that it has prefilled until memory is short, then evicts
the least recently used ones. A part is of use only if all parts before it are
cached too. Parts of running requests are pinned. The estimate follows the
requests sent; an engine that has evicted more than estimated prefills again,
which costs time but never correctness.

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

# Smallest mean size of the parts that are remembered. Callers choose the parts
# of their prompts, which may have no tokens at all.
_MIN_MEAN_TOKENS = 128
_MIN_PARTS = 256


class PrefixCache:
    """Parts by name, least recently used first.

    Attributes:
        output_tokens: Expected output of running requests.
    """

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._max_parts = max(_MIN_PARTS, capacity // _MIN_MEAN_TOKENS)
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
        """Tokens of running requests, which cannot be evicted."""
        return self._pinned + self.output_tokens

    def count_cached(self, parts: Iterable[job.Part]) -> int:
        """Return the tokens of the leading parts that are cached."""
        cached = 0
        for part in parts:
            if part.name not in self._tokens_by_part:
                break
            cached += part.tokens
        return cached

    def count_prefilled(self, parts: Iterable[job.Part]) -> int:
        """Return the tokens of the leading parts that are fully prefilled.

        Only these can be copied to another engine.
        """
        prefilled = 0
        for part in parts:
            if part.name not in self._prefilled:
                break
            prefilled += part.tokens
        return prefilled

    def mark_prefilled(self, parts: Iterable[job.Part]) -> None:
        """Record that a prompt of these parts was prefilled."""
        self._prefilled.update(
            part.name for part in parts if part.name in self._tokens_by_part
        )

    def count_unpinned(self, parts: Iterable[job.Part]) -> int:
        """Return the tokens of the parts that are not pinned yet."""
        return sum(
            part.tokens
            for part in parts
            if part.name not in self._references_by_part
        )

    def begin(self, parts: Iterable[job.Part]) -> None:
        """Record the start of a request with these parts; pins them."""
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
        """Record the end of a request with these parts; unpins them."""
        for part in parts:
            references = self._references_by_part.get(part.name, 0)
            if references > 1:
                self._references_by_part[part.name] = references - 1
            elif references:
                del self._references_by_part[part.name]
                self._pinned -= part.tokens
        self._evict()

    def drop_unprefilled(self, parts: Iterable[job.Part]) -> None:
        """Drop parts that were not prefilled and that no request refers to.

        A request that ends before its first token leaves its prefill
        incomplete. Counted as cached, its parts would attract other requests
        to an engine that has to prefill them again.
        """
        for part in parts:
            if (
                part.name in self._prefilled
                or part.name in self._references_by_part
            ):
                continue
            self._cached -= self._tokens_by_part.pop(part.name, 0)

    def _is_full(self) -> bool:
        return (
            self._cached + self.output_tokens > self._capacity
            or len(self._tokens_by_part) > self._max_parts
        )

    def _evict(self) -> None:
        if not self._is_full():
            return
        for name in list(self._tokens_by_part):
            if name in self._references_by_part:
                continue
            self._cached -= self._tokens_by_part.pop(name)
            self._prefilled.discard(name)
            if not self._is_full():
                return
