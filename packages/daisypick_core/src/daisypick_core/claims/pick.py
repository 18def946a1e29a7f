"""Selects the batcher of a shard by rendezvous hashing.

Agents with the same list of agents pick the same batcher, and a change of the
list moves only the shards of agents that were added or removed. The choice is
advisory: two concurrent batchers of a shard cost retries and nothing else,
since the conditional update decides.

Examples:
    >>> agents = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"]
    >>> first = batcher_of(7, agents)
    >>> others = [agent for agent in agents if agent != first]
    >>> batcher_of(7, [others[0], first]) == first
    True
"""

from collections.abc import Iterable

import xxhash


def batcher_of(shard: int, agents: Iterable[str]) -> str:
    """Return the address with the highest hash for the shard.

    Raises:
        ValueError: ``agents`` is empty.
    """
    return max(agents, key=lambda agent: _rank(shard, agent))


def _rank(shard: int, agent: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{shard}@{agent}".encode()), agent
