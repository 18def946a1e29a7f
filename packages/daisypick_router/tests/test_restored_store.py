"""Routers whose store is restored from an older backup."""

import fakes
import gevent
import pytest

from daisypick_router import store_feed

_MEMBERS = "daisypick-routers"
_REVOKED = [{"Name": "farm", "ApiKeys": ["k2"]}]


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.era = 1
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
    found = fakes.start_router(store)
    fakes.wait_for(lambda: "r-1" in store.objects.get(_MEMBERS, {}))
    return found


def _advance(store, count):
    """Increase the store's revision by ``count``."""
    for number in range(count):
        store.put("other", "o-1", {"number": number})


def _wait_for_lists(router):
    """Wait until the router has read the lists of the restored store."""
    fakes.wait_for(lambda: router.store.eras.newest == 2)
    fakes.wait_for(lambda: not router.discovery._hold._unread_lists)


def _wait_for_version(router, version):
    fakes.wait_for(lambda: router.discovery.configuration.version == version)


def _count_followers(routers):
    links = [router.placing.links for router in routers]
    return sum(link.feed_source is not None for link in links)


def _expire_hold(router):
    router.discovery._hold._until = 0.0


def _is_ready(router, name):
    ready = router.discovery.directory.find_ready("desk")
    return name in [server.name for server in ready]


def test_key_that_was_revoked_stays_revoked(store, router):
    """Guards against a configuration that reverts with the store."""
    backup = store.copy()
    store.put("config", "main", fakes.make_manifest(2, Tenants=_REVOKED))
    _wait_for_version(router, 2)
    store.restore(backup)
    fakes.wait_for(lambda: router.store.eras.newest == 2)
    gevent.sleep(1.5)
    assert fakes.call(router, "/look/1").status == 401


def test_change_after_a_restore_is_applied(store, router):
    """Guards against missed changes at revisions that are issued again."""
    backup = store.copy()
    _advance(store, 40)
    store.put("config", "main", fakes.make_manifest(2))
    _wait_for_version(router, 2)
    store.restore(backup)
    store.put("config", "main", fakes.make_manifest(3, Tenants=_REVOKED))
    _advance(store, 60)
    _wait_for_version(router, 3)


def test_change_after_a_restore_is_applied_by_all(store, server, monkeypatch):
    """Guards against confirmations from before the restore being trusted."""
    monkeypatch.setattr(store_feed, "MIN_ROUTERS", 4)
    routers = [fakes.start_router(store, f"r-{n}") for n in range(4)]
    for router in routers:
        fakes.wait_for(lambda peer=router: peer.membership.routers == 4, 8.0)
    fakes.wait_for(lambda: _count_followers(routers) == 3)
    backup = store.copy()
    _advance(store, 100)
    store.put("config", "main", fakes.make_manifest(2))
    for router in routers:
        _wait_for_version(router, 2)
    store.restore(backup)
    store.put("config", "main", fakes.make_manifest(3, Tenants=_REVOKED))
    for router in routers:
        _wait_for_version(router, 3)


def test_draining_server_gets_no_new_requests(store, server, router):
    """Guards against requests to servers whose draining was lost."""
    backup = store.copy()
    store.put("servers", "d-1", server.describe(State="draining"))
    fakes.wait_for(lambda: not _is_ready(router, "d-1"))
    store.restore(backup)
    _wait_for_lists(router)
    assert not _is_ready(router, "d-1")
    _expire_hold(router)
    fakes.wait_for(lambda: _is_ready(router, "d-1"))


def test_removed_server_gets_no_new_requests(store, server, router):
    """Guards against requests to servers that only the backup lists."""
    backup = store.copy()
    store.remove("servers", "d-1")
    fakes.wait_for(lambda: not _is_ready(router, "d-1"))
    store.restore(backup)
    _wait_for_lists(router)
    assert not _is_ready(router, "d-1")
    store.put("servers", "d-1", server.describe(Slots=5))
    fakes.wait_for(lambda: _is_ready(router, "d-1"))


def test_evacuated_data_centre_stays_out_of_service(store, router):
    """Guards against use of a data centre whose evacuation was lost."""
    backup = store.copy()
    store.put("evacuations", "a", {})
    fakes.wait_for(lambda: not _is_ready(router, "d-1"))
    store.restore(backup)
    _wait_for_lists(router)
    assert not _is_ready(router, "d-1")
    store.put("evacuations", "a", {})
    fakes.wait_for(lambda: "a" in router.discovery._hold._listed_data_centres)
    _expire_hold(router)
    fakes.wait_for(lambda: not router.discovery._hold.is_on)
    assert not _is_ready(router, "d-1")
    store.remove("evacuations", "a")
    fakes.wait_for(lambda: _is_ready(router, "d-1"))


def test_server_missing_from_the_backup_stays_in_use(store, server, router):
    """Guards against lost capacity until a server rewrites its entry."""
    backup = store.copy()
    del backup[1]["servers"]["d-1"]
    store.restore(backup)
    # A server rewrites its entry within two seconds, while a watch of another
    # kind that began just after the restore may take longer.
    fakes.wait_for(lambda: router.store.eras.newest == 2)
    fakes.wait_for(
        lambda: "servers" not in router.discovery._hold._unread_lists, 2.0
    )
    assert _is_ready(router, "d-1")
    store.put("servers", "d-1", server.describe())
    gevent.sleep(2.5)
    assert _is_ready(router, "d-1")


def test_router_rewrites_its_entry_after_a_restore(store, router):
    """Guards against routers that others do not count for seconds."""
    backup = store.copy()
    del backup[1][_MEMBERS]["r-1"]
    store.restore(backup)
    fakes.wait_for(lambda: "r-1" in store.objects.get(_MEMBERS, {}), 2.0)


def test_response_of_an_earlier_era_is_rejected(store, router):
    """Guards against a late response from before the store's restore."""
    router.store.eras.note(5)
    found = router.store.list_kind("servers")
    assert found.code.number == 7001
    assert router.store.eras.newest == 5
