"""The routers of the fleet, listed in the platform's store.

Each router keeps an object there, renews it at a low rate and polls the list;
no request waits for either. A watch would wake every router at each renewal
by every other one.

Limits that each router enforces locally are divided by the number of routers.
Counting a stopped router is therefore safer than missing a live one: an entry
expires only after several missed renewals, and a router that has not read the
list yet assumes several others.
"""

from collections.abc import Callable
import math
import random
import time
import typing

import gevent
from gevent import event

from daisypick_core.membership import standing as standings
from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_platform import fields
from daisypick_platform import position as positions
from daisypick_platform import store as stores
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import skipped_objects

KIND = "daisypick-routers"
# Each renewal is a write to the store. 690 routers make 23 of them a second,
# of several hundred that the store allows.
_RENEW_SECONDS = 30.0
# An entry not renewed for this long belongs to a router that has ended.
_EXPIRY_SECONDS = 100.0
# A router that has not renewed its entry for this long does not use its quotas,
# as others may drop it soon. The rest covers clocks that differ in speed.
_LEASE_SECONDS = 90.0
# Within this time routers that start together have written their entries, and
# within the next one all others have read the list: the longest pause between
# two polls and the age of a stale list.
_SETTLE_SECONDS = 2.0
_JOIN_SECONDS = 12.0
# A stopping router has some seconds until its process ends.
_DELETE_RETRY_SECONDS = 0.5
# Pauses between reads of the list: short after the start, when other routers
# may be starting too, then longer.
_POLL_SECONDS = (0.7, 1.5, 3.0, 8.0)
# A longer time between two reads of the list is a gap: several polls failed, or
# this process stood still.
_MAX_READ_INTERVAL_SECONDS = 30.0
# Number of routers assumed before the list was read, so that a router which
# starts while the store is unreachable uses only a small share of each limit.
_ASSUMED_ROUTERS = 8
# How long routers that are missing from a restored store still count. Each
# writes its entry again when it learns of the restore.
_RESTORE_GRACE_SECONDS = 6.0
_MIN_CORES = 0.001
_MAX_CORES = 10_000.0


class Member(typing.NamedTuple):
    """A router.

    Attributes:
        name: Name of its VM.
        address: Address at which other routers reach it.
        cores: CPU cores that its process may use.
        changed_at: When its entry last changed, by the local clock.
        position: When its entry last changed, in the store's history.
    """

    name: str
    address: tuple[str, int]
    cores: float
    changed_at: float
    position: positions.Position


class Membership:
    """Routers by name; ``on_change()`` is called when they change."""

    def __init__(
        self,
        *,
        store: stores.StoreClient,
        log: logs.Log,
        rng: random.Random,
        name: str,
        address: tuple[str, int],
        cores: float,
        on_change: Callable[[], None],
        skipped: skipped_objects.SkippedObjects,
    ) -> None:
        self._skipped = skipped
        self._store = store
        self._log = log
        self._rng = rng
        self._name = name
        self._address = address
        self._cores = cores
        self._on_change = on_change
        self._has_list = False
        self._renewals = 0
        self._is_leaving = False
        self._is_writing = False
        # Position of this router's last write of its entry, which no list may
        # have shown yet.
        self._written_at: positions.Position | None = None
        # Tells this process's entry from one of the process that follows it
        # under the same name.
        self._process = f"{rng.getrandbits(64):x}"
        # Set when the store may have lost the entry of this router.
        self._renewal_due = event.Event()
        self._restore_grace_until = 0.0
        self._standing = standings.Standing(
            lease_seconds=_LEASE_SECONDS,
            settle_seconds=_SETTLE_SECONDS,
            join_seconds=_JOIN_SECONDS,
        )
        # Whether an entry that exists may have been created by this process,
        # in a call whose response was lost.
        self._may_have_created = False
        # When the last list and the last renewal of this router's entry were
        # received.
        self._listed_at = -math.inf
        # Since when lists have been read without a gap, and when the last one
        # was asked for.
        self._read_since = math.inf
        self._asked_at = -math.inf
        self._renewed_at = -math.inf
        store.eras.on_new_era(self._handle_restore)
        self.member_by_name: dict[str, Member] = {}

    @property
    def routers(self) -> int:
        """Number of routers that share the limits enforced locally."""
        known = len(self.member_by_name.keys() | {self._name})
        return known if self._has_list else max(known, _ASSUMED_ROUTERS)

    @property
    def names(self) -> frozenset[str]:
        """Names of all routers; empty until the list was read.

        Limits on the fleet as a whole are divided among these. A router that
        starts while the store is unreachable does not know how many others
        start at the same time.
        """
        if not self._has_list:
            return frozenset()
        return frozenset(self.member_by_name) | {self._name}

    @property
    def is_counted(self) -> bool:
        """Whether all other routers count this one.

        Until then it must not use its part of limits on the fleet.
        """
        return self._has_list and self._standing.is_counted(time.monotonic())

    def describe(self) -> dict[str, object]:
        """Return the size and age of the list, for logs."""
        now = time.monotonic()
        return {
            "routers": len(self.names),
            "counted": self.is_counted,
            "routers_list_age": _round_age(now - self._listed_at),
            "own_entry_age": _round_age(now - self._renewed_at),
        }

    def start(self) -> None:
        """Start polling the list and renewing this router's entry."""
        loops.spawn(self._poll_list)
        loops.spawn(self._run_renewals)

    def leave(self) -> None:
        """Remove this router's entry; called when the process stops.

        Returns once the entry is gone; the end of the process ends it sooner.
        """
        self._is_leaving = True
        self._standing.note_leaving()
        self._renewal_due.set()
        position = self._written_at
        while not self._delete_entry(position) or self._is_writing:
            gevent.sleep(_DELETE_RETRY_SECONDS)
            # The entry may have been written since, or before a lost answer.
            position = None

    def _delete_entry(self, position: positions.Position | None) -> bool:
        """Delete the entry; return whether there is none of this process.

        Args:
            position: Where the entry was written; ``None`` if not known.
        """
        if position is None:
            listing = self._store.list_kind(KIND)
            if failure.is_failure(listing):
                return self._note_failed_deletion(listing)
            position = self._find_own_position(listing.objects)
        if position is None:
            return True
        failed = self._store.delete(KIND, self._name, position)
        if failed is None or failed.code is codes.NOT_FOUND:
            return True
        return self._note_failed_deletion(failed)

    def _note_failed_deletion(self, failed: failure.Failure) -> bool:
        self._log.write(
            "members",
            "Could not delete this router's entry.",
            reason=failed.reason,
        )
        return False

    def _find_own_position(
        self, objects: tuple[stores.StoredObject, ...]
    ) -> positions.Position | None:
        for stored in objects:
            is_own = isinstance(stored.spec, dict) and (
                stored.spec.get("process") == self._process
            )
            if stored.name == self._name and is_own:
                return self._find_position(stored)
        return None

    def _run_renewals(self) -> None:
        while not self._is_leaving:
            self._is_writing = True
            try:
                written = self._write_entry()
            finally:
                self._is_writing = False
            pause = _RENEW_SECONDS
            if failure.is_failure(written):
                self._log.write(
                    "members",
                    "Could not renew this router's entry.",
                    reason=written.reason,
                )
                pause = _RENEW_SECONDS / 10.0
            else:
                self._written_at = self._find_position(written)
                self._renewed_at = time.monotonic()
            self._renewal_due.clear()
            self._renewal_due.wait(pause * self._rng.uniform(0.8, 1.2))

    def _handle_restore(self, old: int, new: int) -> None:
        """Write the entry again; until others have, they still count."""
        del old, new
        self._restore_grace_until = time.monotonic() + _RESTORE_GRACE_SECONDS
        self._renewal_due.set()

    def _write_entry(self) -> stores.StoredObject | failure.Failure:
        self._renewals += 1
        sent_at = time.monotonic()
        is_join = False
        spec = {
            "address": f"{self._address[0]}:{self._address[1]}",
            "power": self._cores,
            "renewals": self._renewals,
            "process": self._process,
        }
        if self._written_at is None:
            # A router that stops deletes its entry, so there is usually none.
            written = self._store.create(KIND, self._name, spec)
            exists = failure.is_failure(written) and (
                written.code is codes.PLATFORM_CONFLICT
            )
            if not exists:
                self._may_have_created = True
                return self._note_written(written, sent_at, is_join=True)
            is_join = self._may_have_created
        written = self._store.replace(KIND, self._name, spec)
        is_missing = (
            failure.is_failure(written) and written.code is codes.NOT_FOUND
        )
        if is_missing and not self._is_leaving:
            written = self._store.create(KIND, self._name, spec)
            # After a restore the others count it without its entry.
            is_join = time.monotonic() >= self._restore_grace_until
        return self._note_written(written, sent_at, is_join=is_join)

    def _note_written(
        self,
        written: stores.StoredObject | failure.Failure,
        sent_at: float,
        *,
        is_join: bool,
    ) -> stores.StoredObject | failure.Failure:
        if not failure.is_failure(written):
            self._standing.note_written(sent_at, is_join=is_join)
        return written

    def _poll_list(self) -> None:
        """Read the list at growing intervals."""
        reads = 0
        while True:
            stale = reads > 1 and not self._standing.needs_list
            asked_at = time.monotonic()
            found = self._store.list_kind(KIND, stale=stale)
            self.receive(found)
            if not stale and not failure.is_failure(found):
                self._standing.note_list(
                    asked_at,
                    has_others=bool(self.member_by_name.keys() - {self._name}),
                )
            pause = _POLL_SECONDS[min(reads, len(_POLL_SECONDS) - 1)]
            reads += 1
            gevent.sleep(pause * self._rng.uniform(0.8, 1.2))

    def receive(self, found: stores.Listing | failure.Failure) -> None:
        """Take the list of routers, or the failure to read it."""
        now = time.monotonic()
        if now - self._asked_at > _MAX_READ_INTERVAL_SECONDS:
            self._read_since = math.inf
        self._asked_at = now
        if failure.is_failure(found):
            self._read_since = math.inf
            self._log.write(
                "members",
                "Could not read the list of routers.",
                reason=found.reason,
            )
            return
        self._read_since = min(self._read_since, now)
        self._apply_list(found)

    def _apply_list(self, listing: stores.Listing) -> None:
        objects = listing.objects
        before = set(self.member_by_name), self.routers
        self._has_list = True
        self._listed_at = time.monotonic()
        listed = {stored.name for stored in objects}
        if time.monotonic() >= self._restore_grace_until:
            for name in self.member_by_name.keys() - listed:
                # A stale list may be older than the router's entry.
                if listing.position >= self.member_by_name[name].position:
                    del self.member_by_name[name]
        for stored in objects:
            known = self.member_by_name.get(stored.name)
            position = self._find_position(stored)
            if known is None or known.position != position:
                self._add_member(stored)
        self._drop_expired()
        if (set(self.member_by_name), self.routers) != before:
            self._log.write(
                "members", "The set of routers changed.", routers=self.routers
            )
            self._on_change()

    def _add_member(self, stored: stores.StoredObject) -> None:
        try:
            address = fields.read_address(stored.spec, "address")
            cores = fields.read_number(
                stored.spec,
                "power",
                least=_MIN_CORES,
                most=_MAX_CORES,
                default=1.0,
            )
        except fields.ERRORS as error:
            self._skipped.note(KIND, stored.name, fields.show_error(error))
            return
        self.member_by_name[stored.name] = Member(
            name=stored.name,
            address=address,
            cores=cores,
            changed_at=time.monotonic(),
            position=self._find_position(stored),
        )

    def _find_position(self, stored: stores.StoredObject) -> positions.Position:
        return positions.Position(
            era=self._store.eras.newest, revision=stored.revision
        )

    def _drop_expired(self) -> None:
        """Drop routers that were not renewed while lists were read.

        An outage of the store keeps routers from renewing their entries, and
        a gap between two lists this one from noticing it.
        """
        now = time.monotonic()
        for member in list(self.member_by_name.values()):
            since = max(member.changed_at, self._read_since)
            is_expired = now - since > _EXPIRY_SECONDS
            if is_expired and member.name != self._name:
                del self.member_by_name[member.name]
                gevent.spawn(
                    self._store.delete, KIND, member.name, member.position
                )
                self._log.write(
                    "members", "A router's entry expired.", name=member.name
                )


def _round_age(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
