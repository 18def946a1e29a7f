"""Which idle connections are closed, and what it costs to find them."""

from daisypick_router import idle_connections


class _Connection:
    """A caller's connection, with an unread request or without."""

    def __init__(self, *, unread=False):
        self.unread = unread
        self.closing = False
        self.looks = 0

    def close_idle(self):
        self.looks += 1
        self.closing = not self.unread


def _add(connections):
    idle = idle_connections.IdleConnections()
    for connection in connections:
        idle.note(connection, True)
    return idle


def test_longest_idle_ones_are_closed():
    connections = [_Connection() for _ in range(40)]
    idle = _add(connections)
    idle.note(connections[0], False)
    idle.note(connections[1], True)
    assert idle.close_oldest() == connections[2:18]


def test_each_is_closed_once():
    connections = [_Connection() for _ in range(20)]
    idle = _add(connections)
    closed = idle.close_oldest() + idle.close_oldest() + idle.close_oldest()
    assert closed == connections


def test_look_does_not_grow_with_connections_that_cannot_be_closed():
    """Guards against a VM that does nothing but look for idle ones (FAIR)."""
    connections = [_Connection(unread=True) for _ in range(1800)]
    idle = _add(connections)
    for _ in range(100):
        assert idle.close_oldest() == []
    assert sum(connection.looks for connection in connections) <= 1600


def test_unread_ones_do_not_hide_others():
    """Guards against descriptors that stay short behind unread requests."""
    unread = [_Connection(unread=True) for _ in range(30)]
    free = [_Connection() for _ in range(4)]
    idle = _add(unread + free)
    closed = idle.close_oldest() + idle.close_oldest() + idle.close_oldest()
    assert closed == free
