"""Connections to other processes, in a process with a delayed event loop."""

import time

import fresh_loop
import gevent
from gevent import event
from gevent import server as gevent_server
from gevent import socket
import pytest

from daisypick_http import connection as connections

# More than the event loop takes from the kernel per iteration.
_CONNECTIONS = 150


def _hold_loop(seconds):
    time.sleep(seconds)


class _Peer:
    """A server that keeps the sockets of its connections."""

    def __init__(self):
        self.accepted = []
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._keep, backlog=512
        )
        self._server.start()
        self.address = ("127.0.0.1", self._server.server_port)

    def _keep(self, connected, address):
        del address
        self.accepted.append(connected)
        event.Event().wait()


def _open(address, timeout=1.0):
    return connections.Connection(address=address, connect_timeout=timeout)


@fresh_loop.run
def test_responses_received_in_time_are_read_after_the_timer_has_run():
    """Guards against requests lost by a late loop that gives up servers."""
    peer = _Peer()
    opened = []
    for _ in range(_CONNECTIONS):
        opened.append(_open(peer.address))
        opened[-1].send(b"GET / HTTP/1.1\r\n\r\n", method=b"GET", timeout=1.0)
        gevent.sleep(0)
    while len(peer.accepted) < _CONNECTIONS:
        gevent.sleep(0.005)
    reading = [gevent.spawn(connection.read, 1.0) for connection in opened]
    gevent.sleep(0.02)
    for connected in peer.accepted:
        connected.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    time.sleep(1.3)
    gevent.joinall(reading)
    assert [greenlet.exception for greenlet in reading] == (
        [None] * _CONNECTIONS
    )
    assert all(connection.reader.complete for connection in opened)


def test_server_that_sends_nothing_times_out():
    """Guards against waiting longer than the timeout for a server."""
    connection = _open(_Peer().address)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", method=b"GET", timeout=1.0)
    with pytest.raises(connections.AnswerTimeoutError):
        connection.read(0.02)


@fresh_loop.run
def test_connections_established_in_time_are_used_after_the_timer_has_run():
    """Guards against requests lost because reachable servers seem down."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(512)
    address = listener.getsockname()
    connecting = [
        gevent.spawn(_open, address, 0.1) for _ in range(_CONNECTIONS)
    ]
    gevent.spawn(time.sleep, 0.3)
    gevent.joinall(connecting)
    assert [greenlet.exception for greenlet in connecting] == (
        [None] * _CONNECTIONS
    )


def test_connecting_to_a_server_that_does_not_accept_times_out():
    """Guards against waiting on for a connection that is not established."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    with pytest.raises(connections.NotConnectedError):
        for _ in range(3):
            _open(listener.getsockname(), 0.05)
