"""Connections to the routers that may host schedulers or watch the store.

For every service, and for the platform's store, routers stand in an order that
each works out for itself. The first ones of each order are *candidates*, and a
connection is kept to them, so that another one can be asked at once.
"""

from collections.abc import Callable
import random
import time

import gevent

from daisypick_core.membership import relay_tree
from daisypick_core.scheduling import hosts
from daisypick_platform import position as positions
from daisypick_router import log as logs
from daisypick_router import membership as memberships
from daisypick_router import peer_link
from daisypick_router import peer_messages
from daisypick_router import store_feed

# How many candidates of an order a router keeps connections to.
_CANDIDATES = 2
_WATCH_SECONDS = 0.05
# A watch that wakes so late tells of our own processor, not of a host: what
# the host said may lie unread. Links that were given up for that filled the
# host's belief with requests whose ends it never heard of.
_STALLED_SECONDS = 0.15
# Stands for the platform's store in the orders: the first router in this one
# watches the store, and the others hear of changes by a tree below it. No
# service has this name.
_STORE = "/store"


class HostLinks:
    """Links by router, and which router passes on the store's changes.

    ``on_up(link)`` is called when a connection stands.
    """

    def __init__(
        self,
        *,
        name: str,
        power: float,
        membership: memberships.Membership,
        feed: store_feed.StoreFeed,
        log: logs.Log,
        rng: random.Random,
        on_up: Callable[[peer_link.PeerLink], None],
    ) -> None:
        self._name = name
        self._power = power
        self._membership = membership
        self._feed = feed
        self._log = log
        self._rng = rng
        self._on_up = on_up
        self._link_by_name: dict[str, peer_link.PeerLink] = {}
        self._services: set[str] = set()
        self._candidates_by_service: dict[str, list[str]] = {}
        # Routers to hear the store's changes from, the first choice first.
        self._sources: list[str] = []
        # Position of its entry when a router said that it stops. Its next
        # process writes another one.
        self._left_position_by_name: dict[str, positions.Position] = {}
        self.followed: peer_link.PeerLink | None = None
        # Whether our process stops, and another should host what we host.
        self.leaving = False

    def start(self) -> None:
        """Begin to watch for silent hosts."""
        gevent.spawn(self._watch)

    def update(self) -> None:
        """Take the routers from the membership and connect to candidates."""
        members = self._membership.member_by_name
        power_by_router = {
            name: member.power
            for name, member in members.items()
            if self._left_position_by_name.get(name) != member.position
        }
        power_by_router[self._name] = self._power
        wanted: set[str] = set()
        for service in self._services:
            order = hosts.order_hosts(service, power_by_router)
            self._candidates_by_service[service] = order[:_CANDIDATES]
            wanted.update(order[:_CANDIDATES])
        order = hosts.order_hosts(_STORE, power_by_router)
        self._sources = relay_tree.find_sources(order, self._name)
        wanted.update(self._sources)
        wanted.discard(self._name)
        for name, link in list(self._link_by_name.items()):
            # One that stops still decides what waits there.
            if name not in wanted and not (link.leaving and link.is_connected):
                self._link_by_name.pop(name).stop()
        for name in wanted - self._link_by_name.keys():
            self._connect(members[name])

    def _connect(self, member: memberships.Member) -> None:
        link = peer_link.PeerLink(
            name=member.name,
            address=member.address,
            own_name=self._name,
            log=self._log,
            rng=self._rng,
            on_up=self._greet,
            on_feed=self._feed.take,
            on_leaving=self._note_leaving,
        )
        self._link_by_name[member.name] = link
        link.start()

    def _note_leaving(self, link: peer_link.PeerLink) -> None:
        """Take the next router into the order in place of one that stops.

        In a series of stops the second candidate may be gone as well, and
        routers that knew of no other decided alone for seconds.
        """
        member = self._membership.member_by_name.get(link.name)
        if member is not None:
            self._left_position_by_name[link.name] = member.position
            self.update()

    def find_link(self, router: str) -> peer_link.PeerLink | None:
        """Return the link to a router, if we keep one."""
        return self._link_by_name.get(router)

    def find_candidates(self, service: str) -> list[str]:
        """Return the routers that may host a service, the first one first."""
        if service not in self._services:
            self._services.add(service)
            self.update()
        return self._candidates_by_service[service]

    def find_host(self, service: str) -> str | None:
        """Return the first candidate that can be asked; it may be us."""
        ours = None
        for name in self.find_candidates(service):
            link = self._link_by_name.get(name)
            if name == self._name:
                ours = name
                if not self.leaving:
                    return name
            elif link is not None and link.is_up:
                return name
        return ours

    def _greet(self, link: peer_link.PeerLink) -> None:
        if self.followed is link:
            self.followed = None
            self._feed.is_following = False
        self._choose_followed()
        self._on_up(link)

    def _choose_followed(self) -> None:
        """Follow the first router that can pass on the store's changes."""
        followed = None
        if self._membership.routers >= store_feed.LEAST_ROUTERS:
            followed = self._find_followed()
        if followed is self.followed:
            return
        if self.followed is not None:
            self.followed.tell(peer_messages.Follow(wanted=False))
        self.followed = followed
        self._feed.is_following = followed is not None
        if followed is not None:
            followed.tell(peer_messages.Follow(wanted=True))
        self._log.write(
            "store",
            "Another router passes on changes."
            if followed
            else "We watch the store ourselves.",
            router=followed.name if followed else None,
        )

    def _find_followed(self) -> peer_link.PeerLink | None:
        for name in self._sources:
            link = self._link_by_name.get(name)
            if link is not None and link.is_connected:
                return link
        return None

    def _watch(self) -> None:
        while True:
            slept_at = time.monotonic()
            gevent.sleep(_WATCH_SECONDS)
            now = time.monotonic()
            if now - slept_at > _STALLED_SECONDS:
                continue
            for link in list(self._link_by_name.values()):
                link.watch_silence(now)
            self._choose_followed()
