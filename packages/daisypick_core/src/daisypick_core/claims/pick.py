"""Which agent is the batcher of a shard.

Rendezvous hashing: everybody who sees the same agents picks the same one,
and a change of the agents moves only the shards of those that came or went.
The pick is advice. Two batchers of a shard at once cost retries and nothing
else, since the conditional update decides.

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
