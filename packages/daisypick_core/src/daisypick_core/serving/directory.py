"""The backend servers that may get work, from a list that has outages.

The platform's list forgets a backend server that is silent for a while, also
when the silence is the platform's own. So what vanished during an outage is
kept for ``RETURN_SECONDS`` after the list is back; by then a server that
lives has announced itself again. In ordinary times an entry that goes is
gone at once.

Examples:
    >>> from daisypick_core.serving import backend_server
    >>> server = backend_server.BackendServer(
    ...     name="i-1", service="s", address=("10.0.0.1", 80),
    ...     data_centre="sofia", slots=2, draining=False, cold_until=0.0,
    ...     born=1,
    ... )
    >>> directory = Directory()
    >>> directory.replace_all([server], now=0.0)
    >>> directory.note_outage(now=1.0)
    >>> directory.note_contact(now=5.0)
    >>> directory.replace_all([], now=5.0)
    >>> [known.name for known in directory.find_ready("s")]
    ['i-1']
    >>> directory.expire(now=7.3)
    ['i-1']
    >>> directory.find_ready("s")
    []
"""

from collections.abc import Iterable
import typing

from daisypick_core.serving import backend_server

# The platform says that a live server is back in its list within about two
# seconds of the platform's return; the rest is the delay of our watch.
RETURN_SECONDS = 2.2


class _Ready(typing.NamedTuple):
    """Servers of a service that may get new work, by name."""

    servers: list[backend_server.BackendServer]
    by_data_centre: dict[str, list[backend_server.BackendServer]]


class Directory:
    """Backend servers by name, and the data centres taken out."""

    def __init__(self) -> None:
        self.server_by_name: dict[str, backend_server.BackendServer] = {}
        self.data_centres_out: frozenset[str] = frozenset()
        self._back_at_by_data_centre: dict[str, float] = {}
        self._out_since: float | None = None
        self._returned_at = -RETURN_SECONDS
        self._missing_since_by_name: dict[str, float] = {}
        self._names_by_service: dict[str, set[str]] = {}
        # Looked up by every request; built anew after a change of the service.
        self._ready_by_service: dict[str, _Ready] = {}
        self._closed_by_service: dict[str, list[str]] = {}

    def set_out(self, data_centres: Iterable[str], now: float) -> None:
        """Take which data centres are out of service."""
        self._ready_by_service.clear()
        self._closed_by_service.clear()
        out = frozenset(data_centres)
        for back in self.data_centres_out - out:
            self._back_at_by_data_centre[back] = now
        self.data_centres_out = out

    def find_cold_until(
        self, server: backend_server.BackendServer, cold_seconds: float
    ) -> float:
        """Return when a server is warm.

        Servers of a data centre that was taken out may have turned cold
        meanwhile, and their entries tell so only with their next heartbeat.
        Until a start's time has passed they are taken for cold; without that
        one got 41 requests in its first second, where it bears 23.
        """
        back_at = self._back_at_by_data_centre.get(server.data_centre)
        if back_at is None:
            return server.cold_until
        return max(server.cold_until, back_at + cold_seconds)

    def note_outage(self, now: float) -> None:
        """The platform did not answer."""
        if self._out_since is None:
            self._out_since = now

    def note_contact(self, now: float) -> None:
        """The platform answered."""
        if self._out_since is not None:
            self._out_since = None
            self._returned_at = now

    def note_restored(self, now: float) -> None:
        """The platform came back from a copy; entries may be missing."""
        self._returned_at = now

    def is_settling(self, now: float) -> bool:
        """Tell whether entries may be missing for the platform's own sake."""
        if self._out_since is not None:
            return True
        return now - self._returned_at < RETURN_SECONDS

    def replace_all(
        self, servers: Iterable[backend_server.BackendServer], now: float
    ) -> None:
        """Take a whole list."""
        listed = {server.name: server for server in servers}
        for name in list(self.server_by_name):
            if name not in listed:
                self.remove(name, now)
        for server in listed.values():
            self.put(server)

    def put(self, server: backend_server.BackendServer) -> None:
        """Take a new or changed entry."""
        self._missing_since_by_name.pop(server.name, None)
        before = self.server_by_name.get(server.name)
        if before is not None and before.service != server.service:
            self._drop(server.name)
        self.server_by_name[server.name] = server
        self._names_by_service.setdefault(server.service, set()).add(
            server.name
        )
        self._note_change(server.service)

    def remove(self, name: str, now: float) -> None:
        """Take note that an entry is gone from the list."""
        if name not in self.server_by_name:
            return
        if self.is_settling(now):
            self._missing_since_by_name.setdefault(name, now)
            return
        self._missing_since_by_name.pop(name, None)
        self._drop(name)

    def expire(self, now: float) -> list[str]:
        """Drop what is still missing after the platform's return."""
        if self.is_settling(now):
            return []
        names = list(self._missing_since_by_name)
        for name in names:
            self._drop(name)
        self._missing_since_by_name.clear()
        return names

    def _drop(self, name: str) -> None:
        server = self.server_by_name.pop(name, None)
        if server is not None:
            self._names_by_service[server.service].discard(name)
            self._note_change(server.service)

    def _note_change(self, service: str) -> None:
        self._ready_by_service.pop(service, None)
        self._closed_by_service.pop(service, None)

    def find_ready(self, service: str) -> list[backend_server.BackendServer]:
        """Return the servers of a service that may get new work, by name.

        The list is not to be changed.
        """
        return self._find_ready(service).servers

    def find_ready_in(
        self, service: str, data_centre: str
    ) -> list[backend_server.BackendServer]:
        """Return those of them that are in a data centre."""
        by_data_centre = self._find_ready(service).by_data_centre
        return by_data_centre.get(data_centre, [])

    def _find_ready(self, service: str) -> _Ready:
        ready = self._ready_by_service.get(service)
        if ready is None:
            ready = _Ready(servers=[], by_data_centre={})
            for server in self._find_servers(service):
                if self.may_get_work(server):
                    ready.servers.append(server)
                    near = ready.by_data_centre.setdefault(
                        server.data_centre, []
                    )
                    near.append(server)
            self._ready_by_service[service] = ready
        return ready

    def find_closed(self, service: str) -> list[str]:
        """Return the names of the servers that must not get new work."""
        closed = self._closed_by_service.get(service)
        if closed is None:
            closed = [
                server.name
                for server in self._find_servers(service)
                if not self.may_get_work(server)
            ]
            self._closed_by_service[service] = closed
        return closed

    def _find_servers(self, service: str) -> list[backend_server.BackendServer]:
        names = sorted(self._names_by_service.get(service, ()))
        return [self.server_by_name[name] for name in names]

    def may_get_work(self, server: backend_server.BackendServer) -> bool:
        """Tell whether a server stays and its data centre is in service."""
        return (
            not server.draining
            and server.data_centre not in self.data_centres_out
        )
