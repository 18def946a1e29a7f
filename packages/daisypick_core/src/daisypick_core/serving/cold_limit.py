"""How much a cold backend server gets from one router.

``cold_parts`` says which part of the server's rate the router has; here it is
kept to it. What was sent while the server was warm counts too: a server can
turn cold at any moment.

The window is somewhat longer than a second, because a request that is sent
in one second may arrive in the next, together with that second's own.

Examples:
    >>> from daisypick_core.serving import cold_parts
    >>> parts = cold_parts.ColdParts()
    >>> parts.set_routers([f"r-{number}" for number in range(5)])
    >>> limit = ColdLimit(router="r-0", parts=parts)
    >>> [limit.take("i-1", rate=23.0, now=0.01 * n) for n in range(6)]
    [True, True, True, True, True, False]
    >>> limit.take("i-1", rate=23.0, now=1.2)
    True
"""

from daisypick_core.serving import cold_parts
from daisypick_core.serving import send_window

# A second, and the spread of arrivals seen on links between data centres.
_WINDOW_SECONDS = 1.1


class ColdLimit:
    """Sends of a router to cold servers, by server."""

    def __init__(self, *, router: str, parts: cold_parts.ColdParts) -> None:
        self._router = router
        self._parts = parts
        self._window_by_server: dict[str, send_window.SendWindow] = {}

    def allows(self, server: str, rate: float, now: float) -> bool:
        """Tell whether one more request may be sent now."""
        part = self._parts.find_part(self._router, server, rate=rate)
        window = self._window_by_server.get(server)
        return part > (0 if window is None else window.count(now))

    def take(self, server: str, rate: float, now: float) -> bool:
        """Count a request and return ``True``, or refuse it."""
        if not self.allows(server, rate, now):
            return False
        self.note(server, now)
        return True

    def note(self, server: str, now: float) -> None:
        """Count a request that is sent, whether the server is cold or not."""
        window = self._window_by_server.get(server)
        if window is None:
            window = send_window.SendWindow(seconds=_WINDOW_SECONDS)
            self._window_by_server[server] = window
        window.add(now)
        window.count(now)

    def __len__(self) -> int:
        """Return for how many servers something is remembered."""
        return len(self._window_by_server)

    def expire(self, now: float) -> None:
        """Drop servers to which nothing was sent within the window.

        Kept for good, each router and each server that it ever used would
        stay in the memory of a host.
        """
        for server, window in list(self._window_by_server.items()):
            if not window.count(now):
                del self._window_by_server[server]
