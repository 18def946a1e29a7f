"""Limits the requests that go to a version which nobody has approved.

The limit is a share of all requests that reach a service, summed over all
routers. Each router keeps to that share of the requests that it sends itself,
and sends none in advance. So the sum holds without any message, whatever the
number of routers, and also while they are partitioned. The part of the share
that is not used in the first phase is saved; it may be spent at once later, on
few servers, which then are as busy as they will be after the move.

Requests of each route are counted apart, so that a fault of a route with little
traffic is seen too.

Examples:
    >>> exposure = Exposure(share=0.5)
    >>> for _ in range(4):
    ...     exposure.note_sent("look")
    >>> exposure.take("look", is_probe=False)
    True
    >>> exposure.take("look", is_probe=False)
    False
    >>> exposure.take("ask", is_probe=False)
    False
"""

import collections

# Part of the share that is used before the probe. The evidence grows with it,
# the load that the probe can put on a server shrinks with it.
_CANARY_PART = 0.55
# Part of the share that is saved for the probe. The rest allows for requests
# that are counted here and get lost on their way to a server.
_SAVED_PART = 0.35
# Requests that a route may have in hand. More would let a route that was idle
# send many of them in a row.
_MAX_CREDIT = 1.0


class Exposure:
    """Requests that one router may send to the servers of a version.

    Args:
        share: Share of the requests to the service, above 0 and at most 1.
    """

    def __init__(self, *, share: float) -> None:
        self._share = share
        self._credit_by_route: dict[str, float] = collections.defaultdict(float)
        self._saved = 0.0

    def note_sent(self, route: str) -> None:
        """Count a request that is sent to any server of the service."""
        credit = self._credit_by_route[route] + self._share * _CANARY_PART
        self._credit_by_route[route] = min(credit, _MAX_CREDIT)
        self._saved += self._share * _SAVED_PART

    def take(self, route: str, *, is_probe: bool) -> bool:
        """Return whether a request may test the version, and count it."""
        if self._credit_by_route[route] >= 1.0:
            self._credit_by_route[route] -= 1.0
            return True
        if is_probe and self._saved >= 1.0:
            self._saved -= 1.0
            return True
        return False

    def give_back(self, route: str) -> None:
        """Undo ``take`` for a request that was not sent."""
        credit = self._credit_by_route[route] + 1.0
        self._credit_by_route[route] = min(credit, _MAX_CREDIT)
