"""Forwarding of the store's changes from router to router."""

import fakes
import gevent
import pytest

from daisypick_core.membership import relay_tree
from daisypick_core.scheduling import hosts
from daisypick_platform import position as positions
from daisypick_platform import store as stores
from daisypick_router import peer_messages
from daisypick_router import store_feed

NAMES = tuple(f"r-{number}" for number in range(4))


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


@pytest.fixture
def routers(store, monkeypatch):
    """Four routers, of which one watches the store for the others."""
    monkeypatch.setattr(store_feed, "MIN_ROUTERS", 4)
    server = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.put("servers", "e-0", server.describe())
    routers = {name: fakes.start_router(store, name) for name in NAMES}
    for router in routers.values():
        fakes.wait_for(
            lambda peer=router: peer.membership.routers == len(NAMES), 8.0
        )
    fakes.wait_for(lambda: len(_find_followers(routers)) == 3)
    # Lets watches finish that began before the router had a feed source.
    store.put("servers", "e-0", server.describe(Slots=9))
    store.put("config", "main", fakes.make_manifest(version=2))
    for router in routers.values():
        fakes.wait_for(lambda peer=router: _sees(peer, "e-0", slots=9))
    gevent.sleep(1.0)
    return routers


def _find_followers(routers):
    return [
        name
        for name, router in routers.items()
        if router.placing.links.feed_source is not None
    ]


def _sees(router, name, *, slots):
    server = router.discovery.directory.server_by_name.get(name)
    return server is not None and server.slots == slots


def test_only_one_router_watches_the_store(store, routers):
    """Guards against every router calling the store for each change.

    Four routers run; all receive each change within a few tenths of a second.
    """
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    before = {name: router.store.calls for name, router in routers.items()}
    for slots in range(1, 4):
        store.put("servers", "e-1", server.describe(Slots=slots))
        for router in routers.values():
            fakes.wait_for(
                lambda peer=router, count=slots: _sees(
                    peer, "e-1", slots=count
                ),
                0.6,
            )
    watching = [
        name
        for name, router in routers.items()
        if router.store.calls > before[name]
    ]
    assert len(watching) == 1
    assert watching[0] not in _find_followers(routers)


def test_router_without_a_confirmation_reads_the_store(store, routers):
    """Guards against missed changes when the feed source loses the store.

    It forwards nothing, and its connections to the other routers stay open.
    The others have no recent confirmation, so they read the store themselves
    and see the change in time.
    """
    followers = _find_followers(routers)
    (watching,) = set(routers) - set(followers)
    routers[watching].discovery._feed.publish = lambda *_: None
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    store.put("servers", "e-1", server.describe(Slots=3))
    for name in followers:
        fakes.wait_for(
            lambda peer=routers[name]: _sees(peer, "e-1", slots=3), 1.9
        )


def test_gap_in_the_feed_is_read_from_the_store(store, routers):
    """Guards against a change lost with a message of the feed source.

    The next message starts at a later revision than this router has reached,
    so it reads the changes in between from the store.
    """
    name = _find_followers(routers)[0]
    feed = routers[name].discovery._feed
    receive, lost = feed.receive, []

    def _lose_one(message):
        if message.objects and not lost:
            lost.append(message)
            return
        receive(message)

    routers[name].placing.links.feed_source._on_feed = _lose_one
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    store.put("servers", "e-1", server.describe(Slots=3))
    fakes.wait_for(lambda: lost)
    store.put("servers", "e-0", server.describe(Slots=5))
    fakes.wait_for(lambda: _sees(routers[name], "e-0", slots=5), 1.0)
    fakes.wait_for(lambda: _sees(routers[name], "e-1", slots=3), 1.0)


def test_large_configuration_is_read_from_the_store(store, routers):
    """Guards against large objects forwarded between data centres."""
    manifest = fakes.make_manifest(version=7)
    manifest["Filler"] = "x" * 6000
    before = {name: router.store.calls for name, router in routers.items()}
    store.put("config", "main", manifest)
    for router in routers.values():
        fakes.wait_for(
            lambda peer=router: peer.discovery.configuration.version == 7,
            0.8,
        )
    for name in _find_followers(routers):
        assert routers[name].store.calls > before[name]


def test_event_loop_lag_adds_to_the_age_of_a_confirmation():
    """Guards against a stalled process that trusts old confirmations.

    It reads messages that arrived some time before. Without the added lag it
    would trust them for longer than a change may take to be in force.
    """
    feed = _make_feed()
    message = _make_message()
    feed.receive(message)
    assert feed.is_fresh("servers")
    late = _make_feed(lag=1.6)
    late.receive(message)
    assert not late.is_fresh("servers")


def _make_feed(*, lag=0.0, origin="r-1/1"):
    return store_feed.StoreFeed(find_lag=lambda: lag, origin=origin)


def _make_message(**changes):
    fields = {
        "kind": "servers",
        "since": 1,
        "revision": 1,
        "objects": (),
        "age": 0.0,
        "origin": "root",
        "number": 1,
        **changes,
    }
    return peer_messages.Feed(**fields)


class _Channel:
    """Passes each line directly to another feed."""

    def __init__(self, feed):
        self._feed = feed
        self.sent = []

    def send_line(self, line):
        message = peer_messages.decode(line)
        self.sent.append(message)
        self._feed.receive(message)


def test_message_is_not_forwarded_in_a_loop():
    """Guards against two routers that follow each other.

    This happens when their lists of routers differ. An old confirmation sent
    back and forth would look recent each time, and both would miss changes.
    """
    first, second = _make_feed(), _make_feed(origin="r-2/1")
    to_second, to_first = _Channel(second), _Channel(first)
    first.add_follower(to_second)
    second.add_follower(to_first)
    first.receive(_make_message())
    assert (len(to_second.sent), len(to_first.sent)) == (1, 1)
    listing = stores.Listing(
        objects=(), position=positions.Position(era=0, revision=2)
    )
    first.publish("servers", positions.Position(era=0, revision=1), listing)
    assert (len(to_second.sent), len(to_first.sent)) == (2, 2)


def test_confirmation_of_a_new_era_does_not_cover_the_old_one():
    """Guards against changes dropped until old revisions are passed again."""
    feed = _make_feed()
    feed.receive(_make_message(since=99, revision=100, era=1))
    before = positions.Position(era=1, revision=100)
    assert feed.wait("servers", before, 0.0).position == before
    feed.receive(_make_message(since=80, revision=81, era=2, number=2))
    assert feed.wait("servers", before, 0.0) is None
    after = positions.Position(era=2, revision=80)
    assert feed.wait("servers", after, 0.0).position.revision == 81


def test_confirmation_of_an_earlier_era_is_ignored():
    """Guards against confirmations from before a restore being trusted."""
    feed, below = _make_feed(), _make_feed(origin="r-2/1")
    feed.add_follower(_Channel(below))
    feed.receive(_make_message(era=2))
    feed.receive(_make_message(origin="late", kind="evacuations", era=1))
    assert not feed.is_fresh("evacuations")
    assert not below.is_fresh("evacuations")


def test_new_era_is_forwarded_to_followers_at_once():
    """Guards against followers that trust confirmations of an old era."""
    eras = positions.EraTracker()
    feed = store_feed.StoreFeed(find_lag=lambda: 0.0, origin="r-1/1", eras=eras)
    below = _make_feed(origin="r-2/1")
    feed.add_follower(_Channel(below))
    feed.receive(_make_message(era=1))
    assert below.is_fresh("servers")
    eras.note(2)
    assert not feed.is_fresh("servers")
    assert not below.is_fresh("servers")


def test_message_without_an_era_is_accepted():
    """Guards against rejecting messages of older routers without eras."""
    line = b'["feed","servers",1,1,[],0.0,"root",1]'
    feed = _make_feed()
    feed.receive(peer_messages.decode(line))
    assert feed.is_fresh("servers")


def test_age_of_a_confirmation_grows_with_each_router():
    """Guards against routers whose lag is not added to what they forward."""
    below = _make_feed(origin="r-2/1")
    late = _make_feed(lag=0.9)
    late.add_follower(_Channel(below))
    late.receive(_make_message(age=0.5))
    assert late.is_fresh("servers")
    assert below.is_fresh("servers")
    late.receive(_make_message(age=0.7, number=2, kind="evacuations"))
    assert not below.is_fresh("evacuations")


@pytest.fixture
def chain(store, monkeypatch):
    """Four routers, each of which follows the one before."""
    monkeypatch.setattr(relay_tree, "FAN_OUT", 1)
    monkeypatch.setattr(store_feed, "MIN_ROUTERS", 4)
    server = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.put("servers", "e-0", server.describe())
    routers = {name: fakes.start_router(store, name) for name in NAMES}
    for router in routers.values():
        fakes.wait_for(
            lambda peer=router: peer.membership.routers == len(NAMES), 8.0
        )
    fakes.wait_for(lambda: len(_find_followers(routers)) == 3)
    order = hosts.order_hosts("/store", dict.fromkeys(NAMES, 1.0))
    gevent.sleep(2.0)
    # Lets watches finish that began before the router had a feed source.
    store.put("servers", "e-0", server.describe(Slots=9))
    store.put("config", "main", fakes.make_manifest(version=2))
    for router in routers.values():
        fakes.wait_for(lambda peer=router: _sees(peer, "e-0", slots=9))
    gevent.sleep(1.0)
    sources = [routers[name].placing.links.feed_source for name in order]
    assert [link and link.name for link in sources] == [None, *order[:3]]
    return [routers[name] for name in order]


def test_change_reaches_all_routers_of_a_chain(store, chain):
    """Guards against a router that does not forward what it receives."""
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    before = [router.store.calls for router in chain]
    for slots in range(1, 4):
        store.put("servers", "e-1", server.describe(Slots=slots))
        for router in chain:
            fakes.wait_for(
                lambda peer=router, count=slots: _sees(
                    peer, "e-1", slots=count
                ),
                0.6,
            )
    has_called = [
        router.store.calls > calls
        for router, calls in zip(chain, before, strict=True)
    ]
    assert has_called == [True, False, False, False]


def test_follower_of_a_stalled_router_reads_the_store(store, chain):
    """Guards against missed changes below a stalled router in the tree.

    Its connections stay open, but it forwards nothing. Its follower has no
    recent confirmation, reads the store and forwards the result, so that the
    last router sees the change in time as well.
    """
    chain[1].discovery._feed._send = lambda line: None
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    store.put("servers", "e-1", server.describe(Slots=3))
    for router in chain[2:]:
        fakes.wait_for(lambda peer=router: _sees(peer, "e-1", slots=3), 1.9)


def test_followers_of_a_killed_router_choose_another_source(store, chain):
    """Guards against a tree not repaired within 1 s of a router's end."""
    third_links = chain[2].placing.links
    for channel in list(chain[1].peer_host._waiting_by_channel):
        channel.close()
    chain[1].peer_host.serve = lambda socket, address: socket.close()
    fakes.wait_for(
        lambda: (
            third_links.feed_source
            and third_links.feed_source.name == chain[0].settings.name
        ),
        1.0,
    )
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    store.put("servers", "e-1", server.describe(Slots=3))
    for router in chain[2:]:
        fakes.wait_for(lambda peer=router: _sees(peer, "e-1", slots=3), 1.9)


class _Follower:
    """Receives the lines of the feed."""

    def __init__(self):
        self.messages = []

    def send_line(self, line):
        self.messages.append(peer_messages.decode(line.rstrip()))

    def send(self, message):
        self.messages.append(message)


def test_forwarded_changes_are_read_by_the_followers():
    """Guards against followers that reject changes and call the store."""
    feed = store_feed.StoreFeed(
        find_lag=lambda: 0.0, origin="r-1", eras=positions.EraTracker()
    )
    follower = _Follower()
    feed.add_follower(follower)
    stored = stores.StoredObject(
        name="desk", revision=8, spec={"a": 1}, status={"b": 2}, created="7"
    )
    feed.publish(
        "rollouts",
        positions.Position(era=0, revision=7),
        stores.Listing((stored,), positions.Position(era=0, revision=8)),
    )
    (message,) = follower.messages[-1:]
    assert message.objects == (("desk", 8, {"a": 1}, False),)
