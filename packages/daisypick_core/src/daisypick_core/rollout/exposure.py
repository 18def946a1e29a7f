"""Limits the requests that go to a version which nobody has approved.

The limit is a share of all requests that reach a service, summed over all
routers. Each router keeps to that share of the requests that it sends itself,
and sends none in advance. So the sum holds without any message, whatever the
number of routers, and also while they are partitioned. The part of the share
that is not used in the first phase is saved; it may be spent at once later, on
few servers, which then are as busy as they will be after the move. Then also a
part of the share of the requests still to come is spent, since what is left
after the move would be used up before a fault could stop it.

Requests of each route are counted apart, and a route with little traffic gets a
larger share of its own, so that a fault of that route is seen too.

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
import math

# Part of the share that is used before the probe. The evidence grows with it,
# the load that the probe can put on a server shrinks with it.
_CANARY_PART = 0.55
# Part of the share that is saved for the probe. The rest allows for requests
# that are counted here and get lost on their way to a server.
_SAVED_PART = 0.35
# Part of the share before the probe that goes to all routes by turns.
_EVEN_PART = 0.4
# Part of a version's servers that get the probe.
_PROBED_PART = 3.0 / 7.0
# Rate of the probe at each of them as a multiple of the usual one, until what
# is saved is spent. Below it some reach half of their usual load and others do
# not, and the former look like faulty servers. At twice the rate the probe was
# over in 0.6 s; where all servers turned slow then, most of its times met those
# of an earlier moment, and 8 of 200 good versions were rejected.
_PROBE_RATE = 1.2
# Part of the share of the requests still to come that is spent on the probe
# instead of being saved. With the canary's part it is all of their share, so a
# probe may go on until the limit. If it ends before, the bound holds if half as
# many come as are expected.
_ADVANCE_PART = 0.45
# Longest rest of the time limit for which requests are expected, as a multiple
# of the time that has passed.
_MAX_REMAINING = 1.0
# Requests that a route may have in hand. More would let a route that was idle
# send many of them in a row.
_MAX_CREDIT = 1.0
# The same for the probe; a limit of one would lose what exceeds it.
_MAX_PROBE_CREDIT = 2.0


class Exposure:
    """Requests that one router may send to the servers of a version.

    Args:
        share: Share of the requests to the service, above 0 and at most 1.
    """

    def __init__(self, *, share: float) -> None:
        self._share = share
        self._credit_by_route: dict[str, float] = collections.defaultdict(float)
        self._saved = 0.0
        self._sent = 0
        self._probe_credit = 0.0
        self._has_advance = False

    def note_sent(self, route: str) -> None:
        """Count a request that is sent to any server of the service."""
        canary = self._share * _CANARY_PART
        self._add(route, canary * (1.0 - _EVEN_PART))
        routes = list(self._credit_by_route)
        self._sent += 1
        self._add(routes[self._sent % len(routes)], canary * _EVEN_PART)
        if not self._has_advance:
            self._saved += self._share * _SAVED_PART
        self._probe_credit = min(
            self._probe_credit + _PROBED_PART * _PROBE_RATE, _MAX_PROBE_CREDIT
        )

    def add_advance(self, *, remaining: float) -> None:
        """Let the probe spend a part of what later requests allow, once.

        Args:
            remaining: Rest of the time limit as a multiple of the time that has
                passed.
        """
        if self._has_advance:
            return
        self._has_advance = True
        expected = self._sent * min(max(remaining, 0.0), _MAX_REMAINING)
        self._saved += self._share * _ADVANCE_PART * expected

    def _add(self, route: str, credit: float) -> None:
        credit += self._credit_by_route[route]
        self._credit_by_route[route] = min(credit, _MAX_CREDIT)

    def note_lost(self, route: str) -> None:
        """Undo ``note_sent`` for a request that reached no server."""
        self._sent -= 1
        self._credit_by_route[route] -= self._share * _CANARY_PART
        if not self._has_advance:
            self._saved -= self._share * _SAVED_PART

    def take(self, route: str, *, is_probe: bool) -> bool:
        """Return whether a request may test the version, and count it."""
        if self._credit_by_route[route] >= 1.0:
            self._credit_by_route[route] -= 1.0
            self._probe_credit -= is_probe
            return True
        if is_probe and min(self._saved, self._probe_credit) >= 1.0:
            self._saved -= 1.0
            self._probe_credit -= 1.0
            return True
        return False

    def give_back(self, route: str) -> None:
        """Undo ``take`` for a request that was not sent."""
        credit = self._credit_by_route[route] + 1.0
        self._credit_by_route[route] = min(credit, _MAX_CREDIT)


def count_probed(servers: int) -> int:
    """Return how many of a version's servers share the load of the probe.

    Examples:
        >>> count_probed(21), count_probed(1)
        (9, 1)
    """
    return math.ceil(servers * _PROBED_PART)
