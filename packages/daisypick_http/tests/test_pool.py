"""Kept connections, in a process that has no descriptor left."""

import descriptors
import gevent
from gevent import server as gevent_server
import pytest

from daisypick_http import connection as connections
from daisypick_http import pool as pools

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def _serve():
    def _answer(connected, address):
        del address
        while connected.recv(1000):
            connected.sendall(_ANSWER)

    server = gevent_server.StreamServer(("127.0.0.1", 0), _answer)
    server.start()
    return "127.0.0.1", server.server_port


def _exchange(pool, address):
    connection = pool.take(address)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", method=b"GET", timeout=1.0)
    while not connection.reader.complete:
        connection.read(1.0)
    pool.give_back(connection)


def test_idle_connections_give_way_when_descriptors_run_out():
    """Guards against refusing work for connections that nobody uses (LOST)."""
    pool = pools.Pool(connect_timeout=1.0)
    first, second = _serve(), _serve()
    _exchange(pool, first)
    with descriptors.run_out():
        taken = pool.take(second)
    taken.close()
    assert pool.opened == 2


def test_missing_descriptors_are_told_from_a_server_that_is_down():
    """Guards against blaming servers for what this process lacks (LOST)."""
    pool = pools.Pool(connect_timeout=1.0)
    address = _serve()
    with (
        descriptors.run_out(),
        pytest.raises(connections.NoDescriptorsError, match="Too many open"),
    ):
        pool.take(address)
    gevent.sleep(0)
    _exchange(pool, address)
