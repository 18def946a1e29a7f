"""Callers' connections in the order in which they became idle.

Callers that open a connection for each request leave them idle until the idle
timeout; at 500 a second that is more than a VM's descriptors, and then nobody
could connect any more. The longest idle ones are closed instead.

An overloaded VM accepts hundreds of connections a second while requests lie
unread on most others. So what a look costs does not depend on how many
connections there are.
"""

import collections

from daisypick_http import server as http_server

# Connections that are looked at for each new one.
_MOST_LOOKED_AT = 16


class IdleConnections:
    """Idle connections, the one that has been idle for longest first."""

    def __init__(self) -> None:
        self._connections: collections.OrderedDict[
            http_server.CallerConnection, None
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._connections)

    def note(
        self, connection: http_server.CallerConnection, idle: bool
    ) -> None:
        """Take that a connection became idle, or is idle no longer."""
        self._connections.pop(connection, None)
        if idle:
            self._connections[connection] = None

    def close_oldest(self) -> list[http_server.CallerConnection]:
        """Close some that are idle for longest; return which.

        One on which a request has begun to come stays, and comes last.
        """
        closed = []
        for _ in range(min(_MOST_LOOKED_AT, len(self._connections))):
            connection, _ = self._connections.popitem(last=False)
            connection.close_idle()
            if connection.closing:
                closed.append(connection)
            else:
                self._connections[connection] = None
        return closed
