"""Keeps quarantined requests and parts of prompts in the platform's store.

Routers send each other what they know of crashes directly; the store is for
those that start later. Each quarantined request is an object named by its
digest, each part one named by its key. An operator who deletes the object
releases it. The list is polled, since a watch
would cost each router a call every few seconds for a list that hardly changes.
A router that other routers reach polls it rarely while nothing is quarantined.
"""

from collections.abc import Callable
import math
import random
import time
import typing

import gevent

from daisypick_core.quarantine import crash_ledger
from daisypick_core.quarantine import crash_record
from daisypick_core.quarantine import digest as digests
from daisypick_core.quarantine import part_record
from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_platform import fields
from daisypick_platform import position as positions
from daisypick_platform import store as stores
from daisypick_router import context as contexts
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import membership as memberships
from daisypick_router import part_quarantine
from daisypick_router import quarantine as quarantines
from daisypick_router import skipped_objects

KIND = "daisypick-quarantine"
# Pause between two reads of the list, so that a router that no other one
# reaches still learns of a quarantine within seconds.
_POLL_SECONDS = 2.5
# Pause while nothing is quarantined and other routers tell of quarantines. Then
# the list is only needed for what all routers that tell have missed.
_QUIET_POLL_SECONDS = 30.0
# Pause after a failed call.
_RETRY_SECONDS = 0.5
# Routers of the fleet that write an object which the list lacks. Usually only
# the router that quarantined the request does; it may have ended before.
_OTHER_WRITERS = 3.0
_MAX_COUNT = 1_000_000_000
# Routers write some dozens of names at most.
_MAX_NAMES = 1000


class QuarantineStore:
    """Reads and writes the objects of quarantined requests."""

    def __init__(
        self,
        *,
        store: stores.StoreClient,
        quarantine: quarantines.Quarantine,
        membership: memberships.Membership,
        log: logs.Log,
        rng: random.Random,
        is_connected: Callable[[], bool],
        skipped: skipped_objects.SkippedObjects,
    ) -> None:
        """Create it; ``start`` begins to poll.

        Args:
            store: The platform's store.
            quarantine: The requests that are refused.
            membership: The routers of the fleet.
            log: Log of the process.
            rng: Randomness of the pauses.
            is_connected: Returns whether other routers reach this one.
            skipped: Records objects that cannot be read.
        """
        self._skipped = skipped
        self._store = store
        self._quarantine = quarantine
        self._membership = membership
        self._log = log
        self._rng = rng
        self._is_connected = is_connected
        self._has_list = False
        self._listed_at = -math.inf
        self._first_listed_at: dict[str, float] = {}
        self._newest = positions.Position(era=0, revision=0)
        quarantine.on_own_quarantine(self._handle_own_quarantine)
        quarantine.parts.on_own_quarantine(self._handle_own_part)
        store.eras.on_new_era(self._handle_restore)

    def start(self) -> None:
        """Start polling the list."""
        self._quarantine.expect_list()
        loops.spawn(self._run)

    def _run(self) -> None:
        while True:
            pause = _POLL_SECONDS
            if self.is_due(time.monotonic()) and not self.read():
                pause = _RETRY_SECONDS
            self._quarantine.expire()
            gevent.sleep(pause * self._rng.uniform(0.8, 1.2))

    def is_due(self, now: float) -> bool:
        """Return whether the list should be read, asked once a pause.

        A quarantine that another router tells of is followed by a read within a
        pause, so that its object is known before it may be deleted.
        """
        return (
            not self._has_list
            or bool(self._first_listed_at)
            or self._quarantine.ledger.quarantined > 0
            or self._quarantine.parts.ledger.quarantined > 0
            or not self._is_connected()
            or now - self._listed_at >= _QUIET_POLL_SECONDS
        )

    def read(self) -> bool:
        """Read the list and apply it; return whether the store responded."""
        found = self._store.list_kind(KIND, stale=self._has_list)
        if failure.is_failure(found):
            return False
        # A list that may be old can be older than the one before, or than an
        # object that this router has written since.
        if found.position >= self._newest:
            self._has_list = True
            self._listed_at = time.monotonic()
            self._newest = found.position
            self._apply_list(found)
            self._quarantine.note_list()
        return True

    def _find_owner(
        self, name: str
    ) -> quarantines.Quarantine | part_quarantine.PartQuarantine:
        """Return what applies the object of a name."""
        if name.startswith(digests.PART_PREFIX):
            return self._quarantine.parts
        return self._quarantine

    def _apply_list(self, found: stores.Listing) -> None:
        now = time.monotonic()
        listed = {stored.name for stored in found.objects}
        for name in self._first_listed_at.keys() - listed:
            del self._first_listed_at[name]
            self._find_owner(name).release(name)
        for stored in found.objects:
            self._apply_object(stored, found.position, now)
        for owner in (self._quarantine, self._quarantine.parts):
            for name in owner.ledger.find_quarantined():
                if name not in listed and self._is_chosen():
                    self._write(name, {})
        self._delete_surplus(found)

    def _delete_surplus(self, found: stores.Listing) -> None:
        """Delete the oldest objects beyond the number that routers apply."""
        by_age = sorted(found.objects, key=lambda stored: stored.revision)
        for stored in by_age[: -crash_ledger.MAX_QUARANTINED]:
            if self._is_chosen():
                self._delete(stored, found.position)

    def _apply_object(
        self,
        stored: stores.StoredObject,
        position: positions.Position,
        now: float,
    ) -> None:
        owner = self._find_owner(stored.name)
        read = _read_record if owner is self._quarantine else _read_part
        try:
            record = read(stored.spec)
        except fields.ERRORS as error:
            self._skipped.note(KIND, stored.name, fields.show_error(error))
            return
        if not record.is_quarantined:
            return
        first_listed_at = self._first_listed_at.setdefault(stored.name, now)
        is_old = now - first_listed_at > crash_ledger.QUARANTINE_SECONDS
        known = owner.ledger.find(stored.name)
        if is_old or (known.epoch > record.epoch and not known.is_quarantined):
            if self._is_chosen():
                self._delete(stored, position)
            return
        owner.merge([(stored.name, record)])

    def _delete(
        self, stored: stores.StoredObject, position: positions.Position
    ) -> None:
        unchanged_since = position._replace(revision=stored.revision)
        self._store.delete(KIND, stored.name, unchanged_since)

    def _is_chosen(self) -> bool:
        """Return whether this router makes a call that any may make."""
        share = _OTHER_WRITERS / self._membership.routers
        return self._rng.random() < share

    def _handle_restore(self, old: int, new: int) -> None:
        """Take no absence from a restored list for a release."""
        del old, new
        self._first_listed_at.clear()

    def _handle_own_quarantine(self, context: contexts.Context) -> None:
        details = {
            "route": context.route.name,
            "organisation": context.organisation,
        }
        gevent.spawn(self._write, context.digest, details)

    def _handle_own_part(
        self, key: str, details: dict[str, typing.Any]
    ) -> None:
        gevent.spawn(self._write, key, details)

    def _write(self, name: str, details: dict[str, typing.Any]) -> None:
        record = self._find_owner(name).ledger.find(name)
        if not record.is_quarantined:
            return
        spec = {**_write_record(record), **details}
        written = self._store.create(KIND, name, spec)
        if failure.is_failure(written) and written.code is (
            codes.PLATFORM_CONFLICT
        ):
            # An object of an earlier epoch, or another router's.
            written = self._store.replace(KIND, name, spec)
        if failure.is_failure(written):
            self._log.write(
                "quarantine",
                "Could not store what is quarantined.",
                name=name,
                reason=written.reason,
            )
            return
        self._newest = max(
            self._newest,
            positions.Position(
                era=self._store.eras.newest, revision=written.revision
            ),
        )


def _write_record(
    record: crash_record.CrashRecord | part_record.PartRecord,
) -> dict[str, typing.Any]:
    if isinstance(record, crash_record.CrashRecord):
        return {"epoch": record.epoch, "level": record.level}
    return {
        "epoch": record.epoch,
        "crashes": record.crashes,
        "answers": record.answers,
        "ends": sorted(record.ends),
        "requests": sorted(record.requests),
    }


def _read_count(spec: dict[str, typing.Any], name: str) -> int:
    return fields.read_whole(spec, name, most=_MAX_COUNT)


def _read_names(spec: dict[str, typing.Any], name: str) -> frozenset[str]:
    names = fields.read_list(spec, name)
    if not all(isinstance(found, str) for found in names):
        raise TypeError(f"{name}: not all are texts")
    if len(names) > _MAX_NAMES:
        raise ValueError(f"{name}: more than {_MAX_NAMES}")
    return frozenset(names)


def _read_part(spec: dict[str, typing.Any]) -> part_record.PartRecord:
    return part_record.PartRecord(
        epoch=_read_count(spec, "epoch"),
        crashes=_read_count(spec, "crashes"),
        answers=_read_count(spec, "answers"),
        ends=_read_names(spec, "ends"),
        requests=_read_names(spec, "requests"),
    )


def _read_record(spec: dict[str, typing.Any]) -> crash_record.CrashRecord:
    return crash_record.CrashRecord(
        epoch=_read_count(spec, "epoch"), level=_read_count(spec, "level")
    )
