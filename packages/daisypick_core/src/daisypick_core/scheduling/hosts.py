"""Which router hosts the scheduler of a service.

Every router computes this by itself from the routers that it considers alive:
those with the most processor cores first, as a host decides for the whole
service in addition to serving its own callers; among equals by rendezvous
hashing, so that a router that leaves moves only the services that it hosted.
Two routers with different views use different hosts for a while, which wastes
some capacity but violates no guarantee.

Examples:
    >>> routers = {"a": 0.4, "b": 0.4, "c": 0.4, "big": 2.2}
    >>> order = order_hosts("assist", routers)
    >>> order[0]
    'big'
    >>> del routers["big"]
    >>> order_hosts("assist", routers) == order[1:]
    True
"""

from collections.abc import Mapping
import hashlib

# Granularity, in cores, at which routers are compared: two VMs of one kind
# report figures that differ in the second digit and should count as equal.
_CORES_STEP = 0.25


def _hash_weight(service: str, router: str) -> bytes:
    text = f"{service}\0{router}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def order_hosts(
    service: str, cores_by_router: Mapping[str, float]
) -> list[str]:
    """Return the routers in the order in which they host a service.

    Args:
        service: Name of the service.
        cores_by_router: Cores that each router's process may use.
    """
    return sorted(
        cores_by_router,
        key=lambda router: (
            -round(cores_by_router[router] / _CORES_STEP),
            _hash_weight(service, router),
            router,
        ),
    )
