"""Cached prompt prefixes in limited memory, and cache events.

Prompts are split into blocks. A block's name is the hash of the prompt up to
its end, so equal names mean equal prefixes. The least recently used block is
evicted when memory runs out. Events are published late and with gaps.

Examples:
    >>> cache = PrefixCache(capacity=128, lag=1.0, loss=0.0, seed=1)
    >>> cache.use("x" * 512, 0.0), cache.use("x" * 512 + "y", 0.0)
    (0, 128)
    >>> cache.events_after(0, 0.5)
    []
    >>> [event.action for event in cache.events_after(0, 1.0)]
    ['stored', 'stored']
"""

import collections
from collections.abc import Iterator
import random
import typing

import xxhash

from daisypick_standins.engine import text

BLOCK_TOKENS = 64
_BLOCK_CHARACTERS = BLOCK_TOKENS * text.CHARACTERS_PER_TOKEN
STORED = "stored"
REMOVED = "removed"
_MAX_EVENTS = 10_000


class CacheEvent(typing.NamedTuple):
    """A block was stored or removed; lost events leave sequence gaps."""

    sequence: int
    action: str
    block: str


def block_names(prompt: str) -> Iterator[str]:
    """Yield the names of the complete blocks of a prompt."""
    digest = xxhash.xxh64()
    for end in range(_BLOCK_CHARACTERS, len(prompt) + 1, _BLOCK_CHARACTERS):
        digest.update(prompt[end - _BLOCK_CHARACTERS : end].encode())
        yield digest.hexdigest()


class PrefixCache:
    """Blocks by name, the least recently used first."""

    def __init__(
        self, *, capacity: int, lag: float, loss: float, seed: int
    ) -> None:
        self._capacity = capacity // BLOCK_TOKENS
        self._lag = lag
        self._loss = loss
        self._rng = random.Random(seed)
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=_MAX_EVENTS)
        )
        self.hit_tokens = 0
        self.prompt_tokens = 0

    @property
    def used_tokens(self) -> int:
        """Memory in use, in tokens."""
        return len(self._blocks) * BLOCK_TOKENS

    def use(self, prompt: str, now: float) -> int:
        """Store a prompt's blocks; return the tokens already cached."""
        hits = 0
        is_prefix = True
        for name in block_names(prompt):
            if name in self._blocks:
                self._blocks.move_to_end(name)
                hits += is_prefix
                continue
            is_prefix = False
            self._store(name, now)
        self.hit_tokens += hits * BLOCK_TOKENS
        self.prompt_tokens += text.count_tokens(prompt)
        return hits * BLOCK_TOKENS

    def clear(self, now: float) -> None:
        """Remove all blocks, as a restart does."""
        for name in self._blocks:
            self._publish(REMOVED, name, now)
        self._blocks.clear()

    def events_after(self, sequence: int, now: float) -> list[CacheEvent]:
        """Return the events after ``sequence`` that are published by now."""
        return [
            event
            for at, event in self._events
            if event.sequence > sequence and at + self._lag <= now
        ]

    def _store(self, name: str, now: float) -> None:
        self._blocks[name] = None
        self._publish(STORED, name, now)
        if len(self._blocks) > self._capacity:
            oldest, _ = self._blocks.popitem(last=False)
            self._publish(REMOVED, oldest, now)

    def _publish(self, action: str, name: str, now: float) -> None:
        self._sequence += 1
        if self._rng.random() >= self._loss:
            event = CacheEvent(self._sequence, action, name)
            self._events.append((now, event))
