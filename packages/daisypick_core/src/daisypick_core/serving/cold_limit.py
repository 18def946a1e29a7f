"""Limits the rate at which one router sends to cold backend servers.

``cold_quotas`` computes the router's quota of the server's rate; this module
enforces it. Requests sent while the server was warm count too, because a
server can turn cold at any moment.

The window is slightly longer than a second, because a request sent in one
second may arrive in the next, together with the requests of that second.

Examples:
    >>> from daisypick_core.serving import cold_quotas
    >>> quotas = cold_quotas.ColdQuotas()
    >>> quotas.set_routers([f"r-{number}" for number in range(5)])
    >>> limit = ColdLimit(router="r-0", quotas=quotas)
    >>> [limit.take("i-1", rate=23.0, now=0.01 * n) for n in range(6)]
    [True, True, True, True, True, False]
    >>> limit.take("i-1", rate=23.0, now=1.2)
    True
"""

from daisypick_core.serving import cold_quotas
from daisypick_core.serving import sliding_window

# One second plus the jitter of links between data centres.
_WINDOW_SECONDS = 1.1


class ColdLimit:
    """Rate limit for the requests of one router, per server."""

    def __init__(self, *, router: str, quotas: cold_quotas.ColdQuotas) -> None:
        self._router = router
        self._quotas = quotas
        self._window_by_server: dict[str, sliding_window.SlidingWindow] = {}

    def allows(self, server: str, rate: float, now: float) -> bool:
        """Return whether one more request may be sent now."""
        return self.find_quota(server, rate) > self.count(server, now)

    def count(self, server: str, now: float) -> int:
        """Return the number of requests sent within the window."""
        window = self._window_by_server.get(server)
        return 0 if window is None else window.count(now)

    def find_quota(self, server: str, rate: float) -> int:
        """Return the requests that the router may send within the window."""
        return self._quotas.find_quota(self._router, server, rate=rate)

    def take(self, server: str, rate: float, now: float) -> bool:
        """Count a request and return ``True``, or ``False`` at the limit."""
        if not self.allows(server, rate, now):
            return False
        self.note(server, now)
        return True

    def note(self, server: str, now: float) -> None:
        """Count a request that was sent to a cold or a warm server."""
        window = self._window_by_server.get(server)
        if window is None:
            window = sliding_window.SlidingWindow(seconds=_WINDOW_SECONDS)
            self._window_by_server[server] = window
        window.add(now)
        window.count(now)

    def __len__(self) -> int:
        """Return the number of servers with a window."""
        return len(self._window_by_server)

    def expire(self, now: float) -> None:
        """Drop servers to which nothing was sent within the window.

        Without it memory grows with every server that a router ever used.
        """
        for server, window in list(self._window_by_server.items()):
            if not window.count(now):
                del self._window_by_server[server]
