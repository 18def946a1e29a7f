"""Kept connections by address.

A kept connection saves the peer's handshake, but may have been closed by
the peer at the very moment at which a request is sent on it. That request
may then have run. So a connection is used again only well within the time
for which its peer keeps it, and only if nothing arrived on it meanwhile.
"""

import time

from daisypick_http import connection as connections

# A peer that says nothing about its timeout is taken to keep a connection
# for this many seconds; the shortest timeout in use among HTTP servers.
_DEFAULT_IDLE_LIMIT = 2.0
# Share of the peer's timeout after which a connection is not used again. The
# rest covers the peer's rounding to whole seconds and the way to it.
_IDLE_SHARE = 0.5
_MOST_KEPT_BY_ADDRESS = 64


class Pool:
    """Idle connections, the most recently used one first."""

    def __init__(
        self, *, connect_timeout: float, silence_limit: int | None = None
    ) -> None:
        self._connect_timeout = connect_timeout
        self._silence_limit = silence_limit
        self._idle_by_address: dict[
            tuple[str, int], list[connections.Connection]
        ] = {}
        self.opened = 0
        self.reused = 0

    def take(self, address: tuple[str, int]) -> connections.Connection:
        """Return a connection that can carry a request.

        Raises:
            NoDescriptorsError: A new connection was needed, and this process
                has no descriptor left and no idle connection to close.
            NotConnectedError: A new connection was needed and refused.
        """
        now = time.monotonic()
        idle = self._idle_by_address.get(address, [])
        while idle:
            kept = idle.pop()
            if self._is_fresh(kept, now) and kept.is_quiet():
                self.reused += 1
                return kept
            kept.close()
        try:
            connection = self._open(address)
        except connections.NoDescriptorsError:
            if not self._close_oldest():
                raise
            connection = self._open(address)
        self.opened += 1
        return connection

    def _open(self, address: tuple[str, int]) -> connections.Connection:
        return connections.Connection(
            address=address,
            connect_timeout=self._connect_timeout,
            silence_limit=self._silence_limit,
        )

    def _close_oldest(self) -> bool:
        """Close the connection that is idle for the longest time."""
        idle = [kept for kept in self._idle_by_address.values() if kept]
        if not idle:
            return False
        oldest = min(idle, key=lambda kept: kept[0].idle_since)
        oldest.pop(0).close()
        return True

    def give_back(self, connection: connections.Connection) -> None:
        """Keep a connection whose answer was whole; close any other."""
        if not connection.is_reusable():
            connection.close()
            return
        connection.read_idle_limit()
        idle = self._idle_by_address.setdefault(connection.address, [])
        if len(idle) >= _MOST_KEPT_BY_ADDRESS:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        idle.append(connection)

    def drop(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def close_stale(self) -> None:
        """Close connections that will not be used again."""
        now = time.monotonic()
        for address, idle in list(self._idle_by_address.items()):
            fresh = [kept for kept in idle if self._is_fresh(kept, now)]
            for kept in idle:
                if kept not in fresh:
                    kept.close()
            if fresh:
                self._idle_by_address[address] = fresh
            else:
                del self._idle_by_address[address]

    def _is_fresh(self, kept: connections.Connection, now: float) -> bool:
        limit = kept.idle_limit
        if limit is None:
            limit = _DEFAULT_IDLE_LIMIT
        return now - kept.idle_since < limit * _IDLE_SHARE
