"""Callers' connections."""

import signal
import time

import fresh_loop
import gevent
from gevent import server as gevent_server
from gevent import socket

from daisypick_http import server

# More than the event loop takes from the kernel per iteration.
_CALLERS = 150


def _respond(connection, request):
    del request
    connection.send_whole(status=200, headers=(), body=b"")


class _Listener:
    """A listener that records its connections and dropped requests."""

    def __init__(self):
        self.connections = []
        self.dropped = []
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._serve, backlog=512
        )
        self._server.start()
        self.address = ("127.0.0.1", self._server.server_port)

    def _serve(self, connected, address):
        del address
        connection = server.CallerConnection(
            socket=connected,
            handle=_respond,
            limits=lambda: server.Limits(header_timeout=1.0),
            on_drop=lambda request, reason: self.dropped.append(reason),
        )
        self.connections.append(connection)
        connection.run()


@fresh_loop.run
def test_request_received_in_time_but_read_late_is_not_rejected_as_slow():
    """Guards against status 408 for requests that a delayed loop reads late."""
    listener = _Listener()
    callers = []
    for _ in range(_CALLERS):
        callers.append(socket.create_connection(listener.address))
        callers[-1].sendall(b"GET / HTTP/1.1\r\n")
        gevent.sleep(0)
    while any(known.is_idle for known in listener.connections) or (
        len(listener.connections) < _CALLERS
    ):
        gevent.sleep(0.005)
    for caller in callers:
        caller.sendall(b"Host: plots.example\r\n\r\n")
    time.sleep(1.3)
    responses = [caller.recv(12) for caller in callers]
    assert responses == [b"HTTP/1.1 200"] * _CALLERS


def test_request_received_too_slowly_is_rejected():
    """Guards against connections held open by an incomplete request."""
    caller = socket.create_connection(_Listener().address)
    caller.sendall(b"GET / HTTP/1.1\r\n")
    assert caller.recv(12) == b"HTTP/1.1 408"


def test_request_that_arrives_after_our_close_is_reported_as_dropped():
    """Guards against lost requests that leave no trace in the log."""
    listener = _Listener()
    caller = socket.create_connection(listener.address)
    while not listener.connections:
        gevent.sleep(0.005)
    listener.connections[0].close_idle()
    caller.sendall(b"GET / HTTP/1.1\r\nHost: plots.example\r\n\r\n")
    assert caller.recv(1) == b""
    caller.close()
    while not listener.dropped:
        gevent.sleep(0.005)
    assert listener.dropped == ["arrived after our side was closed"]


def test_caller_that_leaves_as_its_request_ends_raises_no_error():
    """Guards against an error for a handler that ended a moment before."""
    ended = []

    def _serve(connected, address):
        del address
        connection = server.CallerConnection(
            socket=connected,
            handle=lambda connection, request: gevent.sleep(0.12),
            limits=server.Limits,
        )
        try:
            connection.run()
        except Exception as error:
            ended.append(error)
            raise
        ended.append(None)

    listener = gevent_server.StreamServer(("127.0.0.1", 0), _serve)
    listener.start()
    caller = socket.create_connection(("127.0.0.1", listener.server_port))
    caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\nno request\r\n\r\n")
    gevent.sleep(0.16)
    caller.close()
    while not ended:
        gevent.sleep(0.01)
    assert ended == [None]


def test_connection_dropped_before_its_handler_starts_ends():
    """Guards against a process that waits in a loop for such a handler."""
    connections = []

    def _serve(connected, address):
        del address
        connection = server.CallerConnection(
            socket=connected,
            handle=_respond,
            limits=server.Limits,
            begin=lambda handler, request: connection.drop(
                "memory", keep_handler=False
            ),
        )
        connection.run()
        connections.append(connection)

    def _raise(number, frame):
        raise TimeoutError("the event loop is busy")

    listener = gevent_server.StreamServer(("127.0.0.1", 0), _serve)
    listener.start()
    before = signal.signal(signal.SIGALRM, _raise)
    signal.alarm(5)
    try:
        caller = socket.create_connection(("127.0.0.1", listener.server_port))
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert caller.recv(100) == b""
        while not connections:
            gevent.sleep(0.01)
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, before)
