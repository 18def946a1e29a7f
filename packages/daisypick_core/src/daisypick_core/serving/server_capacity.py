"""Bytes of requests that a backend server can hold, learned from crashes.

A server whose memory is exceeded crashes with all of its requests. How much it
can hold is unknown until then, and other routers' requests are not seen here.
After a crash with much in flight a server gets half of that; the limit grows
again while the server uses it and stays up, slowly near that amount. It applies
to a server's next process too, which has the same memory.

Examples:
    >>> capacity = ServerCapacity()
    >>> for _ in range(4):
    ...     capacity.note_sent("d-1", 500_000)
    >>> capacity.note_crash("d-1", now=1.0)
    True
    >>> for _ in range(4):
    ...     capacity.note_end("d-1", 500_000, answered=False, now=1.0)
    >>> capacity.note_sent("d-1", 900_000)
    >>> capacity.allows("d-1", 200_000)
    False
"""

# Bytes in flight below which a crash is not attributed to a server's memory.
_MUCH_BYTES = 262_144
# Requests that break together with the first one belong to the same crash.
_SAME_CRASH_SECONDS = 1.0
_CUT = 0.5
# Growth of the limit a second while it is in use, up to a share of the bytes of
# the last crash and above. A server whose memory does not change thus crashes
# again after some minutes at the earliest.
_GROWTH = 0.02
_KNOWN_SHARE = 0.75
_SLOW_GROWTH = 0.002
_IN_USE_SHARE = 0.5
# A limit above this is no longer kept.
_MAX_LIMIT = 1_073_741_824
# Servers with a limit; the one that crashed longest ago is forgotten first.
_MAX_SERVERS = 4096


class ServerCapacity:
    """Bytes in flight and limits, by server.

    A server is named by its address, which its next process has too.
    """

    def __init__(self) -> None:
        self._bytes: dict[str, int] = {}
        self._requests: dict[str, int] = {}
        self._limit: dict[str, float] = {}
        self._crashed_at: dict[str, float] = {}
        # The bytes, or the limit below them, at the last crash.
        self._grown_at: dict[str, float] = {}
        self._crash_bytes: dict[str, float] = {}

    def allows(self, server: str, size: int) -> bool:
        """Return whether a request of a size may be sent to a server.

        A server without requests gets any, or a body above its limit could
        never be sent.
        """
        limit = self._limit.get(server)
        in_flight = self._bytes.get(server, 0)
        return limit is None or not in_flight or in_flight + size <= limit

    def find_limit(self, server: str) -> float | None:
        """Return the limit of a server in bytes; ``None`` without one."""
        return self._limit.get(server)

    def note_sent(self, server: str, size: int) -> None:
        """Count a request that is sent to a server."""
        self._bytes[server] = self._bytes.get(server, 0) + size
        self._requests[server] = self._requests.get(server, 0) + 1

    def note_end(
        self, server: str, size: int, *, answered: bool, now: float
    ) -> None:
        """Record that a request is no longer at a server."""
        in_flight = self._bytes[server]
        limit = self._limit.get(server)
        if answered and limit and in_flight >= limit * _IN_USE_SHARE:
            self._grow(server, limit, now)
        self._requests[server] -= 1
        if self._requests[server]:
            self._bytes[server] = in_flight - size
        else:
            del self._bytes[server], self._requests[server]

    def _grow(self, server: str, limit: float, now: float) -> None:
        seconds = min(now - self._grown_at[server], 1.0)
        is_known = limit < self._crash_bytes[server] * _KNOWN_SHARE
        limit *= 1.0 + seconds * (_GROWTH if is_known else _SLOW_GROWTH)
        self._grown_at[server] = now
        if limit > _MAX_LIMIT:
            self._forget(server)
        else:
            self._limit[server] = limit

    def note_crash(self, server: str, now: float) -> bool:
        """Learn from a crash while its requests are still counted.

        Returns:
            Whether the crash is attributed to the server's memory rather than
            to one of its requests: several were in flight, and they were large.
            As each such crash halves the limit, a request that crashes servers
            by itself is soon at one with less in flight.
        """
        crashed_at = self._crashed_at.get(server)
        if crashed_at is not None and now - crashed_at < _SAME_CRASH_SECONDS:
            return True
        in_flight = self._bytes.get(server, 0)
        if in_flight < _MUCH_BYTES or self._requests[server] < 2:
            return False
        self._crashed_at[server] = now
        limit = min(in_flight, self._limit.pop(server, in_flight))
        self._limit[server] = limit * _CUT
        self._crash_bytes[server] = limit
        self._grown_at[server] = now
        if len(self._limit) > _MAX_SERVERS:
            self._forget(next(iter(self._limit)))
        return True

    def _forget(self, server: str) -> None:
        del self._limit[server]
        del self._crashed_at[server], self._crash_bytes[server]
        del self._grown_at[server]
