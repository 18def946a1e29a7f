"""How long an idle connection to a peer may be reused.

A peer announces its idle timeout in whole seconds and may have rounded it up,
so one second is subtracted, and a margin for a request that is under way when
the peer decides to close. Of a peer that announces nothing the timeout is
learned: one idle connection, which carries no further request, is kept until
the peer closes it, and half of the time for which such a connection was seen
open is used.

Examples:
    >>> find_announced_limit(5.0), find_announced_limit(2.0)
    (3.5, 1.0)
    >>> limits = IdleLimits()
    >>> peer = ("127.0.0.1", 8000)
    >>> limits.find(peer)
    1.0
    >>> limits.note_open(peer, idle_seconds=9.0, now=20.0)
    >>> limits.find(peer)
    4.5
    >>> limits.note_closed(peer, idle_seconds=4.0, open_until=3.0, now=30.0)
    >>> limits.find(peer)
    1.5
"""

import math

_Address = tuple[str, int]

# Largest difference between an announced and the actual idle timeout: the
# peer rounds it to whole seconds.
_ROUNDING_SECONDS = 1.0
# Covers network latency and a peer that is slow for a moment, which both delay
# a request that was sent in time. Engines may be slow for 0.6 s, but then
# still accept data.
_MARGIN_SECONDS = 0.5
# Share of a known idle timeout that is always used. For an announced timeout
# of up to 3 s it is longer than what the rounding and the margin leave.
_USED_SHARE = 0.5
# Assumed idle timeout in seconds of a peer of which nothing is known: the
# shortest one in use among HTTP servers.
_ASSUMED_SECONDS = 2.0
# Seconds for which an unused connection is kept in order to learn. Half of
# them let a connection that is used every two seconds be reused in 49 of 50
# sends.
LEARNING_SECONDS = 16.0
# Seconds for which an observed closing limits what is learned. A peer that
# restarts closes all connections whatever its idle timeout.
_CLOSING_REMEMBERED_SECONDS = 30.0
_MIN_TIMEOUT_SECONDS = 0.1
_MAX_ADDRESSES = 4096


def find_announced_limit(seconds: float) -> float:
    """Return for how long to reuse an idle connection, in seconds.

    Args:
        seconds: Idle timeout that the peer announced.
    """
    return max(
        seconds * _USED_SHARE, seconds - _ROUNDING_SECONDS - _MARGIN_SECONDS
    )


class IdleLimits:
    """Learned idle timeouts of peers that announce none, by address."""

    def __init__(self) -> None:
        self._timeout_by_address: dict[_Address, float] = {}
        # When the last observed closing by the peer is forgotten.
        self._limited_until_by_address: dict[_Address, float] = {}

    def find(self, address: _Address) -> float:
        """Return for how long to reuse an idle connection, in seconds."""
        known = self._timeout_by_address.get(address, _ASSUMED_SECONDS)
        return known * _USED_SHARE

    def note_open(
        self, address: _Address, *, idle_seconds: float, now: float
    ) -> None:
        """Record that a connection idle for some seconds is still open."""
        known = self._timeout_by_address.get(address, _ASSUMED_SECONDS)
        limited_until = self._limited_until_by_address.get(address, -math.inf)
        if idle_seconds > known and now >= limited_until:
            self._set(address, idle_seconds)

    def note_closed(
        self,
        address: _Address,
        *,
        idle_seconds: float,
        open_until: float,
        now: float,
    ) -> None:
        """Record that the peer has closed an idle connection.

        One that was found closed after the assumed timeout does not show a
        shorter one.

        Args:
            address: The peer.
            idle_seconds: For how long the connection was idle when it was found
                closed.
            open_until: For how long it had been idle when it was last seen
                open; zero if it was not looked at.
            now: The time.
        """
        known = self._timeout_by_address.get(address, _ASSUMED_SECONDS)
        timeout = max(open_until, idle_seconds * _USED_SHARE)
        if idle_seconds >= _ASSUMED_SECONDS:
            timeout = max(timeout, _ASSUMED_SECONDS)
        self._set(address, max(min(known, timeout), _MIN_TIMEOUT_SECONDS))
        self._limited_until_by_address[address] = (
            now + _CLOSING_REMEMBERED_SECONDS
        )

    def _set(self, address: _Address, timeout: float) -> None:
        self._timeout_by_address.pop(address, None)
        if len(self._timeout_by_address) >= _MAX_ADDRESSES:
            oldest = next(iter(self._timeout_by_address))
            del self._timeout_by_address[oldest]
            self._limited_until_by_address.pop(oldest, None)
        self._timeout_by_address[address] = timeout
