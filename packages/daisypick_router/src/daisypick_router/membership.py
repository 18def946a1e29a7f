"""The routers of the fleet, known through the platform's store.

Each router keeps an object of our own kind there, renews it slowly and reads
the list now and then; nothing that a request needs waits for it. A watch
would wake every router at each renewal of every other one.

The number of routers divides what each may do alone. So it is better to count
a router that is gone than to overlook one that lives: an entry is dropped only
after several missed renewals, and a router that knows of no other yet assumes
a few.
"""

from collections.abc import Callable
import random
import time
import typing

import gevent
from gevent import event

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_platform import position as positions
from daisypick_platform import store as stores
from daisypick_router import log as logs

KIND = "daisypick-routers"
# Renewals cost a write each; 690 routers make 23 a second of several hundred.
_RENEW_SECONDS = 30.0
# An entry that was not renewed for this long belongs to no live router.
_LAPSE_SECONDS = 100.0
# Pauses between reads of the list: soon after the start, when the others
# start too, then seldom.
_READ_SECONDS = (0.7, 1.5, 3.0, 8.0)
# Divisor before the list was read, so that a router which starts while the
# store is away takes a small part.
_ASSUMED_ROUTERS = 8
# How long routers that a restored store has forgotten still count; each writes
# its entry again when it hears of the store's return.
_KEPT_SECONDS = 6.0


class Member(typing.NamedTuple):
    """A router.

    Attributes:
        name: Name of its VM.
        address: Where our processes reach it.
        power: Cores that its process may use.
        seen_at: When its entry last changed, on our clock.
        position: When its entry last changed, in the store's history.
    """

    name: str
    address: tuple[str, int]
    power: float
    seen_at: float
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
        power: float,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._log = log
        self._rng = rng
        self._name = name
        self._address = address
        self._power = power
        self._on_change = on_change
        self._listed = False
        self._renewals = 0
        # Set when our entry may be gone from the store.
        self._is_due = event.Event()
        self._kept_until = 0.0
        store.eras.on_rise(self._restore)
        self.member_by_name: dict[str, Member] = {}

    @property
    def routers(self) -> int:
        """How many routers share what each does alone."""
        known = len(self.member_by_name.keys() | {self._name})
        return known if self._listed else max(known, _ASSUMED_ROUTERS)

    @property
    def names(self) -> frozenset[str]:
        """Names of all routers; empty while the list was not read.

        What must not be exceeded by all together is divided by these. A
        router that starts while the store is away does not know how many
        start beside it.
        """
        if not self._listed:
            return frozenset()
        return frozenset(self.member_by_name) | {self._name}

    def start(self) -> None:
        """Begin to follow the other routers and to renew our entry."""
        gevent.spawn(self._read)
        gevent.spawn(self._renew)

    def leave(self) -> None:
        """Remove our entry; called when the process stops for good."""
        member = self.member_by_name.get(self._name)
        if member is not None:
            self._store.delete(KIND, self._name, member.position)

    def _renew(self) -> None:
        while True:
            written = self._write_entry()
            pause = _RENEW_SECONDS
            if failure.is_failure(written):
                self._log.write(
                    "members",
                    "Our entry was not renewed.",
                    reason=written.reason,
                )
                pause = _RENEW_SECONDS / 10.0
            self._is_due.clear()
            self._is_due.wait(pause * self._rng.uniform(0.8, 1.2))

    def _restore(self, old: int, new: int) -> None:
        """Write our entry again; others do, and count until they have."""
        del old, new
        self._kept_until = time.monotonic() + _KEPT_SECONDS
        self._is_due.set()

    def _write_entry(self) -> stores.StoredObject | failure.Failure:
        self._renewals += 1
        spec = {
            "address": f"{self._address[0]}:{self._address[1]}",
            "power": self._power,
            "renewals": self._renewals,
        }
        written = self._store.replace(KIND, self._name, spec)
        if failure.is_failure(written) and written.code is codes.NOT_FOUND:
            written = self._store.create(KIND, self._name, spec)
        return written

    def _read(self) -> None:
        """Read the list, soon again at first, then seldom."""
        reads = 0
        while True:
            found = self._store.list_kind(KIND, stale=reads > 1)
            if failure.is_failure(found):
                self._log.write(
                    "members", "The list was not read.", reason=found.reason
                )
            else:
                self._take(found.objects)
            pause = _READ_SECONDS[min(reads, len(_READ_SECONDS) - 1)]
            reads += 1
            gevent.sleep(pause * self._rng.uniform(0.8, 1.2))

    def _take(self, objects: tuple[stores.StoredObject, ...]) -> None:
        before = set(self.member_by_name), self.routers
        self._listed = True
        listed = {stored.name for stored in objects}
        if time.monotonic() >= self._kept_until:
            for name in self.member_by_name.keys() - listed:
                del self.member_by_name[name]
        for stored in objects:
            known = self.member_by_name.get(stored.name)
            position = self._find_position(stored)
            if known is None or known.position != position:
                self._put(stored)
        self._drop_lapsed()
        if (set(self.member_by_name), self.routers) != before:
            self._log.write(
                "members", "The routers changed.", routers=self.routers
            )
            self._on_change()

    def _put(self, stored: stores.StoredObject) -> None:
        try:
            ip, _, port = stored.spec["address"].rpartition(":")
            address = (ip, int(port))
            power = float(stored.spec.get("power", 1.0))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self._log.write(
                "members",
                "Passed over an entry.",
                name=stored.name,
                reason=repr(error),
            )
            return
        self.member_by_name[stored.name] = Member(
            name=stored.name,
            address=address,
            power=power,
            seen_at=time.monotonic(),
            position=self._find_position(stored),
        )

    def _find_position(self, stored: stores.StoredObject) -> positions.Position:
        return positions.Position(
            era=self._store.eras.newest, revision=stored.revision
        )

    def _drop_lapsed(self) -> None:
        now = time.monotonic()
        for member in list(self.member_by_name.values()):
            lapsed = now - member.seen_at > _LAPSE_SECONDS
            if lapsed and member.name != self._name:
                del self.member_by_name[member.name]
                gevent.spawn(
                    self._store.delete, KIND, member.name, member.position
                )
                self._log.write(
                    "members", "A router's entry lapsed.", name=member.name
                )
