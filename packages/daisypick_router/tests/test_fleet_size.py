"""A router's cost per event does not grow with the fleet."""

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


def test_change_of_one_server_does_not_check_all_others(store, monkeypatch):
    """Guards against routers that are fully busy with server updates.

    Each changed entry made every router iterate over all of them: at start-up
    2 s of CPU time with 1,000 servers and 21 s with 3,000.
    """
    engine = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    for number in range(_SERVERS):
        store.put("servers", f"e-{number}", engine.describe())
    router = fakes.start_router(store, "r-1")
    directory = router.discovery.directory
    fakes.wait_for(lambda: len(directory.find_ready("assist")) == _SERVERS)
    checks = 0
    is_available = directories.Directory.is_available

    def _count(known, server):
        nonlocal checks
        checks += 1
        return is_available(known, server)

    monkeypatch.setattr(directories.Directory, "is_available", _count)
    store.put("servers", "e-7", engine.describe(Slots=5))
    fakes.wait_for(lambda: directory.server_by_name["e-7"].slots == 5)
    fakes.wait_for(lambda: checks > 0)
    assert checks < 10
    store.put("servers", "e-8", engine.describe(State="draining"))
    fakes.wait_for(lambda: directory.server_by_name["e-8"].draining)
    assert len(directory.find_ready("assist")) == _SERVERS - 1


def test_request_to_a_plain_service_compares_a_sample_of_servers(
    store, monkeypatch
):
    """Guards against a cost per request that grows with the service."""
    desk = fakes.FakeServer("d-0", "desk", fakes.answer_ok)
    for number in range(_SERVERS):
        store.put("servers", f"d-{number}", desk.describe())
    router = fakes.start_router(store, "r-1")
    directory = router.discovery.directory
    fakes.wait_for(lambda: len(directory.find_ready("desk")) == _SERVERS)
    checks = 0
    is_ejected = outcomes.Outcomes.is_ejected

    def _count(known, server, now):
        nonlocal checks
        checks += 1
        return is_ejected(known, server, now)

    monkeypatch.setattr(outcomes.Outcomes, "is_ejected", _count)
    fakes.call(router, "/look/1")
    assert 0 < checks <= 3 * 32


def test_list_of_many_pages_is_read_despite_refused_calls(store):
    """Guards against routers that never get a server list after a restart.

    All routers of a large fleet start at once and each read a list of dozens
    of pages. The store refuses some of these calls. A router that restarts at
    the first page after each refusal never finishes.
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
