"""Copies of what the platform's store holds: configuration and servers.

Each copy stands while the store is away. A configuration never goes back: a
list read from a store that lags is older than what we have, and is passed
over.
"""

from collections.abc import Callable
from collections.abc import Collection
import random
import time

import gevent

from daisypick_core.results import failure
from daisypick_core.serving import backend_server
from daisypick_core.serving import directory as directories
from daisypick_core.serving import fleet_configuration
from daisypick_core.serving import restore_hold
from daisypick_platform import entries
from daisypick_platform import manifest
from daisypick_platform import store as stores
from daisypick_platform import watch
from daisypick_router import log as logs

_EXPIRE_SECONDS = 0.2
# Changes of entries that came together and are each logged by itself.
_LOGGED_CHANGES = 16


class Discovery:
    """The newest configuration and the servers that may get work.

    ``on_servers(names)`` is called with the servers that have changed, or
    ``None`` if any may have.
    """

    def __init__(
        self,
        *,
        store: stores.StoreClient,
        log: logs.Log,
        rng: random.Random,
        on_servers: Callable[[Collection[str] | None], None],
        feed: watch.Feed | None = None,
    ) -> None:
        self._store = store
        self._log = log
        self._rng = rng
        self._on_servers = on_servers
        self._feed = feed
        self._outage = watch.Outage()
        self.configuration: fleet_configuration.FleetConfiguration | None = None
        self.directory = directories.Directory()
        self._hold = restore_hold.RestoreHold()
        store.eras.on_rise(self._begin_hold)
        self.has_servers = False
        self._away = False
        self._unreadable: set[str] = set()

    def start(self) -> None:
        """Begin to follow the store."""
        self._follow(
            manifest.KIND, self._take_configurations, self._take_configurations
        )
        self._follow(entries.KIND, self._take_servers, self._change_servers)
        self._follow(entries.OUT_KIND, self._take_out_list, self._change_out)
        gevent.spawn(self._expire_missing)

    def _follow(
        self,
        kind: str,
        on_list: Callable[[tuple[stores.StoredObject, ...]], None],
        on_changes: Callable[[tuple[stores.StoredObject, ...]], None],
    ) -> None:
        watcher = watch.Watcher(
            store=self._store,
            kind=kind,
            on_list=on_list,
            on_changes=on_changes,
            on_contact=self._note_contact,
            outage=self._outage,
            rng=self._rng,
            feed=self._feed,
        )
        gevent.spawn(watcher.run)

    def _note_contact(self, trouble: failure.Failure | None) -> None:
        now = time.monotonic()
        if trouble is None:
            self.directory.note_contact(now)
            if self._away:
                self._away = False
                self._log.write("store", "The store answers again.")
            return
        self.directory.note_outage(now)
        if not self._away:
            self._away = True
            self._log.write(
                "store", "The store does not answer.", reason=trouble.reason
            )

    def _take_configurations(
        self, objects: tuple[stores.StoredObject, ...]
    ) -> None:
        for stored in objects:
            self._take_configuration(stored)

    def _take_configuration(self, stored: stores.StoredObject) -> None:
        if stored.name != manifest.NAME or stored.deleted:
            return
        decoded = manifest.decode(stored.spec)
        if failure.is_failure(decoded):
            self._log.write(
                "configuration",
                "A configuration is unreadable; the last one stands.",
                reason=decoded.reason,
            )
            return
        held = self.configuration
        if held is not None and decoded.version <= held.version:
            return
        self.configuration = decoded
        self._log.write(
            "configuration",
            "A new configuration is in force.",
            version=decoded.version,
            routes=len(decoded.routes),
            tokens_per_second=decoded.limits.tokens_per_second,
        )
        same = held and held.service_by_name == decoded.service_by_name
        self._on_servers(() if same else None)

    def _take_servers(self, objects: tuple[stores.StoredObject, ...]) -> None:
        now = time.monotonic()
        servers = [self._read_server(stored, now) for stored in objects]
        self.directory.replace_all(
            self._hold.filter_servers(
                (server for server in servers if server is not None), now
            ),
            now,
        )
        self.has_servers = True
        self._log.write(
            "servers",
            "Read the list of backend servers.",
            listed=len(objects),
            known=len(self.directory.server_by_name),
        )
        self._on_servers(None)

    def _read_server(
        self, stored: stores.StoredObject, now: float
    ) -> backend_server.BackendServer | None:
        decoded = entries.decode(stored.name, stored.spec, now)
        if not failure.is_failure(decoded):
            return decoded
        if stored.name not in self._unreadable:
            self._unreadable.add(stored.name)
            self._log.write(
                "servers", "Passed over an entry.", reason=decoded.reason
            )
        return None

    def _change_servers(self, objects: tuple[stores.StoredObject, ...]) -> None:
        now = time.monotonic()
        for stored in objects:
            self._change_server(
                stored, now, log=len(objects) <= _LOGGED_CHANGES
            )
        if len(objects) > _LOGGED_CHANGES:
            self._log.write(
                "servers",
                "Many entries changed.",
                changed=len(objects),
                known=len(self.directory.server_by_name),
            )
        self._on_servers([stored.name for stored in objects])

    def _change_server(
        self, stored: stores.StoredObject, now: float, *, log: bool
    ) -> None:
        server = None
        self._hold.release_server(stored.name)
        if not stored.deleted:
            server = self._read_server(stored, now)
        if server is None:
            self._note_left(stored.name, now)
            self.directory.remove(stored.name, now)
        else:
            self.directory.put(server)
        if log:
            self._log_change(stored.name, server, now)

    def _note_left(self, name: str, now: float) -> None:
        left = self.directory.server_by_name.get(name)
        if left is not None:
            self._hold.note_left(left, now)

    def _log_change(
        self, name: str, server: backend_server.BackendServer | None, now: float
    ) -> None:
        if server is None:
            self._log.write("servers", "An entry is gone.", server=name)
            return
        self._log.write(
            "servers",
            "An entry changed.",
            server=server.name,
            draining=server.draining,
            cold_seconds=round(max(server.cold_until - now, 0.0), 3),
            born=server.born,
        )

    def _take_out_list(self, objects: tuple[stores.StoredObject, ...]) -> None:
        out = {stored.name for stored in objects if not stored.deleted}
        now = time.monotonic()
        self.directory.set_out(self._hold.filter_out(out, now), now)
        self._on_servers(None)

    def _change_out(self, objects: tuple[stores.StoredObject, ...]) -> None:
        for stored in objects:
            self._take_out(stored)
        self._on_servers(None)

    def _take_out(self, stored: stores.StoredObject) -> None:
        self._hold.note_out(stored.name, out=not stored.deleted)
        out = set(self.directory.data_centres_out)
        if stored.deleted:
            out.discard(stored.name)
        else:
            out.add(stored.name)
        self.directory.set_out(out, time.monotonic())
        self._log.write(
            "servers",
            "A data centre is taken out or back.",
            data_centre=stored.name,
            out=not stored.deleted,
        )

    def _expire_missing(self) -> None:
        while True:
            gevent.sleep(_EXPIRE_SECONDS)
            if self._hold.is_over(time.monotonic()):
                self._end_hold()
            gone = self.directory.expire(time.monotonic())
            if gone:
                self._log.write(
                    "servers", "Missing entries are gone.", servers=gone
                )
                self._on_servers(gone)

    def _begin_hold(self, old: int, new: int) -> None:
        """Keep what the store acknowledged before it came back from a copy."""
        now = time.monotonic()
        self.directory.note_restored(now)
        servers = self.directory.server_by_name.values()
        self._hold.begin(servers, out=self.directory.data_centres_out, now=now)
        self._log.write(
            "store",
            "The store came back from an older copy.",
            old_era=old,
            era=new,
            draining=sum(server.draining for server in servers),
            out=sorted(self.directory.data_centres_out),
            held_seconds=restore_hold.HOLD_SECONDS,
        )

    def _end_hold(self) -> None:
        """Believe the store again in what nobody has written since."""
        servers, out = self._hold.end()
        for server in servers:
            self.directory.put(server)
        self.directory.set_out(out, time.monotonic())
        self._log.write(
            "store",
            "The store is believed again.",
            servers=sorted(server.name for server in servers),
            out=sorted(out),
        )
        self._on_servers(None)
