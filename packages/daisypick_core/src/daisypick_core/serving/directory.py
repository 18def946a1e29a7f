"""The backend servers that may receive requests, from an unreliable list.

The platform's list drops a backend server whose heartbeats stop, also when an
outage of the platform itself prevents them. Entries that disappear during an
outage are therefore kept for ``REREGISTRATION_SECONDS`` after the list is
available again; by then a live server has registered again. Outside of outages
an entry that disappears is dropped at once.

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

# The platform documents that a live server is listed again within about two
# seconds after an outage; the rest is the delay of the watch.
REREGISTRATION_SECONDS = 2.2
# How long the announcement of a server that is no longer listed is kept. It may
# be listed again after an outage of the platform, and still leaves then.
_LEAVING_SECONDS = 600.0


class _Announcement(typing.NamedTuple):
    """A server's own statement that it leaves.

    Attributes:
        unix_ms: When it was last made, by the time of day.
        noted_at: When it was last made, by the local clock.
    """

    unix_ms: int
    noted_at: float


class _Ready(typing.NamedTuple):
    """Servers of a service that may receive requests, sorted by name."""

    servers: list[backend_server.BackendServer]
    by_data_centre: dict[str, list[backend_server.BackendServer]]


class Directory:
    """Backend servers by name, and the data centres out of service.

    Attributes:
        server_by_name: All known servers.
        data_centres_out: Data centres that are out of service.
    """

    def __init__(self) -> None:
        self.server_by_name: dict[str, backend_server.BackendServer] = {}
        self.data_centres_out: frozenset[str] = frozenset()
        self._enabled_at_by_data_centre: dict[str, float] = {}
        self._outage_since: float | None = None
        self._recovered_at = -REREGISTRATION_SECONDS
        self._missing_since_by_name: dict[str, float] = {}
        self._leaving_by_name: dict[str, _Announcement] = {}
        self._names_by_service: dict[str, set[str]] = {}
        # Caches that every request reads; a change of the service clears them.
        self._ready_by_service: dict[str, _Ready] = {}
        self._unavailable_by_service: dict[str, list[str]] = {}
        self._versions_by_service: dict[str, frozenset[str]] = {}

    def set_data_centres_out(
        self, data_centres: Iterable[str], now: float
    ) -> None:
        """Set the data centres that are out of service."""
        self._ready_by_service.clear()
        self._unavailable_by_service.clear()
        out = frozenset(data_centres)
        for data_centre in self.data_centres_out - out:
            self._enabled_at_by_data_centre[data_centre] = now
        self.data_centres_out = out

    def find_cold_until(
        self, server: backend_server.BackendServer, cold_seconds: float
    ) -> float:
        """Return the time at which a server is warm.

        Servers of a data centre that was out of service may have turned cold
        meanwhile, and their entries show it only after the next heartbeat.
        They are treated as cold for the duration of a cold start; without
        that a server received 41 requests in its first second, while a cold
        one can handle 23.
        """
        enabled_at = self._enabled_at_by_data_centre.get(server.data_centre)
        if enabled_at is None:
            return server.cold_until
        return max(server.cold_until, enabled_at + cold_seconds)

    def note_outage(self, now: float) -> None:
        """Record that the platform did not respond."""
        if self._outage_since is None:
            self._outage_since = now

    def note_contact(self, now: float) -> None:
        """Record that the platform responded."""
        if self._outage_since is not None:
            self._outage_since = None
            self._recovered_at = now

    def note_restored(self, now: float) -> None:
        """Record a restore of the platform's store; entries may be missing."""
        self._recovered_at = now

    def may_miss_entries(self, now: float) -> bool:
        """Return whether a platform outage may have removed entries."""
        if self._outage_since is not None:
            return True
        return now - self._recovered_at < REREGISTRATION_SECONDS

    def replace_all(
        self, servers: Iterable[backend_server.BackendServer], now: float
    ) -> None:
        """Replace all entries by those of a complete list."""
        listed = {server.name: server for server in servers}
        for name in list(self.server_by_name):
            if name not in listed:
                self.remove(name, now)
        for server in listed.values():
            self.put(server)

    def put(self, server: backend_server.BackendServer) -> None:
        """Add or update an entry."""
        self._missing_since_by_name.pop(server.name, None)
        announcement = self._leaving_by_name.get(server.name)
        if announcement is not None and announcement.unix_ms < server.born:
            del self._leaving_by_name[server.name]
        before = self.server_by_name.get(server.name)
        if before is not None and before.service != server.service:
            self._drop(server.name)
        self.server_by_name[server.name] = server
        self._names_by_service.setdefault(server.service, set()).add(
            server.name
        )
        self._note_change(server.service)

    def remove(self, name: str, now: float) -> None:
        """Remove an entry, with a delay around a platform outage."""
        if name not in self.server_by_name:
            return
        if self.may_miss_entries(now):
            self._missing_since_by_name.setdefault(name, now)
            return
        self._missing_since_by_name.pop(name, None)
        self._drop(name)

    def note_leaving(
        self, server: backend_server.BackendServer, now: float, *, unix_ms: int
    ) -> bool:
        """Record that a server says that it leaves; return whether it is new.

        That holds for this instance whatever its entry says, since the server
        may not reach the platform to change it. The instance that says so is
        the last one of that name that was born by then; while the list is
        late, it is not the one listed.

        Args:
            server: The server as it is listed.
            now: The time of the local clock.
            unix_ms: The time of day, which instances tell as their birth.
        """
        is_new = not self.is_leaving(server)
        self._leaving_by_name[server.name] = _Announcement(
            unix_ms=unix_ms, noted_at=now
        )
        if is_new:
            self._note_change(server.service)
        return is_new

    def is_leaving(self, server: backend_server.BackendServer) -> bool:
        """Return whether a server is listed as draining or says it leaves.

        A restored list may hold the entry of an earlier instance of the name,
        which does not show that the later one has ended.
        """
        announcement = self._leaving_by_name.get(server.name)
        return server.draining or (
            announcement is not None and announcement.unix_ms >= server.born
        )

    def _expire_announcements(self, now: float) -> None:
        for name, announcement in list(self._leaving_by_name.items()):
            if name in self.server_by_name:
                continue
            if now - announcement.noted_at >= _LEAVING_SECONDS:
                del self._leaving_by_name[name]

    def expire(self, now: float) -> list[str]:
        """Drop entries still missing after an outage; return their names."""
        self._expire_announcements(now)
        if self.may_miss_entries(now):
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
        self._unavailable_by_service.pop(service, None)
        self._versions_by_service.pop(service, None)

    def find_ready(self, service: str) -> list[backend_server.BackendServer]:
        """Return the servers of a service that may receive requests.

        The list is sorted by name; callers must not modify it.
        """
        return self._find_ready(service).servers

    def find_ready_in(
        self, service: str, data_centre: str
    ) -> list[backend_server.BackendServer]:
        """Return those servers of ``find_ready`` in one data centre."""
        by_data_centre = self._find_ready(service).by_data_centre
        return by_data_centre.get(data_centre, [])

    def _find_ready(self, service: str) -> _Ready:
        ready = self._ready_by_service.get(service)
        if ready is None:
            ready = _Ready(servers=[], by_data_centre={})
            for server in self._find_servers(service):
                if self.is_available(server):
                    ready.servers.append(server)
                    local = ready.by_data_centre.setdefault(
                        server.data_centre, []
                    )
                    local.append(server)
            self._ready_by_service[service] = ready
        return ready

    def find_versions(self, service: str) -> list[str]:
        """Return the version of each available server of a service."""
        return [server.version for server in self.find_ready(service)]

    def find_listed_versions(self, service: str) -> frozenset[str]:
        """Return the versions of all servers of a service, also draining."""
        versions = self._versions_by_service.get(service)
        if versions is None:
            versions = frozenset(
                server.version for server in self._find_servers(service)
            )
            self._versions_by_service[service] = versions
        return versions

    def find_unavailable(self, service: str) -> list[str]:
        """Return the names of the servers that must not get new requests."""
        names = self._unavailable_by_service.get(service)
        if names is None:
            names = [
                server.name
                for server in self._find_servers(service)
                if not self.is_available(server)
            ]
            self._unavailable_by_service[service] = names
        return names

    def _find_servers(self, service: str) -> list[backend_server.BackendServer]:
        names = sorted(self._names_by_service.get(service, ()))
        return [self.server_by_name[name] for name in names]

    def is_available(self, server: backend_server.BackendServer) -> bool:
        """Return whether a server and its data centre are in service."""
        return (
            not self.is_leaving(server)
            and server.data_centre not in self.data_centres_out
        )
