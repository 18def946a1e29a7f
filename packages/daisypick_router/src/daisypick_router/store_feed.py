"""Forwards changes of the platform's store from router to router.

The store's call rate limit grows more slowly than the fleet, and each watch
counts as a call. So in a large fleet one router watches the store, and the
others form a tree below it in which each forwards what it receives. Every
response of the store is forwarded, also an empty one: it confirms that no
change up to that moment was missed. A router without a recent confirmation
watches the store itself, from the revision that it has reached, and forwards
the result. So neither it nor its followers lag by more than the age of a
confirmation, whatever fails above them.

A store restored from an older backup issues the same revisions again.
Confirmations of an earlier era are then invalid, and a router informs its
followers of the new era at once.
"""

import collections
from collections.abc import Callable
import math

from gevent import event

from daisypick_http import clocks
from daisypick_platform import position as positions
from daisypick_platform import store as stores
from daisypick_router import peer_channel
from daisypick_router import peer_messages

# Fleet size from which forwarding saves calls. In a smaller fleet, all routers'
# own long watches cost fewer calls than the short watches of one feed source.
MIN_ROUTERS = 12
# Age of the newest confirmation at which a router watches the store itself.
# A change must be in force within 2 s; confirmations arrive every 0.8 s.
_MAX_CONFIRMATION_AGE_SECONDS = 1.5
# Largest message that is forwarded with its objects. For a larger one, such as
# a configuration of hundreds of routes, each router reads the store itself,
# which saves traffic between data centres.
_MAX_FORWARDED_BYTES = 4096
# Number of origins whose last message number is remembered.
_MAX_ORIGINS = 64
# Kind of a message that only announces a new era.
_ERA_ONLY_KIND = ""


class _KindState:
    """State of the feed for one kind of objects."""

    def __init__(self) -> None:
        self.pending: collections.deque[peer_messages.Feed] = (
            collections.deque()
        )
        self.confirmed_at = -math.inf
        self.changed = event.Event()


class StoreFeed:
    """Both sides of the feed: sends to followers, receives from a source.

    ``find_lag()`` returns the lag of this process's event loop, which is added
    to the age of each confirmation that is received or forwarded. ``origin``
    is unique to a process, since each process numbers its messages from 1.

    Attributes:
        is_following: Whether another router forwards changes to this one.
    """

    def __init__(
        self,
        *,
        find_lag: Callable[[], float],
        origin: str,
        eras: positions.EraTracker | None = None,
    ) -> None:
        self._find_lag = find_lag
        self._origin = origin
        self._eras = eras or positions.EraTracker()
        self._eras.on_new_era(self._begin_era)
        self._published = 0
        self._last_number_by_origin: dict[str, int] = {}
        self.is_following = False
        self._followers: set[peer_channel.PeerChannel] = set()
        self._by_kind: dict[str, _KindState] = collections.defaultdict(
            _KindState
        )

    def add_follower(self, channel: peer_channel.PeerChannel) -> None:
        """Forward changes to a router from now on."""
        self._followers.add(channel)

    def remove_follower(self, channel: peer_channel.PeerChannel) -> None:
        """Remove a router that disconnected or chose another source."""
        self._followers.discard(channel)

    @property
    def followers(self) -> int:
        """Number of routers that changes are forwarded to."""
        return len(self._followers)

    def has_followers(self) -> bool:
        """Whether any router receives changes from this one."""
        return bool(self._followers)

    @property
    def role(self) -> str:
        """Role of this router in the feed, as a label of metrics."""
        if self.is_following:
            return "follower"
        return "source" if self._followers else "alone"

    def must_watch(self) -> bool:
        """Whether followers depend on this router's own watches."""
        return self.has_followers() and not self.is_following

    def publish(
        self, kind: str, since: positions.Position, listing: stores.Listing
    ) -> None:
        """Send followers the result of a watch from ``since``."""
        if not self._followers:
            return
        self._published += 1
        message = peer_messages.Feed(
            kind=kind,
            since=since.revision,
            revision=listing.position.revision,
            objects=tuple(
                (stored.name, stored.revision, stored.spec, stored.deleted)
                for stored in listing.objects
            ),
            age=round(self._find_lag(), 3),
            origin=self._origin,
            number=self._published,
            era=listing.position.era,
        )
        try:
            line = peer_messages.encode(message)
        except (RecursionError, TypeError, ValueError):
            # An object of another writer, such as one nested too deeply.
            line = None
        if line is None or len(line) > _MAX_FORWARDED_BYTES:
            message = message._replace(
                since=listing.position.revision, objects=()
            )
            line = peer_messages.encode(message)
        self._send(line)

    def _send(self, line: bytes) -> None:
        for channel in self._followers:
            channel.send_line(line)

    def receive(self, message: peer_messages.Feed) -> None:
        """Handle a message from the feed source and forward it."""
        if not self._is_new(message) or not self._eras.note(message.era):
            return
        state = self._by_kind[message.kind]
        age = message.age + self._find_lag()
        if self._followers:
            forwarded = message._replace(age=round(age, 3))
            self._send(peer_messages.encode(forwarded))
        confirmed_at = clocks.read_boot_time() - age
        state.confirmed_at = max(state.confirmed_at, confirmed_at)
        state.pending.append(message)
        state.changed.set()

    def _begin_era(self, old: int, new: int) -> None:
        """Drop confirmations of an earlier era and inform followers."""
        del old
        for state in self._by_kind.values():
            state.pending.clear()
            state.confirmed_at = -math.inf
            state.changed.set()
        self._published += 1
        announcement = peer_messages.Feed(
            kind=_ERA_ONLY_KIND,
            since=0,
            revision=0,
            objects=(),
            age=0.0,
            origin=self._origin,
            number=self._published,
            era=new,
        )
        self._send(peer_messages.encode(announcement))

    def _is_new(self, message: peer_messages.Feed) -> bool:
        """Return whether a message was not received before on any path.

        Otherwise two routers that follow each other would forward it for ever
        and count it as a new confirmation each time.
        """
        origin, number = message.origin, message.number
        if origin == self._origin:
            return False
        if number <= self._last_number_by_origin.get(origin, 0):
            return False
        self._last_number_by_origin.pop(origin, None)
        self._last_number_by_origin[origin] = number
        while len(self._last_number_by_origin) > _MAX_ORIGINS:
            del self._last_number_by_origin[
                next(iter(self._last_number_by_origin))
            ]
        return True

    def is_fresh(self, kind: str) -> bool:
        """Whether a recent confirmation shows that no change was missed."""
        return self._stale_at(kind) > clocks.read_boot_time()

    def find_age(self, kind: str) -> float:
        """Return seconds since it was confirmed that no change was missed.

        Infinite while messages with changes wait to be taken.
        """
        state = self._by_kind[kind]
        if state.pending:
            return math.inf
        return clocks.read_boot_time() - state.confirmed_at

    def is_connected(self) -> bool:
        """Whether other routers follow this one, or it recently heard them."""
        return self.has_followers() or any(
            self.is_fresh(kind) for kind in self._by_kind
        )

    def _stale_at(self, kind: str) -> float:
        return self._by_kind[kind].confirmed_at + _MAX_CONFIRMATION_AGE_SECONDS

    def wait(
        self, kind: str, since: positions.Position, seconds: float
    ) -> stores.Listing | None:
        """Wait for changes after a position.

        Returns:
            The changes, none if there were none within ``seconds``, or
            ``None`` if the store must be read instead.
        """
        state = self._by_kind[kind]
        deadline = clocks.read_boot_time() + seconds
        while since.era == self._eras.newest:
            while state.pending:
                message = state.pending.popleft()
                if message.since > since.revision:
                    return None
                if message.revision > since.revision:
                    return _to_listing(message, since)
            now = clocks.read_boot_time()
            stale_at = self._stale_at(kind)
            if now >= stale_at:
                return None
            if now >= deadline:
                return stores.Listing(objects=(), position=since)
            state.changed.clear()
            state.changed.wait(min(deadline, stale_at) - now)
        return None


def _to_listing(
    message: peer_messages.Feed, since: positions.Position
) -> stores.Listing:
    objects = (stores.StoredObject(*fields) for fields in message.objects)
    return stores.Listing(
        objects=tuple(
            stored for stored in objects if stored.revision > since.revision
        ),
        position=since._replace(revision=message.revision),
    )
