"""Changes of the platform's store, passed on from router to router.

The store's rate grows more slowly than the fleet, and each watch that waits
or answers is a call. So in a large fleet one router watches and the others
follow it over the connections that they keep anyway. Each answer of the
store, also an empty one, is passed on: it proves that nothing was missed up to
that moment. A router that has no fresh proof asks the store itself, from the
revision that it has reached; so it is never further behind than by the age
of a proof, whatever happens to the router that it follows.
"""

import collections
from collections.abc import Callable
import time

from gevent import event

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
    late, or passed on late, is that much older.
    """

    def __init__(self, *, find_lag: Callable[[], float]) -> None:
        self._find_lag = find_lag
        self._followers: set[peer_channel.PeerChannel] = set()
        self._by_kind: dict[str, _Kind] = collections.defaultdict(_Kind)

    def add_follower(self, channel: peer_channel.PeerChannel) -> None:
        """Pass on to one more router."""
        self._followers.add(channel)

    def drop_follower(self, channel: peer_channel.PeerChannel) -> None:
        """A router's connection ended, or it follows another one."""
        self._followers.discard(channel)

    def has_followers(self) -> bool:
        """Whether others rely on our watches."""
        return bool(self._followers)

    def publish(self, kind: str, since: int, listing: stores.Listing) -> None:
        """Pass on what a watch from ``since`` answered."""
        if not self._followers:
            return
        message = peer_messages.Feed(
            kind=kind,
            since=since,
            revision=listing.revision,
            objects=tuple(tuple(stored) for stored in listing.objects),
            age=round(self._find_lag(), 3),
        )
        if len(peer_messages.encode(message)) > _MOST_BYTES:
            message = message._replace(since=listing.revision, objects=())
        for channel in self._followers:
            channel.send(message)

    def take(self, message: peer_messages.Feed) -> None:
        """Take what the router that we follow passes on."""
        known = self._by_kind[message.kind]
        proven_at = time.monotonic() - message.age - self._find_lag()
        known.proven_at = max(known.proven_at, proven_at)
        known.waiting.append(message)
        known.changed.set()

    def is_fresh(self, kind: str) -> bool:
        """Whether it proves that nothing was missed up to a moment ago."""
        return self._stale_at(kind) > time.monotonic()

    def _stale_at(self, kind: str) -> float:
        return self._by_kind[kind].proven_at + _STALE_SECONDS

    def wait(
        self, kind: str, revision: int, seconds: float
    ) -> stores.Listing | None:
        """Wait for changes after a revision; ``None``: ask the store."""
        known = self._by_kind[kind]
        until = time.monotonic() + seconds
        while True:
            while known.waiting:
                message = known.waiting.popleft()
                if message.since > revision:
                    return None
                if message.revision > revision:
                    return _read(message, revision)
            now = time.monotonic()
            stale_at = self._stale_at(kind)
            if now >= stale_at:
                return None
            if now >= until:
                return stores.Listing(objects=(), revision=revision)
            known.changed.clear()
            known.changed.wait(min(until, stale_at) - now)


def _read(message: peer_messages.Feed, revision: int) -> stores.Listing:
    objects = (stores.StoredObject(*fields) for fields in message.objects)
    return stores.Listing(
        objects=tuple(
            stored for stored in objects if stored.revision > revision
        ),
        revision=message.revision,
    )
