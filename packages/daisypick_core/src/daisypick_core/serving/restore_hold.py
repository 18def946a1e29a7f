"""What stays in force after the platform's store came back from a copy.

Such a store has forgotten what it acknowledged since the copy: that a backend
server drains or has left, that a data centre was taken out. Whoever wrote it
writes it again within seconds. Until then, or for ``HOLD_SECONDS`` after the
first lists from the restored store, these do not undo what was believed before.

Examples:
    >>> from daisypick_core.serving import backend_server
    >>> ready = backend_server.BackendServer(
    ...     name="i-1", service="s", address=("10.0.0.1", 80),
    ...     data_centre="sofia", slots=2, draining=False, cold_until=0.0,
    ...     born=1,
    ... )
    >>> hold = RestoreHold()
    >>> hold.begin([ready._replace(draining=True)], out={"varna"}, now=10.0)
    >>> [server.draining for server in hold.filter_servers([ready], now=11.0)]
    [True]
    >>> sorted(hold.filter_out({"ruse"}, now=11.0))
    ['ruse', 'varna']
    >>> hold.is_over(now=12.0), hold.is_over(now=17.0)
    (False, True)
    >>> hold.end() == ([ready], {"ruse"})
    True
"""

from collections.abc import Iterable

from daisypick_core.serving import backend_server

# Operators and backend servers write again within two seconds of the store's
# return; the rest is the time of a heartbeat and of our reading.
HOLD_SECONDS = 6.0
# How long the names of servers that left are kept: the age of the oldest copy
# that names them still.
_LEFT_SECONDS = 30.0
_SERVERS = "servers"
_OUT = "out"


class RestoreHold:
    """Closed servers and data centres that a restored store has forgotten.

    Attributes:
        is_on: Whether something may be held back.
    """

    def __init__(self) -> None:
        self.is_on = False
        self._until = 0.0
        # Lists that were not read since the store's return.
        self._unread: set[str] = set()
        self._left_at_by_start: dict[tuple[str, int], float] = {}
        self._closed_starts: set[tuple[str, int]] = set()
        self._gone_starts: set[tuple[str, int]] = set()
        self._held_out: set[str] = set()
        self._listed_by_name: dict[str, backend_server.BackendServer] = {}
        self._listed_out: set[str] = set()

    def note_left(
        self, server: backend_server.BackendServer, now: float
    ) -> None:
        """Take that a server's entry was removed."""
        self._left_at_by_start.pop(_find_start(server), None)
        self._left_at_by_start[_find_start(server)] = now
        for start, at in list(self._left_at_by_start.items()):
            if now - at < _LEFT_SECONDS:
                break
            del self._left_at_by_start[start]

    def begin(
        self,
        servers: Iterable[backend_server.BackendServer],
        *,
        out: Iterable[str],
        now: float,
    ) -> None:
        """Hold what is believed now; a hold that is on goes on from here."""
        self.is_on = True
        self._until = now + HOLD_SECONDS
        self._unread = {_SERVERS, _OUT}
        self._closed_starts.update(
            _find_start(server) for server in servers if server.draining
        )
        self._gone_starts.update(
            start
            for start, at in self._left_at_by_start.items()
            if now - at < _LEFT_SECONDS
        )
        self._held_out.update(out)

    def _note_read(self, kind: str, now: float) -> None:
        if kind in self._unread:
            self._unread.discard(kind)
            self._until = now + HOLD_SECONDS

    def filter_servers(
        self, servers: Iterable[backend_server.BackendServer], now: float
    ) -> list[backend_server.BackendServer]:
        """Return the servers of a list, those that were closed still so."""
        if not self.is_on:
            return list(servers)
        self._note_read(_SERVERS, now)
        kept = []
        self._listed_by_name.clear()
        for server in servers:
            start = _find_start(server)
            if start in self._gone_starts:
                self._listed_by_name[server.name] = server
            elif start in self._closed_starts and not server.draining:
                self._listed_by_name[server.name] = server
                kept.append(server._replace(draining=True))
            else:
                kept.append(server)
        return kept

    def filter_out(self, out: Iterable[str], now: float) -> set[str]:
        """Return the data centres that are out by a list or were before."""
        self._note_read(_OUT, now)
        self._listed_out = set(out)
        return self._listed_out | self._held_out

    def release_server(self, name: str) -> None:
        """Take that an entry was written after the store's return."""
        self._listed_by_name.pop(name, None)

    def note_out(self, data_centre: str, *, out: bool) -> None:
        """Take that a data centre was taken out or back since the list."""
        if out:
            self._listed_out.add(data_centre)
        else:
            self._listed_out.discard(data_centre)
            self._held_out.discard(data_centre)

    def is_over(self, now: float) -> bool:
        """Tell whether a hold is to be ended."""
        return self.is_on and not self._unread and now >= self._until

    def end(
        self,
    ) -> tuple[list[backend_server.BackendServer], set[str]]:
        """End the hold; return what the store's lists said all the while.

        Returns:
            The servers that were held back, and the data centres out.
        """
        held = list(self._listed_by_name.values())
        self.is_on = False
        self._closed_starts.clear()
        self._gone_starts.clear()
        self._held_out.clear()
        self._listed_by_name.clear()
        return held, set(self._listed_out)


def _find_start(server: backend_server.BackendServer) -> tuple[str, int]:
    return server.name, server.born
