"""Persistent connections in a process without free file descriptors."""

import descriptors
import gevent
from gevent import server as gevent_server
import pytest

from daisypick_http import connection as connections
from daisypick_http import pool as pools

_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def _serve():
    def _respond(connected, address):
        del address
        while connected.recv(1000):
            connected.sendall(_RESPONSE)

    server = gevent_server.StreamServer(("127.0.0.1", 0), _respond)
    server.start()
    return "127.0.0.1", server.server_port


def _exchange(pool, address):
    connection = pool.take(address)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", method=b"GET", timeout=1.0)
    while not connection.reader.complete:
        connection.read(1.0)
    pool.release(connection)


def test_idle_connection_is_closed_when_descriptors_run_out():
    """Guards against lost requests while idle connections hold descriptors."""
    pool = pools.Pool(connect_timeout=1.0)
    first, second = _serve(), _serve()
    _exchange(pool, first)
    with descriptors.exhaust():
        taken = pool.take(second)
    taken.close()
    assert pool.opened == 2


def test_missing_descriptors_are_distinguished_from_an_unreachable_server():
    """Guards against requests lost by blaming servers for a local fault."""
    pool = pools.Pool(connect_timeout=1.0)
    address = _serve()
    with (
        descriptors.exhaust(),
        pytest.raises(connections.NoDescriptorsError, match="Too many open"),
    ):
        pool.take(address)
    gevent.sleep(0)
    _exchange(pool, address)
