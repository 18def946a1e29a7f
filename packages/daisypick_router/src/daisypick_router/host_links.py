"""Connections to the routers that may host schedulers or watch the store.

Each router computes an order of all routers for every service and for the
platform's store. The first routers of each order are its *candidates*. A
connection to each candidate is kept open, so that failover is immediate.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
import time

import gevent

from daisypick_core.membership import relay_tree
from daisypick_core.scheduling import hosts
from daisypick_core.serving import registrars
from daisypick_platform import position as positions
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import membership as memberships
from daisypick_router import peer_link
from daisypick_router import peer_messages
from daisypick_router import quarantine as quarantines
from daisypick_router import rollouts as rollout_records
from daisypick_router import store_feed

# Number of candidates for each service.
_CANDIDATE_COUNT = 2
# Number of routers among which the streams of a service are divided, so that
# none gets a message of every stream of a large fleet.
_REGISTRAR_COUNT = 48
_CHECK_SECONDS = 0.05
# If the check wakes this late, the delay is in this process, not in a host,
# whose heartbeats may be waiting unread. Links must not be closed for that: a
# host would keep requests in its state whose ends it was never sent.
_STALLED_SECONDS = 0.15
# Name of the store in ``order_hosts``: the first router in its order watches
# the store, and the others form a tree below it. No service has this name.
_STORE_ORDER_KEY = "/store"


class HostLinks:
    """Links by router, and the source of the store's changes.

    ``on_connect(link)`` is called when a connection is established.

    Attributes:
        feed_source: Link to the router that forwards the store's changes, or
            ``None`` if this router watches the store itself.
        leaving: Whether this process is stopping, so that other routers should
            take over as hosts.
    """

    def __init__(
        self,
        *,
        name: str,
        cores: float,
        membership: memberships.Membership,
        feed: store_feed.StoreFeed,
        quarantine: quarantines.Quarantine,
        rollouts: rollout_records.Rollouts,
        log: logs.Log,
        rng: random.Random,
        on_connect: Callable[[peer_link.PeerLink], None],
        on_origin: Callable[[peer_messages.OriginReply], None],
    ) -> None:
        self._name = name
        self._cores = cores
        self._membership = membership
        self._feed = feed
        self._quarantine = quarantine
        quarantine.add_sender(self.send_to_all)
        self._rollouts = rollouts
        rollouts.add_sender(self.send_to_all)
        self._log = log
        self._rng = rng
        self._on_connect = on_connect
        self._on_origin = on_origin
        self._link_by_name: dict[str, peer_link.PeerLink] = {}
        self._services: set[str] = set()
        self._candidates_by_service: dict[str, list[str]] = {}
        # Services whose streams are registered, and the routers for it.
        self._registered: frozenset[str] = frozenset()
        self._ring_by_service: dict[str, registrars.RegistrarRing] = {}
        # Routers to receive the store's changes from, in order of preference.
        self._feed_sources: list[str] = []
        # Position of a router's entry when it announced its stop. Its next
        # process writes the entry at a new position.
        self._stopping_position_by_name: dict[str, positions.Position] = {}
        self.feed_source: peer_link.PeerLink | None = None
        self.leaving = False

    def start(self) -> None:
        """Start checking hosts for missing heartbeats."""
        loops.spawn(self._run_checks)

    def update(self) -> None:
        """Recompute candidates from the membership and connect to them."""
        members = self._membership.member_by_name
        cores_by_router = {
            name: member.cores
            for name, member in members.items()
            if self._stopping_position_by_name.get(name) != member.position
        }
        cores_by_router[self._name] = self._cores
        wanted: set[str] = set()
        for service in self._services:
            order = hosts.order_hosts(service, cores_by_router)
            self._candidates_by_service[service] = order[:_CANDIDATE_COUNT]
            wanted.update(order[:_CANDIDATE_COUNT])
        self._ring_by_service = {}
        for service in self._registered:
            order = hosts.order_hosts(service, cores_by_router)
            others = [name for name in order if name != self._name]
            ring = registrars.RegistrarRing(others[:_REGISTRAR_COUNT])
            self._ring_by_service[service] = ring
            wanted.update(others[:_REGISTRAR_COUNT])
        order = hosts.order_hosts(_STORE_ORDER_KEY, cores_by_router)
        self._feed_sources = relay_tree.find_sources(order, self._name)
        wanted.update(self._feed_sources)
        wanted.discard(self._name)
        for name, link in list(self._link_by_name.items()):
            # A stopping host still decides the requests that wait there.
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
            on_connect=self._handle_connect,
            on_feed=self._feed.receive,
            on_leaving=self._handle_leaving,
            on_crashes=self._quarantine.receive,
            on_rollout=self._rollouts.receive,
            on_origin=self._on_origin,
        )
        self._link_by_name[member.name] = link
        link.start()

    def send_to_all(
        self, message: peer_messages.Flooded | peer_messages.ServerSuspected
    ) -> None:
        """Send a message to all routers that this one has a link to."""
        for link in self._link_by_name.values():
            link.send(message)

    def _handle_leaving(self, link: peer_link.PeerLink) -> None:
        """Replace a router that is stopping by the next one in the order.

        In a rolling restart the second candidate may be down as well. Without
        a third, routers would decide locally for seconds.
        """
        member = self._membership.member_by_name.get(link.name)
        if member is not None:
            self._stopping_position_by_name[link.name] = member.position
            self.update()

    def set_registered(self, services: Iterable[str]) -> None:
        """Set the services whose streams are registered at other routers."""
        registered = frozenset(services)
        if registered != self._registered:
            self._registered = registered
            self.update()

    @property
    def is_fleet_small(self) -> bool:
        """Whether a message to each router for each stream costs little."""
        return self._membership.routers < store_feed.MIN_ROUTERS

    def find_registrars(
        self, service: str, attempt: str, count: int
    ) -> list[str]:
        """Return the other routers at which a stream is registered.

        Args:
            service: Its service.
            attempt: Id of the attempt that brought its first event.
            count: Number of routers.
        """
        ring = self._ring_by_service.get(service)
        return ring.choose(attempt, count) if ring is not None else []

    def find_link(self, router: str) -> peer_link.PeerLink | None:
        """Return the link to a router, if there is one."""
        return self._link_by_name.get(router)

    def find_candidates(self, service: str) -> list[str]:
        """Return the candidate hosts of a service in order of preference."""
        if service not in self._services:
            self._services.add(service)
            self.update()
        return self._candidates_by_service[service]

    def find_host(self, service: str) -> str | None:
        """Return the first available candidate, which may be this router."""
        own_candidate = None
        for name in self.find_candidates(service):
            link = self._link_by_name.get(name)
            if name == self._name:
                own_candidate = name
                if not self.leaving:
                    return name
            elif link is not None and link.is_available:
                return name
        return own_candidate

    def _handle_connect(self, link: peer_link.PeerLink) -> None:
        if self.feed_source is link:
            self.feed_source = None
            self._feed.is_following = False
        for message in self._quarantine.describe() + self._rollouts.describe():
            link.send(message)
        self._choose_feed_source()
        self._on_connect(link)

    def _choose_feed_source(self) -> None:
        """Follow the first connected router that can be the feed source."""
        feed_source = None
        if self._membership.routers >= store_feed.MIN_ROUTERS:
            feed_source = self._find_feed_source()
        if feed_source is self.feed_source:
            return
        if self.feed_source is not None:
            self.feed_source.send(peer_messages.Follow(wanted=False))
        self.feed_source = feed_source
        self._feed.is_following = feed_source is not None
        if feed_source is not None:
            feed_source.send(peer_messages.Follow(wanted=True))
        self._log.write(
            "store",
            "Receiving changes from another router."
            if feed_source
            else "Watching the store directly.",
            router=feed_source.name if feed_source else None,
        )

    def _find_feed_source(self) -> peer_link.PeerLink | None:
        for name in self._feed_sources:
            link = self._link_by_name.get(name)
            if link is not None and link.is_connected:
                return link
        return None

    def _run_checks(self) -> None:
        while True:
            slept_at = time.monotonic()
            gevent.sleep(_CHECK_SECONDS)
            now = time.monotonic()
            if now - slept_at > _STALLED_SECONDS:
                continue
            for link in list(self._link_by_name.values()):
                link.check_heartbeats(now)
            self._choose_feed_source()
