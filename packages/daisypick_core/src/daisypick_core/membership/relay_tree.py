"""Distribution tree that relays changes to all routers.

One router sends each change to a bounded number of others, and each of these
forwards it to as many. Every router computes its own position from the common
order of all routers: the router at position *n* receives changes from the one
at position (*n* - 1) // ``FAN_OUT``. Two routers with different views may each
choose the other as their source; a router that receives no recent confirmation
does not rely on its source.

Examples:
    >>> order = [f"r-{number}" for number in range(700)]
    >>> find_sources(order, "r-0")
    []
    >>> find_sources(order, "r-40")
    ['r-0', 'r-1']
    >>> find_sources(order, "r-699")
    ['r-10', 'r-0', 'r-1']
"""

from collections.abc import Sequence

# Number of routers to which one router forwards changes.
FAN_OUT = 64


def find_sources(order: Sequence[str], name: str) -> list[str]:
    """Return the routers to receive changes from, by preference.

    These are the ancestors of a router, nearest first, and last the second
    router of the order, which replaces the first one if that has failed.

    Args:
        order: All routers in a common order.
        name: Name of the receiving router.
    """
    position = order.index(name)
    sources = []
    while position > 0:
        position = (position - 1) // FAN_OUT
        sources.append(order[position])
    if name != order[0] and order[1] not in (name, *sources):
        sources.append(order[1])
    return sources
