"""Detection of callers that have disconnected.

A caller that waits for its response sends nothing, so its socket becomes
readable only when it closes the connection. Polling each socket once a second
costs less than a timer for every part of every response.
"""

import select
import socket

import gevent.socket

CHECK_SECONDS = 1.0


def is_disconnected(sock: gevent.socket.socket | None) -> bool:
    """Return whether the caller has closed its connection."""
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
        # Under TLS the socket may be readable because of a record without
        # application data; only a write shows a closed connection.
        return False
    return sock.recv(1, socket.MSG_PEEK) == b""
