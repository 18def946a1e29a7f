"""Which idle connections are closed, and the cost of finding them."""

from daisypick_router import idle_connections


class _Connection:
    """A caller's connection with or without an unread request."""

    def __init__(self, *, unread=False):
        self.unread = unread
        self.closing = False
        self.close_attempts = 0

    def close_idle(self):
        self.close_attempts += 1
        self.closing = not self.unread


def _add(connections):
    idle = idle_connections.IdleConnections()
    for connection in connections:
        idle.note(connection, True)
    return idle


def test_longest_idle_connections_are_closed():
    connections = [_Connection() for _ in range(40)]
    idle = _add(connections)
    idle.note(connections[0], False)
    idle.note(connections[1], True)
    assert idle.close_oldest() == connections[2:18]


def test_each_connection_is_closed_once():
    connections = [_Connection() for _ in range(20)]
    idle = _add(connections)
    closed = idle.close_oldest() + idle.close_oldest() + idle.close_oldest()
    assert closed == connections


def test_cost_does_not_grow_with_connections_that_cannot_be_closed():
    """Guards against a VM fully busy with finding idle ones (FAIR)."""
    connections = [_Connection(unread=True) for _ in range(1800)]
    idle = _add(connections)
    for _ in range(100):
        assert idle.close_oldest() == []
    assert sum(connection.close_attempts for connection in connections) <= 1600


def test_connections_with_unread_requests_do_not_hide_idle_ones():
    """Guards against a lasting lack of file descriptors."""
    unread = [_Connection(unread=True) for _ in range(30)]
    free = [_Connection() for _ in range(4)]
    idle = _add(unread + free)
    closed = idle.close_oldest() + idle.close_oldest() + idle.close_oldest()
    assert closed == free
