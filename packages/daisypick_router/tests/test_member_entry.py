"""The router's entry in the list of routers when the router stops."""

import json

import fakes
import gevent
import pytest

from daisypick_platform import position as positions
from daisypick_router import membership as memberships
from daisypick_router import process


class _StrictStore(fakes.FakeStore):
    """A store that deletes an object only at the revision given.

    The next ``failing_deletions`` get an error instead. The next
    ``lost_answers`` writes of an entry are applied, and their connection ends.
    New entries wait while ``creations_held`` is true.
    """

    failing_deletions = 0
    lost_answers = 0
    creations_held = False
    creations = 0

    def _answer(self, method, target, body):
        if method == "POST" and memberships.KIND in target:
            self.creations += 1
            while self.creations_held:
                gevent.sleep(0.005)
        if method == "DELETE" and self.failing_deletions:
            self.failing_deletions -= 1
            return 503, {}
        path, _, query = target.partition("?")
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        stored = self.objects.get(kind, {}).get(name)
        if method == "DELETE" and stored is not None:
            revision = int(query.partition("Revision=")[2])
            if stored["Meta"]["Revision"] != revision:
                return 409, stored
        is_known = method == "PUT" and stored is not None
        if is_known and json.loads(body)["Spec"] == stored["Spec"]:
            return 200, stored
        status, answer = super()._answer(method, target, body)
        is_write = method in ("POST", "PUT") and status < 300
        if kind == memberships.KIND and is_write and self.lost_answers:
            self.lost_answers -= 1
            raise gevent.GreenletExit
        return status, answer


@pytest.fixture
def store(monkeypatch):
    monkeypatch.setattr(process, "_LISTEN_AFTER_STOP_SECONDS", 2.0)
    store = _StrictStore()
    store.put("config", "main", fakes.make_manifest())
    yield store
    store.server.stop()


def _find_entry(store):
    return store.objects.get(memberships.KIND, {}).get("r-1")


def _stop(router):
    router.begin_stop()
    assert router.stopped.wait(10.0)


def test_router_that_stops_during_its_start_leaves_no_entry(store):
    """Guards against a router that is counted after it was stopped."""
    router = fakes.make_router(store)
    router.start()
    _stop(router)
    assert _find_entry(store) is None


def test_router_that_stops_before_it_lists_itself_leaves_no_entry(store):
    """Guards against an entry that is left because no list showed it."""
    router = fakes.make_router(store)
    router.start()
    fakes.wait_for(lambda: _find_entry(store))
    assert "r-1" not in router.membership.member_by_name
    _stop(router)
    assert _find_entry(store) is None


def test_router_that_stops_after_a_renewal_leaves_no_entry(store):
    """Guards against a deletion at the revision before the last renewal."""
    router = fakes.make_router(store)
    router.start()
    membership = router.membership
    fakes.wait_for(lambda: "r-1" in membership.member_by_name)
    # The list is not read again.
    membership._apply_list = lambda listing: None
    listed = membership.member_by_name["r-1"].position.revision
    membership._renewal_due.set()
    fakes.wait_for(lambda: _find_entry(store)["Meta"]["Revision"] > listed)
    fakes.wait_for(lambda: not membership._renewal_due.is_set())
    _stop(router)
    assert _find_entry(store) is None


def test_stopping_router_does_not_write_its_entry_again(store):
    """Guards against a renewal that comes due while the router stops."""
    router = fakes.make_router(store)
    router.start()
    fakes.wait_for(lambda: "r-1" in router.membership.member_by_name)
    router.begin_stop()
    fakes.wait_for(lambda: _find_entry(store) is None)
    router.membership._renewal_due.set()
    assert router.stopped.wait(10.0)
    assert _find_entry(store) is None


def test_deletion_that_fails_is_repeated_while_the_router_stops(store):
    """Guards against an entry left because the store failed for a moment."""
    router = fakes.make_router(store)
    router.start()
    fakes.wait_for(lambda: "r-1" in router.membership.member_by_name)
    store.failing_deletions = 1
    _stop(router)
    assert store.failing_deletions == 0
    assert _find_entry(store) is None


def test_entry_is_deleted_although_the_answer_to_its_write_was_lost(store):
    """Guards against an entry left because its revision is not known."""
    store.lost_answers = 1
    router = fakes.make_router(store)
    router.start()
    fakes.wait_for(lambda: _find_entry(store))
    _stop(router)
    assert _find_entry(store) is None


def test_entry_is_deleted_although_a_renewals_answer_was_lost(store):
    """Guards against deletions at the revision before a lost answer."""
    router = fakes.make_router(store)
    router.start()
    membership = router.membership
    fakes.wait_for(lambda: membership._written_at is not None)
    # The list is not read again in the time of the test, as in most of the 8 s.
    membership._apply_list = lambda listing: None
    written = membership._written_at.revision
    store.lost_answers = 1
    membership._renewal_due.set()
    fakes.wait_for(lambda: _find_entry(store)["Meta"]["Revision"] > written)
    _stop(router)
    assert _find_entry(store) is None


def test_late_write_is_deleted_although_the_first_deletion_fails(store):
    """Guards against a late write whose deletion is tried only once."""
    store.failing_deletions = 1
    store.creations_held = True
    router = fakes.make_router(store)
    router.start()
    fakes.wait_for(lambda: store.creations)
    router.begin_stop()
    fakes.wait_for(lambda: router.membership._is_leaving)
    store.creations_held = False
    assert router.stopped.wait(10.0)
    assert store.failing_deletions == 0
    assert _find_entry(store) is None


def test_late_deletion_spares_the_entry_of_the_next_process(store):
    """Guards against equal writes of two processes of one name."""
    first, second = (fakes.make_router(store) for _ in range(2))
    for number, router in enumerate((first, second)):
        # Processes draw this by themselves; routers of tests share a seed.
        router.membership._process = f"process-{number}"
        written = router.membership._write_entry()
        router.membership._written_at = positions.Position(
            era=store.era, revision=written.revision
        )
    first.membership.leave()
    assert _find_entry(store) is not None


def test_leaving_router_writes_no_new_entry(store):
    """Guards against an entry that others see while its router stops."""
    router = fakes.make_router(store)
    router.membership.leave()
    router.membership.start()
    fakes.wait_for(lambda: router.membership.names)
    assert store.creations == 0


def test_router_that_starts_writes_its_entry_by_one_call(store):
    """Guards against a call of each start that can only fail."""
    router = fakes.start_router(store, "r-1")
    fakes.wait_for(lambda: "r-1" in store.objects["daisypick-routers"])
    written = [
        line
        for line in router.metrics.write().splitlines()
        if 'kind="daisypick-routers",reason="create"' in line
        or 'kind="daisypick-routers",reason="replace"' in line
    ]
    assert written == [
        "daisypick_store_calls_total"
        '{kind="daisypick-routers",reason="create",role="alone"} 1'
    ]
