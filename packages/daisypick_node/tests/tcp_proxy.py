"""A TCP proxy that can close connections or stop forwarding bytes."""

import gevent
from gevent import server
from gevent import socket


class TcpProxy:
    """Forwards connections to an address, with injected faults.

    ``connections_to_stall`` is the number of next ones that forward nothing.
    ``silence()`` permanently stops forwarding on the open connections, while
    new ones work; ``cut()`` closes the open ones; ``is_down`` refuses new ones.
    """

    def __init__(self, target):
        self._target = target
        self._open = []
        self._silent = set()
        self.is_down = False
        self.connections_to_stall = 0
        self.connection_count = 0
        self._server = server.StreamServer(("127.0.0.1", 0), self._accept)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _accept(self, near, _):
        if self.is_down:
            near.close()
            return
        self.connection_count += 1
        host, port = self._target.rsplit(":", 1)
        far = socket.create_connection((host, int(port)))
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (near, far)
        self._open.append(pair)
        if self.connections_to_stall:
            self.connections_to_stall -= 1
            self._silent.add(pair)
        gevent.joinall(
            [
                gevent.spawn(self._pump, pair, near, far),
                gevent.spawn(self._pump, pair, far, near),
            ]
        )

    def _pump(self, pair, source, sink):
        try:
            while data := source.recv(65536):
                if pair not in self._silent:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def silence(self):
        self._silent.update(self._open)

    def cut(self):
        for near, far in self._open:
            near.close()
            far.close()
        self._open.clear()

    def stop(self):
        self.cut()
        self._server.stop(timeout=0)
