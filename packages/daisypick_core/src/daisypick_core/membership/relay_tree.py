"""Whom a router hears changes from, in a tree over all routers.

One router sends each change to a bounded number of others, and each of these
passes it on to as many. Every router works out its place by itself from the
order of all of them: the router at position *n* hears from the one at position
(*n* - 1) // ``FAN_OUT``. Two routers that know of different ones may each take
the other for theirs; whoever hears no fresh proof does not rely on it.

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

# Routers that one passes changes on to.
FAN_OUT = 64


def find_sources(order: Sequence[str], name: str) -> list[str]:
    """Return the routers to hear from, the first choice first.

    Those above a router, the nearest first, and at last the second of all,
    which takes the first one's place when that is gone.

    Args:
        order: All routers in an order that all agree on.
        name: The router that asks.
    """
    position = order.index(name)
    sources = []
    while position > 0:
        position = (position - 1) // FAN_OUT
        sources.append(order[position])
    if name != order[0] and order[1] not in (name, *sources):
        sources.append(order[1])
    return sources
