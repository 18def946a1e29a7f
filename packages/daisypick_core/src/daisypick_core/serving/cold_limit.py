"""How much a cold backend server gets from this router.

A cold server fails under more than ``cold_rate`` requests a second, whoever
sends them. Routers can be cut off from each other and from the platform, so
each keeps to its own part of the rate, whatever else it hears: the sum over
all routers then stays within what the server bears without any agreement.

With more routers than the rate allows a second, each may send one request in
as many seconds as its turn takes.

The window is somewhat longer than a second, because a request that is sent
in one second may arrive in the next, together with that second's own.

Examples:
    >>> limit = ColdLimit()
    >>> limit.set_fleet(routers=5)
    >>> [limit.take("i-1", rate=23.0, now=0.01 * n) for n in range(6)]
    [True, True, True, True, False, False]
    >>> limit.take("i-1", rate=23.0, now=1.2)
    True
"""

from daisypick_core.serving import send_window

# A second, and the spread of arrivals seen on links between data centres.
_WINDOW_SECONDS = 1.1


class ColdLimit:
    """Sends to cold servers, by server."""

    def __init__(self) -> None:
        self._routers = 1
        self._window_by_server: dict[str, send_window.SendWindow] = {}

    def set_fleet(self, *, routers: int) -> None:
        """Take the number of routers that share the rate."""
        self._routers = max(routers, 1)

    def allows(self, server: str, rate: float, now: float) -> bool:
        """Tell whether one more request may be sent now."""
        window = self._window_by_server.get(server)
        if window is None:
            return True
        part = rate / self._routers
        if part < 1.0:
            return now - window.last >= _WINDOW_SECONDS / part
        return window.count(now) < int(part)

    def take(self, server: str, rate: float, now: float) -> bool:
        """Count a request and return ``True``, or refuse it."""
        if not self.allows(server, rate, now):
            return False
        self.note(server, now)
        return True

    def note(self, server: str, now: float) -> None:
        """Count a request that is sent, whether the server is cold or not.

        A server can turn cold at any moment; what it got in the second
        before counts then.
        """
        window = self._window_by_server.get(server)
        if window is None:
            window = send_window.SendWindow(seconds=_WINDOW_SECONDS)
            self._window_by_server[server] = window
        window.add(now)
        window.count(now)

    def forget(self, server: str) -> None:
        """Drop a server that is gone."""
        self._window_by_server.pop(server, None)
