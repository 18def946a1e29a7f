"""What a router spends does not grow with the fleet before it."""

import fakes
import pytest

from daisypick_core.serving import directory as directories
from daisypick_core.serving import outcomes

_SERVERS = 300


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


def test_change_of_one_server_costs_no_look_at_all_others(store, monkeypatch):
    """Guards against routers that are busy with the list of servers only.

    Each of 1,000 entries that changed made every router go through all of
    them, 2 s of its processor at the start, and 21 s before 3,000.
    """
    engine = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    for number in range(_SERVERS):
        store.put("servers", f"e-{number}", engine.describe())
    router = fakes.start_router(store, "r-1")
    directory = router.discovery.directory
    fakes.wait_for(lambda: len(directory.find_ready("assist")) == _SERVERS)
    looks = 0
    may_get_work = directories.Directory.may_get_work

    def _count(known, server):
        nonlocal looks
        looks += 1
        return may_get_work(known, server)

    monkeypatch.setattr(directories.Directory, "may_get_work", _count)
    store.put("servers", "e-7", engine.describe(Slots=5))
    fakes.wait_for(lambda: directory.server_by_name["e-7"].slots == 5)
    fakes.wait_for(lambda: looks > 0)
    assert looks < 10
    store.put("servers", "e-8", engine.describe(State="draining"))
    fakes.wait_for(lambda: directory.server_by_name["e-8"].draining)
    assert len(directory.find_ready("assist")) == _SERVERS - 1


def test_request_to_a_plain_service_compares_some_servers(store, monkeypatch):
    """Guards against a request that costs as much as its service is large."""
    desk = fakes.FakeServer("d-0", "desk", fakes.answer_ok)
    for number in range(_SERVERS):
        store.put("servers", f"d-{number}", desk.describe())
    router = fakes.start_router(store, "r-1")
    directory = router.discovery.directory
    fakes.wait_for(lambda: len(directory.find_ready("desk")) == _SERVERS)
    looks = 0
    is_aside = outcomes.Outcomes.is_aside

    def _count(known, server, now):
        nonlocal looks
        looks += 1
        return is_aside(known, server, now)

    monkeypatch.setattr(outcomes.Outcomes, "is_aside", _count)
    fakes.call(router, "/look/1")
    assert 0 < looks <= 3 * 32


def test_long_list_is_read_though_some_of_its_calls_are_refused(store):
    """Guards against routers that never know any server after a restart.

    All routers of a large fleet start at once and read a list of dozens of
    pages each, more calls than the store takes; it refuses some. One refused
    page made a router begin at the first one.
    """
    engine = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.page = 10
    for number in range(_SERVERS):
        store.put("servers", f"e-{number}", engine.describe())
    answer = store._answer
    calls = 0

    def _refuse_some(method, target, body):
        nonlocal calls
        if "AfterRev" in target:
            calls += 1
            if calls % 10 == 0:
                return 429, {}
        return answer(method, target, body)

    store._answer = _refuse_some
    router = fakes.start_router(store, "r-1")
    directory = router.discovery.directory
    fakes.wait_for(lambda: len(directory.find_ready("assist")) == _SERVERS, 3.0)
