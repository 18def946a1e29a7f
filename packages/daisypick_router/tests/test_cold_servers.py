"""Requests of routers to cold servers, as the servers receive them."""

import itertools
import time

import fakes
import gevent
from gevent import event
import pytest

from daisypick_http import connection as connections
from daisypick_router import membership as memberships

# A cold server handles 20 requests a second. Five routers have four each.
_ROUTERS = 5
_QUOTA = 4
_OVERLOAD = 20 * 1.5 + 5
_WAIT_SECONDS = 20.0


@pytest.fixture
def store():
    found = fakes.FakeStore()
    manifest = fakes.make_manifest()
    for route in manifest["Routes"]:
        route["TimeoutMs"] = 8000
    manifest["Services"][1]["Engine"]["Slots"] = 500
    found.put("config", "main", manifest)
    yield found
    found.server.stop()


def _list_routers(store):
    for number in range(1, _ROUTERS + 1):
        store.put(memberships.KIND, f"r-{number}", {"address": "127.0.0.1:1"})


def _start_counted(store):
    """Return one of five routers, under a name that the others know."""
    _list_routers(store)
    router = fakes.start_router(store)
    _wait_until_counted(router)
    return router


def _wait_until_counted(router):
    fakes.wait_for(
        lambda: len(router.membership.names) == _ROUTERS, _WAIT_SECONDS
    )
    fakes.wait_for(lambda: router.membership.is_counted, _WAIT_SECONDS)


def _lose_store(store, router):
    store.refuse()
    fakes.wait_for(
        lambda: router.discovery.server_list_age > 2.0, _WAIT_SECONDS
    )


def _call(router, number):
    return gevent.spawn(
        fakes.call,
        router,
        f"/ask/{number}",
        attempt=f"a-{number}",
        parts=f"p{number}:60,q{number}:40",
        patience="8000",
    )


def _find_most(times):
    """Return the most requests within any second."""
    return max(
        sum(begin <= at < begin + 1.0 for at in times) for begin in times
    )


def test_server_that_restarted_unseen_gets_at_most_the_cold_rate(store):
    """Guards against overload of a restarted server with an outdated entry."""
    server = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.put("servers", "e-0", server.describe(Slots=500))
    router = _start_counted(store)
    fakes.wait_for(
        lambda: router.discovery.directory.find_ready("assist"), _WAIT_SECONDS
    )
    _lose_store(store, router)
    numbers = itertools.count()
    calls = [_call(router, next(numbers)) for _ in range(10)]
    gevent.joinall(calls)
    assert len(server.requests) == 10
    server.crash()
    gevent.joinall([_call(router, next(numbers)) for _ in range(3)])
    server.times.clear()
    server.restart("e-0")
    calls = []
    for _ in range(120):
        calls.append(_call(router, next(numbers)))
        gevent.sleep(0.01)
    gevent.joinall(calls)
    assert 0 < _find_most(server.times) <= _QUOTA


def test_idle_connections_that_a_restart_ended_show_that_it_may_be_cold(store):
    """Guards against overload of a server restarted between two requests."""
    server = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.put("servers", "e-0", server.describe(Slots=500))
    router = _start_counted(store)
    fakes.wait_for(
        lambda: router.discovery.directory.find_ready("assist"), _WAIT_SECONDS
    )
    _lose_store(store, router)
    gevent.joinall([_call(router, number) for number in range(10)])
    server.crash()
    server.times.clear()
    server.restart("e-0")
    gevent.sleep(1.2)
    gevent.joinall([_call(router, number) for number in range(20, 70)])
    assert 0 < _find_most(server.times) <= _QUOTA


def test_router_without_a_connection_learns_of_a_restart_from_others(store):
    """Guards against overload by a router that has not seen the end."""
    server = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.put("servers", "e-0", server.describe(Slots=500))
    _list_routers(store)
    routers = [fakes.make_router(store, name) for name in ("r-1", "r-2")]
    for router in routers:
        address = f"127.0.0.1:{router.settings.peer_port}"
        store.put(memberships.KIND, router.settings.name, {"address": address})
    for router in routers:
        router.start()
    for router in routers:
        _wait_until_counted(router)
    first, second = routers
    fakes.wait_for(
        lambda: (
            first.placing.links.find_link("r-2") is not None
            and first.placing.links.find_link("r-2").is_connected
        ),
        _WAIT_SECONDS,
    )
    gevent.joinall([_call(first, number) for number in range(4)])
    # Lists of the two show different instances.
    directory = first.discovery.directory
    (listed,) = directory.find_ready("assist")
    directory.put(listed._replace(born=listed.born - 1))
    server.crash()
    _call(first, 10).join()
    restarts = second.sends.restarts
    (known,) = second.discovery.directory.find_ready("assist")
    fakes.wait_for(lambda: restarts.is_suspected(known), _WAIT_SECONDS)
    server.times.clear()
    server.restart("e-0")
    calls = []
    for number in range(100, 200):
        calls.append(_call(second, number))
        gevent.sleep(0.01)
    gevent.joinall(calls)
    assert 0 < _find_most(server.times) <= _QUOTA


def test_sound_server_is_not_limited_after_one_connection_broke(store):
    """Guards against taking each broken connection for a cold start."""
    server = fakes.FakeServer("e-0", "assist", _break_some)
    store.put("servers", "e-0", server.describe(Slots=500))
    router = _start_counted(store)
    fakes.wait_for(
        lambda: router.discovery.directory.find_ready("assist"), _WAIT_SECONDS
    )
    long_one = _call(router, "slow")
    fakes.wait_for(lambda: server.requests)
    _call(router, "break").join()
    gevent.sleep(0.3)
    server.times.clear()
    gevent.joinall([_call(router, number) for number in range(30)])
    assert len(server.times) == 30
    long_one.join()


def test_server_that_goes_on_listening_is_not_limited(store):
    """Guards against a quota of none at a server that broke one stream."""
    for number in range(40):
        store.put(memberships.KIND, f"x-{number}", {"address": "127.0.0.1:1"})
    server = fakes.FakeServer("e-0", "assist", _break_some)
    store.put("servers", "e-0", server.describe(Slots=500))
    _list_routers(store)
    router = fakes.start_router(store)
    fakes.wait_for(lambda: router.membership.is_counted, _WAIT_SECONDS)
    directory = router.discovery.directory
    fakes.wait_for(lambda: directory.find_ready("assist"), _WAIT_SECONDS)
    fakes.wait_for(lambda: not router.load.has_stalled(), _WAIT_SECONDS)
    _call(router, "cut").join()
    gevent.sleep(0.2)
    server.times.clear()
    assert _call(router, 1).get().status == 200


def _break_some(server, connection, first, headers, body):
    if b"/break" in first:
        return "close"
    if b"/cut" in first:
        fakes.begin_stream(server, connection, headers)
        fakes.send_events(connection, [1])
        return "close"
    if b"/slow" not in first:
        return fakes.stream_five(server, connection, first, headers, body)
    fakes.begin_stream(server, connection, headers)
    for number in range(1, 13):
        fakes.send_events(connection, [number])
        gevent.sleep(0.05)
    fakes.end_stream(connection)
    return None


def test_starts_held_up_before_their_send_stay_within_the_rate(
    store, monkeypatch
):
    """Guards against several windows' starts sent at once."""
    server = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.put("servers", "e-0", server.describe(Slots=500, ColdLeftMs=60_000))
    router = _start_counted(store)
    fakes.wait_for(
        lambda: router.discovery.directory.find_ready("assist"), _WAIT_SECONDS
    )
    released = event.Event()
    connect = connections.Connection._connect

    def _connect_late(self, timeout):
        connect(self, timeout)
        if self.address[1] == server.port:
            released.wait()

    monkeypatch.setattr(connections.Connection, "_connect", _connect_late)
    calls = []
    for turn in range(4):
        calls += [_call(router, 10 * turn + number) for number in range(8)]
        gevent.sleep(1.2)
    released.set()
    gevent.joinall(calls)
    assert 0 < _find_most(server.times) <= _QUOTA


def test_report_goes_on_when_the_service_of_a_cold_server_is_removed(store):
    """Guards against a report that ends with each removed service."""
    server = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.put("servers", "e-0", server.describe(ColdLeftMs=60_000))
    router = _start_counted(store)
    fakes.wait_for(
        lambda: router.discovery.directory.find_ready("assist"), _WAIT_SECONDS
    )
    assert _call(router, 1).get().status == 200
    manifest = fakes.make_manifest(2)
    manifest["Routes"] = manifest["Routes"][:2]
    manifest["Services"] = manifest["Services"][:1]
    store.put("config", "main", manifest)
    fakes.wait_for(lambda: router.discovery.configuration.version == 2)
    router.sends._report()
    known = router.discovery.directory.server_by_name["e-0"]
    assert router.sends.find_quota(known) == 0


def test_new_router_has_no_quota_at_a_suspected_server_listed_as_cold(store):
    """Guards against a failure that gives a new router a quota too early."""
    server = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.put(memberships.KIND, "r-2", {"address": "127.0.0.1:1"})
    store.put("servers", "e-0", server.describe(ColdLeftMs=60_000))
    router = fakes.start_router(store)
    directory = router.discovery.directory
    fakes.wait_for(lambda: directory.find_ready("assist"), _WAIT_SECONDS)
    fakes.wait_for(lambda: router.membership.names, _WAIT_SECONDS)
    (known,) = directory.find_ready("assist")
    router.sends.restarts.note_failure(known)
    assert not router.membership.is_counted
    assert router.sends.find_quota(known) == 0


def test_stream_read_after_a_stand_still_does_not_hide_a_restart(store):
    """Guards against a restart that happened while this process stood still."""
    server = fakes.FakeServer("e-0", "assist", _break_some)
    store.put("servers", "e-0", server.describe(Slots=500))
    router = _start_counted(store)
    directory = router.discovery.directory
    fakes.wait_for(lambda: directory.find_ready("assist"), _WAIT_SECONDS)
    router.load.record_lag(2.0, time.monotonic())
    _call(router, "cut").join()
    gevent.sleep(0.2)
    (known,) = directory.find_ready("assist")
    assert router.sends.restarts.is_suspected(known)


def test_streams_that_break_together_are_not_reported_if_the_server_runs(store):
    """Guards against reports of servers that only closed some connections."""
    server = fakes.FakeServer("e-0", "assist", _break_some)
    store.put("servers", "e-0", server.describe(Slots=500))
    router = _start_counted(store)
    directory = router.discovery.directory
    fakes.wait_for(lambda: directory.find_ready("assist"), _WAIT_SECONDS)
    fakes.wait_for(lambda: not router.load.has_stalled(), _WAIT_SECONDS)
    sent = []
    router.sends.restarts._send = sent.append
    gevent.joinall([_call(router, f"cut-{number}") for number in range(5)])
    gevent.sleep(0.3)
    (known,) = directory.find_ready("assist")
    assert not router.sends.restarts.is_suspected(known)
    assert sent == []


def _find_quotas(routers, name):
    return sum(
        router.sends.find_quota(server)
        for router in routers
        for server in [router.discovery.directory.server_by_name.get(name)]
        if server is not None
    )


def test_routers_that_start_on_an_empty_store_have_no_quota_too_many(store):
    """Guards against routers that each assume that there is no other."""
    server = fakes.FakeServer("e-0", "assist", fakes.stream_five)
    store.put("servers", "e-0", server.describe(Slots=500, ColdLeftMs=60_000))
    routers = []
    most = 0
    for number in range(_ROUTERS):
        router = fakes.make_router(store, f"r-{number + 1}")
        router.start()
        routers.append(router)
        for _ in range(10):
            gevent.sleep(0.01)
            most = max(most, _find_quotas(routers, "e-0"))
    for _ in range(100):
        gevent.sleep(0.01)
        most = max(most, _find_quotas(routers, "e-0"))
    assert most <= _OVERLOAD
