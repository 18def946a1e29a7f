"""Backend servers that asked this router for a pause.

A server that rejects a request may say for how long it wants no further ones
from this router. It may serve other routers all the while.

Examples:
    >>> from daisypick_core.serving import backend_server
    >>> server = backend_server.BackendServer(
    ...     name="i-1", service="s", address=("10.0.0.1", 80),
    ...     data_centre="sofia", slots=2, draining=False, cold_until=0.0,
    ...     born=1,
    ... )
    >>> pauses = ServerPauses()
    >>> pauses.note(server, seconds=3.0, now=1.0, unix_ms=1000)
    >>> pauses.is_paused(server, now=3.9), pauses.is_paused(server, now=4.0)
    (True, False)

The instance that asks is the last one of its name that was born by then. While
the list of servers is late, it is not the one listed.
"""

from collections.abc import Iterable
import typing

from daisypick_core.serving import backend_server


class _Pause(typing.NamedTuple):
    """A pause of one server instance.

    Attributes:
        unix_ms: When the instance asked for it, by the time of day.
        until: When it ends, by the local clock.
    """

    unix_ms: int
    until: float


class ServerPauses:
    """Pauses by server."""

    def __init__(self) -> None:
        self._pause_by_server: dict[str, _Pause] = {}

    def __len__(self) -> int:
        """Return the number of pauses that were not forgotten yet."""
        return len(self._pause_by_server)

    def note(
        self,
        server: backend_server.BackendServer,
        *,
        seconds: float,
        now: float,
        unix_ms: int,
    ) -> None:
        """Record a pause; an earlier one that ends later stays in force."""
        until = max(now + seconds, self._find_end(server))
        self._pause_by_server[server.name] = _Pause(
            unix_ms=unix_ms, until=until
        )

    def is_paused(
        self, server: backend_server.BackendServer, now: float
    ) -> bool:
        """Return whether a server wants no request now."""
        return now < self._find_end(server)

    def find_paused(self, now: float) -> list[str]:
        """Return the names of the servers that want no request now."""
        return [
            name
            for name, pause in self._pause_by_server.items()
            if now < pause.until
        ]

    def find_wait(
        self, servers: Iterable[backend_server.BackendServer], now: float
    ) -> float:
        """Return the seconds until the first of some servers may get work."""
        return min(
            (max(self._find_end(server) - now, 0.0) for server in servers),
            default=0.0,
        )

    def _find_end(self, server: backend_server.BackendServer) -> float:
        pause = self._pause_by_server.get(server.name)
        # A restored list may hold the entry of an earlier instance.
        if pause is None or pause.unix_ms < server.born:
            return 0.0
        return pause.until

    def expire(self, now: float) -> None:
        """Forget pauses that have ended."""
        for name, pause in list(self._pause_by_server.items()):
            if now >= pause.until:
                del self._pause_by_server[name]
