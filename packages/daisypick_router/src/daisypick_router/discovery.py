"""Local copies of the configuration and servers in the platform's store.

Each copy stays in use while the store is unreachable. A configuration is
never replaced by an older version, such as one listed by a lagging store.
"""

from collections.abc import Callable
from collections.abc import Collection
import math
import random
import time

import gevent
from gevent import event

from daisypick_core.results import failure
from daisypick_core.serving import backend_server
from daisypick_core.serving import directory as directories
from daisypick_core.serving import fleet_configuration
from daisypick_core.serving import restore_hold
from daisypick_platform import entries
from daisypick_platform import manifest
from daisypick_platform import settings as platform_settings
from daisypick_platform import store as stores
from daisypick_platform import watch
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import skipped_objects

_EXPIRY_CHECK_SECONDS = 0.2
# Entries that change together are logged one by one up to this number.
_MAX_LOGGED_CHANGES = 16


class Discovery:
    """The newest configuration and the servers that requests may go to.

    ``on_servers(names)`` is called with the names of the servers that changed,
    or with ``None`` if any of them may have changed.
    """

    def __init__(
        self,
        *,
        store: stores.StoreClient,
        log: logs.Log,
        rng: random.Random,
        on_servers: Callable[[Collection[str] | None], None],
        bounds: platform_settings.Bounds,
        skipped: skipped_objects.SkippedObjects,
        feed: watch.ChangeFeed | None = None,
    ) -> None:
        self._store = store
        self._skipped = skipped
        self._log = log
        self._rng = rng
        self._on_servers = on_servers
        self._max_age_by_kind = {
            kind: max(bounds.stable_seconds, seconds)
            for kind, seconds in (
                (manifest.KIND, bounds.configuration_seconds),
                (entries.KIND, bounds.drain_seconds),
                (entries.EVACUATIONS_KIND, bounds.evacuation_seconds),
            )
        }
        self._feed = feed
        self._outage = watch.Outage()
        self.configuration: fleet_configuration.FleetConfiguration | None = None
        self.directory = directories.Directory()
        self._hold = restore_hold.RestoreHold()
        store.eras.on_new_era(self._begin_hold)
        self._server_list_read = event.Event()
        self._is_store_unreachable = False
        self._watcher_by_kind: dict[str, watch.Watcher] = {}

    @property
    def has_server_list(self) -> bool:
        """Whether the list of servers was read since the start."""
        return self._server_list_read.is_set()

    def wait_for_server_list(self, seconds: float) -> bool:
        """Wait for the first list of servers; return whether it was read.

        Returns at once while the store does not respond.
        """
        if self.has_server_list or self._is_store_unreachable:
            return self.has_server_list
        return self._server_list_read.wait(seconds)

    def start(self) -> None:
        """Start following the store."""
        self._follow(
            manifest.KIND,
            self._apply_configurations,
            self._apply_configurations,
        )
        self._follow(
            entries.KIND, self._apply_server_list, self._apply_server_changes
        )
        self._follow(
            entries.EVACUATIONS_KIND,
            self._apply_evacuation_list,
            self._apply_evacuation_changes,
        )
        loops.spawn(self._expire_missing)

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
            on_result=self._note_contact,
            outage=self._outage,
            rng=self._rng,
            max_age=self._max_age_by_kind[kind],
            feed=self._feed,
        )
        self._watcher_by_kind[kind] = watcher
        loops.spawn(watcher.run)

    def _find_age(self, kind: str) -> float:
        watcher = self._watcher_by_kind.get(kind)
        return math.inf if watcher is None else watcher.find_age()

    @property
    def configuration_age(self) -> float:
        """Seconds for which the configuration may have been out of date."""
        return self._find_age(manifest.KIND)

    @property
    def is_configuration_confirmed(self) -> bool:
        """Whether no newer configuration can have to be in force."""
        return self.configuration_age < self._max_age_by_kind[manifest.KIND]

    @property
    def server_list_age(self) -> float:
        """Seconds for which the list of servers may have been out of date."""
        return self._find_age(entries.KIND)

    def _note_contact(self, error: failure.Failure | None) -> None:
        now = time.monotonic()
        if error is None:
            self.directory.note_contact(now)
            if self._is_store_unreachable:
                self._is_store_unreachable = False
                self._log.write("store", "The store responds again.")
            return
        self.directory.note_outage(now)
        if not self._is_store_unreachable:
            self._is_store_unreachable = True
            self._log.write(
                "store", "The store does not respond.", reason=error.reason
            )

    @property
    def max_server_list_age(self) -> float:
        """Age in seconds up to which the list of servers is confirmed."""
        return self._max_age_by_kind[entries.KIND]

    def _apply_configurations(
        self, objects: tuple[stores.StoredObject, ...]
    ) -> None:
        for stored in objects:
            self._apply_configuration(stored)

    def _apply_configuration(self, stored: stores.StoredObject) -> None:
        if stored.name != manifest.NAME or stored.deleted:
            return
        decoded = manifest.decode(stored.spec)
        if failure.is_failure(decoded):
            self._skipped.note_failure(manifest.KIND, stored.name, decoded)
            return
        current = self.configuration
        if current is not None and decoded.version <= current.version:
            return
        self.configuration = decoded
        self._log.write(
            "configuration",
            "A new configuration is in force.",
            version=decoded.version,
            routes=len(decoded.routes),
            tokens_per_second=decoded.limits.tokens_per_second,
        )
        same_services = (
            current and current.service_by_name == decoded.service_by_name
        )
        self._on_servers(() if same_services else None)

    def _apply_server_list(
        self, objects: tuple[stores.StoredObject, ...]
    ) -> None:
        now = time.monotonic()
        servers = [self._read_server(stored, now) for stored in objects]
        self.directory.replace_all(
            self._hold.filter_servers(
                (server for server in servers if server is not None), now
            ),
            now,
        )
        self._server_list_read.set()
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
        self._skipped.note_failure(entries.KIND, stored.name, decoded)
        return None

    def _apply_server_changes(
        self, objects: tuple[stores.StoredObject, ...]
    ) -> None:
        now = time.monotonic()
        for stored in objects:
            self._apply_server_change(
                stored, now, log=len(objects) <= _MAX_LOGGED_CHANGES
            )
        if len(objects) > _MAX_LOGGED_CHANGES:
            self._log.write(
                "servers",
                "Many entries changed.",
                changed=len(objects),
                known=len(self.directory.server_by_name),
            )
        self._on_servers([stored.name for stored in objects])

    def _apply_server_change(
        self, stored: stores.StoredObject, now: float, *, log: bool
    ) -> None:
        server = None
        self._hold.release_server(stored.name)
        if not stored.deleted:
            server = self._read_server(stored, now)
        if server is None:
            self._record_removal(stored.name, now)
            self.directory.remove(stored.name, now)
        else:
            self.directory.put(server)
        if log:
            self._log_change(stored.name, server, now)

    def _record_removal(self, name: str, now: float) -> None:
        removed = self.directory.server_by_name.get(name)
        if removed is not None:
            self._hold.note_removed(removed, now)

    def _log_change(
        self, name: str, server: backend_server.BackendServer | None, now: float
    ) -> None:
        if server is None:
            self._log.write("servers", "An entry was removed.", server=name)
            return
        self._log.write(
            "servers",
            "An entry changed.",
            server=server.name,
            draining=server.draining,
            cold_seconds=round(max(server.cold_until - now, 0.0), 3),
            born=server.born,
            version=server.version,
        )

    def note_leaving(self, server: backend_server.BackendServer) -> None:
        """Record that a server itself says that it leaves."""
        is_new = self.directory.note_leaving(
            server, time.monotonic(), unix_ms=int(time.time() * 1000)
        )
        if not is_new:
            return
        self._log.write(
            "servers", "A server says that it leaves.", server=server.name
        )
        self._on_servers([server.name])

    def _apply_evacuation_list(
        self, objects: tuple[stores.StoredObject, ...]
    ) -> None:
        out = {stored.name for stored in objects if not stored.deleted}
        now = time.monotonic()
        self.directory.set_data_centres_out(
            self._hold.filter_data_centres(out, now), now
        )
        self._on_servers(None)

    def _apply_evacuation_changes(
        self, objects: tuple[stores.StoredObject, ...]
    ) -> None:
        for stored in objects:
            self._apply_evacuation(stored)
        self._on_servers(None)

    def _apply_evacuation(self, stored: stores.StoredObject) -> None:
        self._hold.note_data_centre(stored.name, out=not stored.deleted)
        out = set(self.directory.data_centres_out)
        if stored.deleted:
            out.discard(stored.name)
        else:
            out.add(stored.name)
        self.directory.set_data_centres_out(out, time.monotonic())
        self._log.write(
            "servers",
            "A data centre was taken out of or put back into service.",
            data_centre=stored.name,
            out=not stored.deleted,
        )

    def _expire_missing(self) -> None:
        while True:
            gevent.sleep(_EXPIRY_CHECK_SECONDS)
            if self._hold.is_over(time.monotonic()):
                self._end_hold()
            expired = self.directory.expire(time.monotonic())
            if expired:
                self._log.write(
                    "servers", "Missing entries expired.", servers=expired
                )
                self._on_servers(expired)

    def _begin_hold(self, old: int, new: int) -> None:
        """Hold the state from before the store was restored from a backup."""
        now = time.monotonic()
        self.directory.note_restored(now)
        servers = self.directory.server_by_name.values()
        self._hold.begin(servers, out=self.directory.data_centres_out, now=now)
        self._log.write(
            "store",
            "The store was restored from an older backup.",
            old_era=old,
            era=new,
            draining=sum(server.draining for server in servers),
            out=sorted(self.directory.data_centres_out),
            held_seconds=restore_hold.HOLD_SECONDS,
        )

    def _end_hold(self) -> None:
        """Apply the store's state for entries not written since the restore."""
        servers, out = self._hold.end()
        for server in servers:
            self.directory.put(server)
        self.directory.set_data_centres_out(out, time.monotonic())
        self._log.write(
            "store",
            "The hold period after the store's restore ended.",
            servers=sorted(server.name for server in servers),
            out=sorted(out),
        )
        self._on_servers(None)
