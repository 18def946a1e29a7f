"""Callers' idle connections in least recently used order.

Callers that open a connection for each request leave them idle until the idle
timeout. At 500 requests a second these exceed the file descriptors of a VM,
and new callers could not connect. The connections that have been idle longest
are closed first.

An overloaded VM accepts hundreds of connections a second while most others
hold unread requests. The cost of one call is therefore bounded, regardless of
the number of connections.
"""

import collections

from daisypick_http import server as http_server

# Connections examined per call of ``close_oldest``, that is per new connection
# above the limit.
_MAX_EXAMINED = 16


class IdleConnections:
    """Idle connections, ordered from the longest idle."""

    def __init__(self) -> None:
        self._connections: collections.OrderedDict[
            http_server.CallerConnection, None
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._connections)

    def note(
        self, connection: http_server.CallerConnection, idle: bool
    ) -> None:
        """Record that a connection became idle, or is no longer idle."""
        self._connections.pop(connection, None)
        if idle:
            self._connections[connection] = None

    def close_oldest(self) -> list[http_server.CallerConnection]:
        """Close some of the longest idle connections and return them.

        A connection on which a request has begun to arrive stays open and
        moves to the end of the order.
        """
        closed = []
        for _ in range(min(_MAX_EXAMINED, len(self._connections))):
            connection, _ = self._connections.popitem(last=False)
            connection.close_idle()
            if connection.closing:
                closed.append(connection)
            else:
                self._connections[connection] = None
        return closed
