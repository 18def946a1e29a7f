"""Which router hosts the scheduler of a service.

Every router works it out by itself from the routers that it believes to be
alive, by rendezvous hashing: a router that goes moves only the services that
it hosted. Two routers that believe differently ask different hosts for a
while, which costs some waste but breaks no promise.

Examples:
    >>> order = order_hosts("assist", ["a", "b", "c"])
    >>> order == order_hosts("assist", ["c", "b", "a"])
    True
    >>> without = [name for name in order if name != order[0]]
    >>> order_hosts("assist", without) == order[1:]
    True
"""

from collections.abc import Iterable
import hashlib


def _weigh(service: str, router: str) -> bytes:
    text = f"{service}\0{router}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def order_hosts(service: str, routers: Iterable[str]) -> list[str]:
    """Return the routers in the order in which they host a service."""
    return sorted(routers, key=lambda router: (_weigh(service, router), router))
