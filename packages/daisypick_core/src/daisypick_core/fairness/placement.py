"""Which agents collect, by rendezvous hash over those believed to be alive.

Every agent computes the roles for itself from what it sees as live; nobody
is appointed. Agents that see the same pick the same, and one that is gone
moves only what it held. Where views differ, two agents do the work of one
for a while: whoever receives a report handles it, and the marks in reports
merge in any order, so a wrong view costs some fairness and no correctness.

Examples:
    >>> agents = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"]
    >>> first = pick("desk/sofia", agents)
    >>> rest = [agent for agent in agents if agent != first]
    >>> pick("desk/sofia", rest) == ranked("desk/sofia", agents)[1]
    True
    >>> count_heads(4), count_heads(275), count_collectors(23)
    (1, 14, 4)

References:
    D. Thaler, C. Ravishankar: "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable
import math

import xxhash

AGENTS_PER_HEAD = 20
AGENTS_PER_COLLECTOR = 6


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by descending weight for a key."""
    return sorted(
        candidates, key=lambda one: (_weight(key, one), one), reverse=True
    )


def pick(key: str, candidates: Iterable[str]) -> str:
    """Return the candidate with the highest weight for a key.

    Raises:
        ValueError: There are no candidates.
    """
    return max(candidates, key=lambda one: (_weight(key, one), one))


def count_heads(agents: int) -> int:
    """Return how many heads a service with so many agents has."""
    return max(1, math.ceil(agents / AGENTS_PER_HEAD))


def count_collectors(agents: int) -> int:
    """Return how many collectors a service has in a data centre."""
    return max(1, math.ceil(agents / AGENTS_PER_COLLECTOR))


def _weight(key: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{candidate}".encode())
