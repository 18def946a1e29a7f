"""Whether a caller is still there.

A caller that waits for its answer sends nothing, so its socket becomes
readable only when it closes the connection. Looking at each socket once a
second costs less than a timer for every part of every answer.
"""

import select
import socket

import gevent.socket

CHECK_SECONDS = 1.0


def is_gone(sock: gevent.socket.socket | None) -> bool:
    """Tell whether the caller has closed its connection."""
    if sock is None:
        return False
    poller = select.poll()
    try:
        poller.register(sock.fileno(), select.POLLIN)
        return bool(poller.poll(0)) and _is_closed(sock)
    except (OSError, ValueError):
        return True


def _is_closed(sock: gevent.socket.socket) -> bool:
    if hasattr(sock, "pending"):
        # Under TLS the bytes that make the socket readable may be a record
        # without data; only a write tells.
        return False
    return sock.recv(1, socket.MSG_PEEK) == b""
