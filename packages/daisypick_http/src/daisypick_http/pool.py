"""Pool of persistent connections, by address.

Reusing a connection saves the handshake, but the peer may close it at the
moment at which a request is sent on it, and it is then unknown whether that
request ran. A connection is therefore reused only well within the peer's idle
timeout, and only if nothing was received on it meanwhile.
"""

import time

from daisypick_http import connection as connections

# Assumed idle timeout, in seconds, of a peer that announces none: the shortest
# one in use among HTTP servers.
_DEFAULT_IDLE_LIMIT = 2.0
# Fraction of the peer's idle timeout after which a connection is not reused.
# The rest covers the peer's rounding to whole seconds and the network latency.
_IDLE_FRACTION = 0.5
_MAX_IDLE_PER_ADDRESS = 64


class Pool:
    """Idle connections, of which the most recently used one is reused first.

    Attributes:
        opened: Number of connections opened.
        reused: Number of times that a connection was reused.
    """

    def __init__(
        self,
        *,
        connect_timeout: float,
        keepalive_timeout: int | None = None,
        receive_bytes: int | None = None,
    ) -> None:
        """Create an empty pool.

        Args:
            connect_timeout: See ``Connection``.
            keepalive_timeout: See ``Connection``.
            receive_bytes: See ``Connection``.
        """
        self._receive_bytes = receive_bytes
        self._connect_timeout = connect_timeout
        self._silence_limit = keepalive_timeout
        self._idle_by_address: dict[
            tuple[str, int], list[connections.Connection]
        ] = {}
        self.opened = 0
        self.reused = 0

    def take(self, address: tuple[str, int]) -> connections.Connection:
        """Return an idle or a new connection.

        Raises:
            NoDescriptorsError: A new connection was needed, and this process
                has no free file descriptor and no idle connection to close.
            NotConnectedError: A new connection was needed but could not be
                established.
        """
        now = time.monotonic()
        idle = self._idle_by_address.get(address, [])
        while idle:
            kept = idle.pop()
            if self._is_fresh(kept, now) and kept.is_open_and_idle():
                self.reused += 1
                return kept
            kept.close()
        try:
            connection = self._open(address)
        except connections.NoDescriptorsError:
            if not self._close_longest_idle():
                raise
            connection = self._open(address)
        self.opened += 1
        return connection

    def _open(self, address: tuple[str, int]) -> connections.Connection:
        return connections.Connection(
            address=address,
            connect_timeout=self._connect_timeout,
            keepalive_timeout=self._silence_limit,
            receive_bytes=self._receive_bytes,
        )

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for the longest time."""
        idle = [kept for kept in self._idle_by_address.values() if kept]
        if not idle:
            return False
        oldest = min(idle, key=lambda kept: kept[0].idle_since)
        oldest.pop(0).close()
        return True

    def is_refused(self, address: tuple[str, int]) -> bool:
        """Return whether the peer's host refuses connections to an address.

        The connection is opened anew: an idle one may still seem open for a
        moment after the peer has ended.
        """
        try:
            connection = self._open(address)
        except connections.RefusedError:
            return True
        except connections.NotConnectedError:
            return False
        self.opened += 1
        self._keep(connection)
        return False

    def release(self, connection: connections.Connection) -> None:
        """Keep a connection if it is reusable, else close it."""
        if not connection.is_reusable():
            connection.close()
            return
        connection.update_idle_limit()
        self._keep(connection)

    def _keep(self, connection: connections.Connection) -> None:
        idle = self._idle_by_address.setdefault(connection.address, [])
        if len(idle) >= _MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        idle.append(connection)

    def drop(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def close_stale(self) -> None:
        """Close the connections that have been idle for too long."""
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
        return now - kept.idle_since < limit * _IDLE_FRACTION
