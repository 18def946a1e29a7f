"""Pool of persistent connections, by address.

Reusing a connection saves the handshake, but the peer may close it at the
moment at which a request is sent on it, and it is then unknown whether that
request ran. A connection is therefore reused only well within the peer's idle
timeout (``idle_limits``), and only if nothing was received on it meanwhile.
"""

from collections.abc import Callable
import time

from daisypick_http import connection as connections
from daisypick_http import idle_limits

_MAX_IDLE_PER_ADDRESS = 64


class Pool:
    """Idle connections, of which the most recently used one is reused first.

    Attributes:
        on_ended: Called with the address of a peer that was found to have
            closed an idle connection sooner than expected.
        opened: Number of connections opened.
        reused: Number of times that a connection was reused.
    """

    def __init__(
        self,
        *,
        connect_timeout: float,
        keepalive_timeout: int | None = None,
        receive_bytes: int | None = None,
        may_open: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create an empty pool.

        Args:
            connect_timeout: See ``Connection``.
            keepalive_timeout: See ``Connection``.
            receive_bytes: See ``Connection``.
            may_open: Returns whether a file descriptor may be used for a new
                connection.
        """
        self._may_open = may_open
        self._receive_bytes = receive_bytes
        self._connect_timeout = connect_timeout
        self._silence_limit = keepalive_timeout
        self._idle_by_address: dict[
            tuple[str, int], list[connections.Connection]
        ] = {}
        self._idle_limits = idle_limits.IdleLimits()
        self.on_ended: Callable[[tuple[str, int]], None] = lambda address: None
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
        # The last one was used most recently. Older ones are left to
        # ``close_stale``, which learns from them.
        while idle and self._is_fresh(idle[-1], now):
            kept = idle.pop()
            if kept.is_open_and_idle():
                self.reused += 1
                return kept
            self._close_ended(kept, now)
            self.on_ended(address)
        return self._open_new(address)

    def _open_new(self, address: tuple[str, int]) -> connections.Connection:
        """Return a new connection, for which an idle one may be closed."""
        try:
            connection = self._open(address)
        except connections.NoDescriptorsError:
            if not self._close_longest_idle():
                raise
            connection = self._open(address)
        self.opened += 1
        return connection

    def count_idle(self) -> int:
        """Return the number of idle connections."""
        return sum(map(len, self._idle_by_address.values()))

    def _open(self, address: tuple[str, int]) -> connections.Connection:
        if not self._may_open():
            raise connections.NoDescriptorsError(
                "too many connections are open"
            )
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

    def is_listening(self, address: tuple[str, int]) -> bool:
        """Return whether a new connection to an address is accepted.

        Raises:
            RefusedError: The peer's host refuses connections to the address.
        """
        try:
            connection = self._open_new(address)
        except connections.RefusedError:
            raise
        except connections.NotConnectedError:
            return False
        self._keep(connection)
        return True

    def is_reachable(self, address: tuple[str, int]) -> bool:
        """Return whether there is a connection that the next request can use.

        A new connection is opened and kept if there is no idle one.
        """
        try:
            connection = self.take(address)
        except connections.NotConnectedError:
            return False
        idle_since = connection.idle_since
        self._keep(connection)
        connection.idle_since = idle_since
        return True

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
        idle.append(connection)

    def drop(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def close_stale(self) -> None:
        """Close the connections that have been idle for too long.

        The longest idle one to a peer that announces no idle timeout stays open
        for some time, unused, to learn that timeout. To be called about once a
        second.
        """
        now = time.monotonic()
        for address, idle in list(self._idle_by_address.items()):
            kept = []
            for connection in idle:
                if self._is_fresh(connection, now):
                    if connection.is_open_and_idle():
                        kept.append(connection)
                    else:
                        self._close_ended(connection, now)
                        self.on_ended(address)
                elif not kept and self._observe(connection, now):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def _observe(self, kept: connections.Connection, now: float) -> bool:
        """Learn from an unused connection; return whether to go on."""
        if kept.idle_limit is not None:
            return False
        if not kept.is_open_and_idle():
            self._close_ended(kept, now)
            return False
        idle_seconds = now - kept.idle_since
        kept.open_until = idle_seconds
        self._idle_limits.note_open(
            kept.address, idle_seconds=idle_seconds, now=now
        )
        return idle_seconds < idle_limits.LEARNING_SECONDS

    def _close_ended(self, kept: connections.Connection, now: float) -> None:
        """Close a connection that the peer has closed, and learn from it."""
        if kept.idle_limit is None:
            self._idle_limits.note_closed(
                kept.address,
                idle_seconds=now - kept.idle_since,
                open_until=kept.open_until,
                now=now,
            )
        kept.close()

    def _is_fresh(self, kept: connections.Connection, now: float) -> bool:
        if kept.idle_limit is None:
            limit = self._idle_limits.find(kept.address)
        else:
            limit = idle_limits.find_announced_limit(kept.idle_limit)
        return now - kept.idle_since < limit
