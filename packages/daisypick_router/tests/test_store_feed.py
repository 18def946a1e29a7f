"""Changes of the store passed on from router to router."""

import fakes
import gevent
import pytest

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
    lag = [0.0]
    feed = store_feed.StoreFeed(find_lag=lambda: lag[0])
    message = store_feed.peer_messages.Feed(
        kind="servers", since=1, revision=1, objects=(), age=0.0
    )
    feed.take(message)
    assert feed.is_fresh("servers")
    late = store_feed.StoreFeed(find_lag=lambda: 1.6)
    late.take(message)
    assert not late.is_fresh("servers")
