"""Routers whose connections to the store went silent, or that lost it."""

import time

import fakes
import pytest

from daisypick_router import store_feed

# A router counts as connected this long after its connections went silent, and
# has to act on all that was acknowledged two seconds before.
_CONNECTED_AFTER_SECONDS = 3.0
_TENANTS = [{"Name": "farm", "ApiKeys": [fakes.KEY, "k2"]}]


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


@pytest.fixture
def server(store):
    found = fakes.FakeServer("d-1", "desk", fakes.answer_ok)
    store.put("servers", found.name, found.describe())
    return found


@pytest.fixture
def router(store, server):
    return fakes.start_router(store)


def _has_version(router, version):
    return router.discovery.configuration.version == version


def test_change_is_in_force_although_the_watch_is_silent(store, router):
    """Guards against a key refused by an older version after a silent watch."""
    store.silence()
    until = time.monotonic() + _CONNECTED_AFTER_SECONDS
    store.put("config", "main", fakes.make_manifest(2, Tenants=_TENANTS))
    fakes.wait_for(lambda: _has_version(router, 2), until - time.monotonic())
    assert fakes.call(router, "/look/1", key="k2").status == 200


def test_draining_is_known_although_the_watch_is_silent(store, server, router):
    """Guards against requests to a draining server after a silent watch."""
    store.silence()
    until = time.monotonic() + _CONNECTED_AFTER_SECONDS
    store.put("servers", server.name, server.describe(State="draining"))
    fakes.wait_for(
        lambda: not router.discovery.directory.find_ready("desk"),
        until - time.monotonic(),
    )


def test_change_is_in_force_although_feed_and_store_are_silent(
    store, server, monkeypatch
):
    """Guards against time-outs of the feed and of the watch that add up."""
    monkeypatch.setattr(store_feed, "MIN_ROUTERS", 4)
    routers = [fakes.start_router(store, f"r-{n}") for n in range(4)]
    for router in routers:
        fakes.wait_for(lambda peer=router: peer.membership.routers == 4, 8.0)
    fakes.wait_for(
        lambda: (
            sum(
                router.placing.links.feed_source is not None
                for router in routers
            )
            == 3
        )
    )
    # Each of them has just been told that it lacks nothing.
    store.put("config", "main", fakes.make_manifest(2))
    for router in routers:
        fakes.wait_for(lambda peer=router: _has_version(peer, 2))
    for router in routers:
        monkeypatch.setattr(router.discovery._feed, "publish", lambda *_: None)
    store.silence()
    until = time.monotonic() + _CONNECTED_AFTER_SECONDS
    store.put("config", "main", fakes.make_manifest(3))
    for router in routers:
        fakes.wait_for(
            lambda peer=router: _has_version(peer, 3), until - time.monotonic()
        )


@pytest.mark.parametrize(
    ("path", "key"), [("/look/1", "k2"), ("/nowhere/1", fakes.KEY)]
)
def test_refusal_is_not_final_while_the_store_is_away(store, router, path, key):
    """Guards against 401 and 404 by a version that nothing confirms."""
    store.refuse()
    fakes.wait_for(
        lambda: fakes.call(router, path, key=key).status == 503,
        _CONNECTED_AFTER_SECONDS + 0.5,
    )
    store.down = False
    fakes.wait_for(
        lambda: fakes.call(router, path, key=key).status in (401, 404)
    )
