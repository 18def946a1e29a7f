"""Assigns the roles of collector and head by rendezvous hashing.

Every agent computes the assignment independently from its view of the live
agents. Agents with equal views compute the same assignment, and the removal
of an agent moves only its own roles. While views differ, two agents may
perform one role: any agent that receives a report handles it, and the marks
in reports merge in any order, so an outdated view costs some fairness but no
correctness.

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
    """Return the number of heads of a service with a number of agents."""
    return max(1, math.ceil(agents / AGENTS_PER_HEAD))


def count_collectors(agents: int) -> int:
    """Return the number of collectors of a service in a data centre."""
    return max(1, math.ceil(agents / AGENTS_PER_COLLECTOR))


def _weight(key: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{candidate}".encode())
