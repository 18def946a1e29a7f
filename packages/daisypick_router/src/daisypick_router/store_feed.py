"""Changes of the platform's store, passed on from router to router.

The store's rate grows more slowly than the fleet, and each watch that waits
or answers is a call. So in a large fleet one router watches and the others
follow it, in a tree in which each passes on what it hears. Each answer of the
store, also an empty one, is passed on: it proves that nothing was missed up to
that moment. A router that has no fresh proof asks the store itself, from the
revision that it has reached, and passes that on; so neither it nor those below
it are further behind than by the age of a proof, whatever happens above.

A store that came back from an older copy gives its revisions out again. No
proof of an earlier era counts then, and those below a router hear of the new
era from it at once.
"""

import collections
from collections.abc import Callable
import time

from gevent import event

from daisypick_platform import position as positions
from daisypick_platform import store as stores
from daisypick_router import peer_channel
from daisypick_router import peer_messages

# Routers from which on following pays: fewer watch for themselves with fewer
# calls than one makes that others rely on.
LEAST_ROUTERS = 12
# Age of the newest proof at which a router asks the store itself. Operators
# allow two seconds for a change to be in force; proofs come every 0.8 s.
_STALE_SECONDS = 1.5
# Objects of an answer up to this size are passed on; with a larger one, such
# as a configuration of hundreds of routes, each asks the store, which spares
# the links between data centres.
_MOST_BYTES = 4096
# Routers that lately watched the store, whose newest messages are known.
_MOST_ORIGINS = 64
# Stands for the kind in a message that tells of a new era alone.
_NO_KIND = ""


class _Kind:
    """What is known of one kind of objects."""

    def __init__(self) -> None:
        self.waiting: collections.deque[peer_messages.Feed] = (
            collections.deque()
        )
        self.proven_at = -_STALE_SECONDS
        self.changed = event.Event()


class StoreFeed:
    """Both sides: passes on what we watch, and takes what others pass on.

    ``find_lag()`` tells how late this process runs; a proof that was read
    late, or passed on late, is that much older. ``origin`` is another one for
    each process, since its messages are numbered anew.

    Attributes:
        is_following: Whether another router passes changes on to us.
    """

    def __init__(
        self,
        *,
        find_lag: Callable[[], float],
        origin: str,
        eras: positions.Eras | None = None,
    ) -> None:
        self._find_lag = find_lag
        self._origin = origin
        self._eras = eras or positions.Eras()
        self._eras.on_rise(self._begin_era)
        self._published = 0
        self._number_by_origin: dict[str, int] = {}
        self.is_following = False
        self._followers: set[peer_channel.PeerChannel] = set()
        self._by_kind: dict[str, _Kind] = collections.defaultdict(_Kind)

    def add_follower(self, channel: peer_channel.PeerChannel) -> None:
        """Pass on to one more router."""
        self._followers.add(channel)

    def drop_follower(self, channel: peer_channel.PeerChannel) -> None:
        """A router's connection ended, or it follows another one."""
        self._followers.discard(channel)

    @property
    def followers(self) -> int:
        """Routers that we pass changes on to."""
        return len(self._followers)

    def has_followers(self) -> bool:
        """Whether others hear of changes from us."""
        return bool(self._followers)

    def must_watch(self) -> bool:
        """Whether these rely on watches of our own."""
        return self.has_followers() and not self.is_following

    def publish(
        self, kind: str, since: positions.Position, listing: stores.Listing
    ) -> None:
        """Pass on what a watch from ``since`` answered."""
        if not self._followers:
            return
        self._published += 1
        message = peer_messages.Feed(
            kind=kind,
            since=since.revision,
            revision=listing.position.revision,
            objects=tuple(tuple(stored) for stored in listing.objects),
            age=round(self._find_lag(), 3),
            origin=self._origin,
            number=self._published,
            era=listing.position.era,
        )
        line = peer_messages.encode(message)
        if len(line) > _MOST_BYTES:
            message = message._replace(
                since=listing.position.revision, objects=()
            )
            line = peer_messages.encode(message)
        self._send(line)

    def _send(self, line: bytes) -> None:
        for channel in self._followers:
            channel.send_line(line)

    def take(self, message: peer_messages.Feed) -> None:
        """Take what the router that we follow passes on."""
        if not self._is_new(message) or not self._eras.note(message.era):
            return
        known = self._by_kind[message.kind]
        age = message.age + self._find_lag()
        if self._followers:
            passed_on = message._replace(age=round(age, 3))
            self._send(peer_messages.encode(passed_on))
        proven_at = time.monotonic() - age
        known.proven_at = max(known.proven_at, proven_at)
        known.waiting.append(message)
        known.changed.set()

    def _begin_era(self, old: int, new: int) -> None:
        """Forget proofs of an earlier era, and tell those below us of it."""
        del old
        for known in self._by_kind.values():
            known.waiting.clear()
            known.proven_at = -_STALE_SECONDS
            known.changed.set()
        self._published += 1
        announced = peer_messages.Feed(
            kind=_NO_KIND,
            since=0,
            revision=0,
            objects=(),
            age=0.0,
            origin=self._origin,
            number=self._published,
            era=new,
        )
        self._send(peer_messages.encode(announced))

    def _is_new(self, message: peer_messages.Feed) -> bool:
        """Tell whether a message did not come before, by any way.

        Two routers that each follow the other would pass it on for ever, and
        take it for a fresh proof each time.
        """
        origin, number = message.origin, message.number
        if origin == self._origin:
            return False
        if number <= self._number_by_origin.get(origin, 0):
            return False
        self._number_by_origin.pop(origin, None)
        self._number_by_origin[origin] = number
        while len(self._number_by_origin) > _MOST_ORIGINS:
            del self._number_by_origin[next(iter(self._number_by_origin))]
        return True

    def is_fresh(self, kind: str) -> bool:
        """Whether it proves that nothing was missed up to a moment ago."""
        return self._stale_at(kind) > time.monotonic()

    def _stale_at(self, kind: str) -> float:
        return self._by_kind[kind].proven_at + _STALE_SECONDS

    def wait(
        self, kind: str, since: positions.Position, seconds: float
    ) -> stores.Listing | None:
        """Wait for changes after a position; ``None``: ask the store."""
        known = self._by_kind[kind]
        until = time.monotonic() + seconds
        while since.era == self._eras.newest:
            while known.waiting:
                message = known.waiting.popleft()
                if message.since > since.revision:
                    return None
                if message.revision > since.revision:
                    return _read(message, since)
            now = time.monotonic()
            stale_at = self._stale_at(kind)
            if now >= stale_at:
                return None
            if now >= until:
                return stores.Listing(objects=(), position=since)
            known.changed.clear()
            known.changed.wait(min(until, stale_at) - now)
        return None


def _read(
    message: peer_messages.Feed, since: positions.Position
) -> stores.Listing:
    objects = (stores.StoredObject(*fields) for fields in message.objects)
    return stores.Listing(
        objects=tuple(
            stored for stored in objects if stored.revision > since.revision
        ),
        position=since._replace(revision=message.revision),
    )
