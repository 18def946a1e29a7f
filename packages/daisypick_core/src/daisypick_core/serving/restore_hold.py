"""Keeps state in force after the platform's store is restored from a backup.

A restored store has lost the writes that it acknowledged after the backup: that
a backend server drains or has left, or that a data centre is out of service.
The writers repeat them within seconds. Until then, or for ``HOLD_SECONDS``
after the first lists from the restored store, those lists do not override the
earlier state.

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
    >>> sorted(hold.filter_data_centres({"ruse"}, now=11.0))
    ['ruse', 'varna']
    >>> hold.is_over(now=12.0), hold.is_over(now=17.0)
    (False, True)
    >>> hold.end() == ([ready], {"ruse"})
    True
"""

from collections.abc import Iterable

from daisypick_core.serving import backend_server

# Operators and backend servers repeat their writes within two seconds after the
# restore; the rest covers a heartbeat and the delay of reading the lists.
HOLD_SECONDS = 6.0
# How long removed servers are remembered: the age of the oldest backup that
# still lists them.
_REMOVED_MEMORY_SECONDS = 30.0
_SERVER_LIST = "servers"
_DATA_CENTRE_LIST = "out"


class RestoreHold:
    """Servers and data centres whose closing a restored store may have lost.

    Attributes:
        is_on: Whether a hold is active.
    """

    def __init__(self) -> None:
        self.is_on = False
        self._until = 0.0
        # Lists that were not read since the restore.
        self._unread_lists: set[str] = set()
        self._removed_at_by_instance: dict[tuple[str, int], float] = {}
        self._draining_instances: set[tuple[str, int]] = set()
        self._removed_instances: set[tuple[str, int]] = set()
        self._held_data_centres: set[str] = set()
        self._withheld_by_name: dict[str, backend_server.BackendServer] = {}
        self._listed_data_centres: set[str] = set()

    def note_removed(
        self, server: backend_server.BackendServer, now: float
    ) -> None:
        """Record that a server's entry was removed."""
        self._removed_at_by_instance.pop(_make_instance_key(server), None)
        self._removed_at_by_instance[_make_instance_key(server)] = now
        for instance, removed_at in list(self._removed_at_by_instance.items()):
            if now - removed_at < _REMOVED_MEMORY_SECONDS:
                break
            del self._removed_at_by_instance[instance]

    def begin(
        self,
        servers: Iterable[backend_server.BackendServer],
        *,
        out: Iterable[str],
        now: float,
    ) -> None:
        """Hold the current state; an active hold is extended."""
        self.is_on = True
        self._until = now + HOLD_SECONDS
        self._unread_lists = {_SERVER_LIST, _DATA_CENTRE_LIST}
        self._draining_instances.update(
            _make_instance_key(server) for server in servers if server.draining
        )
        self._removed_instances.update(
            instance
            for instance, removed_at in self._removed_at_by_instance.items()
            if now - removed_at < _REMOVED_MEMORY_SECONDS
        )
        self._held_data_centres.update(out)

    def _note_read(self, kind: str, now: float) -> None:
        if kind in self._unread_lists:
            self._unread_lists.discard(kind)
            self._until = now + HOLD_SECONDS

    def filter_servers(
        self, servers: Iterable[backend_server.BackendServer], now: float
    ) -> list[backend_server.BackendServer]:
        """Return the servers of a list with the held state applied.

        Servers that were draining still drain, and removed ones are left out.
        """
        if not self.is_on:
            return list(servers)
        self._note_read(_SERVER_LIST, now)
        kept = []
        self._withheld_by_name.clear()
        for server in servers:
            instance = _make_instance_key(server)
            if instance in self._removed_instances:
                self._withheld_by_name[server.name] = server
            elif instance in self._draining_instances and not server.draining:
                self._withheld_by_name[server.name] = server
                kept.append(server._replace(draining=True))
            else:
                kept.append(server)
        return kept

    def filter_data_centres(self, out: Iterable[str], now: float) -> set[str]:
        """Return the data centres out of service by the list or the hold."""
        self._note_read(_DATA_CENTRE_LIST, now)
        self._listed_data_centres = set(out)
        return self._listed_data_centres | self._held_data_centres

    def release_server(self, name: str) -> None:
        """Stop holding a server whose entry was written after the restore."""
        self._withheld_by_name.pop(name, None)

    def note_data_centre(self, data_centre: str, *, out: bool) -> None:
        """Record a change of a data centre's state since the list."""
        if out:
            self._listed_data_centres.add(data_centre)
        else:
            self._listed_data_centres.discard(data_centre)
            self._held_data_centres.discard(data_centre)

    def is_over(self, now: float) -> bool:
        """Return whether an active hold has expired."""
        return self.is_on and not self._unread_lists and now >= self._until

    def end(
        self,
    ) -> tuple[list[backend_server.BackendServer], set[str]]:
        """End the hold and return the state of the store's lists.

        Returns:
            The servers that were held back, and the data centres that are out
            of service.
        """
        withheld = list(self._withheld_by_name.values())
        self.is_on = False
        self._draining_instances.clear()
        self._removed_instances.clear()
        self._held_data_centres.clear()
        self._withheld_by_name.clear()
        return withheld, set(self._listed_data_centres)


def _make_instance_key(server: backend_server.BackendServer) -> tuple[str, int]:
    return server.name, server.born
