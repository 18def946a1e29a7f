"""Changes of the store passed on from router to router."""

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
    monkeypatch.setattr(store_feed, "LEAST_ROUTERS", 4)
    server = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.put("servers", "e-0", server.describe())
    routers = {name: fakes.start_router(store, name) for name in NAMES}
    for router in routers.values():
        fakes.wait_for(
            lambda known=router: known.membership.routers == len(NAMES), 8.0
        )
    fakes.wait_for(lambda: len(_find_followers(routers)) == 3)
    # What each had asked the store before it followed is answered by now.
    store.put("servers", "e-0", server.describe(Slots=9))
    store.put("config", "main", fakes.make_manifest(version=2))
    for router in routers.values():
        fakes.wait_for(lambda known=router: _sees(known, "e-0", slots=9))
    gevent.sleep(1.0)
    return routers


def _find_followers(routers):
    return [
        name
        for name, router in routers.items()
        if router.placing.links.followed is not None
    ]


def _sees(router, name, *, slots):
    server = router.discovery.directory.server_by_name.get(name)
    return server is not None and server.slots == slots


def test_one_watches_for_all(store, routers):
    """Changes come while four routers run; only one of them asks the store.

    All have them within a few tenths of a second.
    """
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    before = {name: router.store.calls for name, router in routers.items()}
    for slots in range(1, 4):
        store.put("servers", "e-1", server.describe(Slots=slots))
        for router in routers.values():
            fakes.wait_for(
                lambda known=router, count=slots: _sees(
                    known, "e-1", slots=count
                ),
                0.6,
            )
    asked = [
        name
        for name, router in routers.items()
        if router.store.calls > before[name]
    ]
    assert len(asked) == 1
    assert asked[0] not in _find_followers(routers)


def test_who_hears_no_proof_asks_the_store(store, routers):
    """The router that watches is cut off from the store, not from the others.

    It passes nothing on, and its connections stay. A server leaves; the
    others have no fresh proof, ask the store themselves and see it in time.
    """
    followers = _find_followers(routers)
    (watching,) = set(routers) - set(followers)
    routers[watching].discovery._feed.publish = lambda *words: None
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    store.put("servers", "e-1", server.describe(Slots=3))
    for name in followers:
        fakes.wait_for(
            lambda known=routers[name]: _sees(known, "e-1", slots=3), 1.9
        )


def test_who_missed_a_change_asks_the_store_from_where_it_is(store, routers):
    """A message of the watching router is lost with a connection.

    The next one begins behind what this router has; it asks the store for
    what is between, and loses no change.
    """
    name = _find_followers(routers)[0]
    feed = routers[name].discovery._feed
    take, lost = feed.take, []

    def _lose_one(message):
        if message.objects and not lost:
            lost.append(message)
            return
        take(message)

    routers[name].placing.links.followed._on_feed = _lose_one
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    store.put("servers", "e-1", server.describe(Slots=3))
    fakes.wait_for(lambda: lost)
    store.put("servers", "e-0", server.describe(Slots=5))
    fakes.wait_for(lambda: _sees(routers[name], "e-0", slots=5), 1.0)
    fakes.wait_for(lambda: _sees(routers[name], "e-1", slots=3), 1.0)


def test_large_configuration_is_fetched_not_passed_on(store, routers):
    """A configuration of many routes is made; each router reads it itself."""
    manifest = fakes.make_manifest(version=7)
    manifest["Filler"] = "x" * 6000
    before = {name: router.store.calls for name, router in routers.items()}
    store.put("config", "main", manifest)
    for router in routers.values():
        fakes.wait_for(
            lambda known=router: known.discovery.configuration.version == 7,
            0.8,
        )
    for name in _find_followers(routers):
        assert routers[name].store.calls > before[name]


def test_late_reader_takes_a_proof_for_older():
    """A stalled process reads messages that have lain for a while.

    What they prove is older by as much; else it would trust them for longer
    than a change may take to be in force.
    """
    feed = _make_feed()
    message = _make_message()
    feed.take(message)
    assert feed.is_fresh("servers")
    late = _make_feed(lag=1.6)
    late.take(message)
    assert not late.is_fresh("servers")


def _make_feed(*, lag=0.0, origin="r-1/1"):
    return store_feed.StoreFeed(find_lag=lambda: lag, origin=origin)


def _make_message(**changes):
    words = {
        "kind": "servers",
        "since": 1,
        "revision": 1,
        "objects": (),
        "age": 0.0,
        "origin": "root",
        "number": 1,
        **changes,
    }
    return peer_messages.Feed(**words)


class _Channel:
    """Hands what is sent to another feed, at once."""

    def __init__(self, feed):
        self._feed = feed
        self.sent = []

    def send_line(self, line):
        message = peer_messages.decode(line)
        self.sent.append(message)
        self._feed.take(message)


def test_proof_does_not_go_round_for_ever():
    """Two routers with other lists of the fleet each follow the other.

    Passed on for ever, an old proof would look fresh each time, and both would
    overlook servers that leave.
    """
    first, second = _make_feed(), _make_feed(origin="r-2/1")
    there, back = _Channel(second), _Channel(first)
    first.add_follower(there)
    second.add_follower(back)
    first.take(_make_message())
    assert (len(there.sent), len(back.sent)) == (1, 1)
    listing = stores.Listing(
        objects=(), position=positions.Position(era=0, revision=2)
    )
    first.publish("servers", positions.Position(era=0, revision=1), listing)
    assert (len(there.sent), len(back.sent)) == (2, 2)


def test_proof_of_a_restored_store_is_none_for_what_was_before():
    """Guards against changes dropped until old revisions are passed again."""
    feed = _make_feed()
    feed.take(_make_message(since=99, revision=100, era=1))
    here = positions.Position(era=1, revision=100)
    assert feed.wait("servers", here, 0.0).position == here
    feed.take(_make_message(since=80, revision=81, era=2, number=2))
    assert feed.wait("servers", here, 0.0) is None
    again = positions.Position(era=2, revision=80)
    assert feed.wait("servers", again, 0.0).position.revision == 81


def test_proof_of_an_earlier_era_changes_nothing():
    """Guards against belief in a store that has come back from a copy since."""
    feed, below = _make_feed(), _make_feed(origin="r-2/1")
    feed.add_follower(_Channel(below))
    feed.take(_make_message(era=2))
    feed.take(_make_message(origin="late", kind="evacuations", era=1))
    assert not feed.is_fresh("evacuations")
    assert not below.is_fresh("evacuations")


def test_era_is_told_to_those_below_at_once():
    """Guards against routers that rely on proofs of a store that is gone."""
    eras = positions.Eras()
    feed = store_feed.StoreFeed(find_lag=lambda: 0.0, origin="r-1/1", eras=eras)
    below = _make_feed(origin="r-2/1")
    feed.add_follower(_Channel(below))
    feed.take(_make_message(era=1))
    assert below.is_fresh("servers")
    eras.note(2)
    assert not feed.is_fresh("servers")
    assert not below.is_fresh("servers")


def test_message_without_an_era_is_understood():
    """Guards against a fleet in which some routers tell no era yet."""
    line = b'["feed","servers",1,1,[],0.0,"root",1]'
    feed = _make_feed()
    feed.take(peer_messages.decode(line))
    assert feed.is_fresh("servers")


def test_age_of_a_proof_grows_on_its_way():
    """A router in the tree reads late what it passes on."""
    below = _make_feed(origin="r-2/1")
    late = _make_feed(lag=0.9)
    late.add_follower(_Channel(below))
    late.take(_make_message(age=0.5))
    assert late.is_fresh("servers")
    assert below.is_fresh("servers")
    late.take(_make_message(age=0.7, number=2, kind="evacuations"))
    assert not below.is_fresh("evacuations")


@pytest.fixture
def chain(store, monkeypatch):
    """Four routers, each of which hears of changes from the one before."""
    monkeypatch.setattr(relay_tree, "FAN_OUT", 1)
    monkeypatch.setattr(store_feed, "LEAST_ROUTERS", 4)
    server = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.put("servers", "e-0", server.describe())
    routers = {name: fakes.start_router(store, name) for name in NAMES}
    for router in routers.values():
        fakes.wait_for(
            lambda known=router: known.membership.routers == len(NAMES), 8.0
        )
    fakes.wait_for(lambda: len(_find_followers(routers)) == 3)
    order = hosts.order_hosts("/store", dict.fromkeys(NAMES, 1.0))
    gevent.sleep(2.0)
    # What each had asked the store before it followed is answered by now.
    store.put("servers", "e-0", server.describe(Slots=9))
    store.put("config", "main", fakes.make_manifest(version=2))
    for router in routers.values():
        fakes.wait_for(lambda known=router: _sees(known, "e-0", slots=9))
    gevent.sleep(1.0)
    followed = [routers[name].placing.links.followed for name in order]
    assert [link and link.name for link in followed] == [None, *order[:3]]
    return [routers[name] for name in order]


def test_change_reaches_all_along_a_chain(store, chain):
    """Only the first router asks the store; each passes changes on."""
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    before = [router.store.calls for router in chain]
    for slots in range(1, 4):
        store.put("servers", "e-1", server.describe(Slots=slots))
        for router in chain:
            fakes.wait_for(
                lambda known=router, count=slots: _sees(
                    known, "e-1", slots=count
                ),
                0.6,
            )
    asked = [
        router.store.calls > calls
        for router, calls in zip(chain, before, strict=True)
    ]
    assert asked == [True, False, False, False]


def test_those_below_a_router_that_passes_nothing_on_ask_the_store(
    store, chain
):
    """A router amid the tree stands still; its connections stay.

    The one below it has no fresh proof any more, asks the store and passes
    that on, so the last one sees a server leave in time as well.
    """
    chain[1].discovery._feed._send = lambda line: None
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    store.put("servers", "e-1", server.describe(Slots=3))
    for router in chain[2:]:
        fakes.wait_for(lambda known=router: _sees(known, "e-1", slots=3), 1.9)


def test_those_below_a_router_that_died_hear_from_another(store, chain):
    """A router amid the tree is killed; the tree is mended within a second."""
    third = chain[2].placing.links
    for channel in list(chain[1].peer_host._waiting_by_channel):
        channel.close()
    chain[1].peer_host.serve = lambda socket, address: socket.close()
    fakes.wait_for(
        lambda: (
            third.followed and third.followed.name == chain[0].settings.name
        ),
        1.0,
    )
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    store.put("servers", "e-1", server.describe(Slots=3))
    for router in chain[2:]:
        fakes.wait_for(lambda known=router: _sees(known, "e-1", slots=3), 1.9)
