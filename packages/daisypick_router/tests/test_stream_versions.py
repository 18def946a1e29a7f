"""Streams of a service whose servers have several software versions."""

import time

import fakes
import gevent
import gevent.event
import pytest

from daisypick_router import answers
from daisypick_router import stream_versions

_STREAMS = 8
_WAIT_SECONDS = 5.0


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


def _stream_slowly(server, connection, first, headers, body):
    fakes.begin_stream(server, connection, headers)
    for number in range(1, 6):
        fakes.send_events(connection, (number,))
        gevent.sleep(0.06)
    fakes.end_stream(connection)


def _hold_after_two(server, connection, first, headers, body):
    """Send the first two events and no more, or the rest of them."""
    if "last-event-id" in headers:
        return fakes.stream_five(server, connection, first, headers, body)
    fakes.begin_stream(server, connection, headers)
    fakes.send_events(connection, (1, 2))
    gevent.sleep(_WAIT_SECONDS)
    return "close"


def _break_after_two(server, connection, first, headers, body):
    if "last-event-id" in headers:
        return fakes.stream_five(server, connection, first, headers, body)
    fakes.begin_stream(server, connection, headers)
    fakes.send_events(connection, (1, 2))
    return "close"


def _start_engines(store, script, versions):
    servers = []
    for number, version in enumerate(versions):
        server = fakes.FakeServer(f"e-{number}", "assist", script)
        server.version = version
        store.put("servers", server.name, server.describe(Version=version))
        servers.append(server)
    return servers


def _begin(router, attempt):
    """Receive the first two events of a stream and leave."""
    with fakes.connect(router) as connection:
        connection.sendall(
            fakes.write_request("/visit/1", attempt=attempt, patience="9000")
        )
        data = b""
        while b"id: 2\n" not in data:
            data += connection.recv(65536)


def _take_up(router, attempt, number=0):
    return fakes.call(
        router,
        "/visit/1",
        attempt=f"{attempt}-again-{number}",
        patience="9000",
        Last_Event_Id="2",
        Resumes=attempt,
    )


def _find_versions(servers, attempt):
    """Return the versions that got a stream, over all attempts at it."""
    return {
        server.version
        for server in servers
        for headers in server.requests
        if headers["daisypick-attempt-id"].startswith(attempt)
    }


def _wait_for_members(routers):
    for router in routers:
        fakes.wait_for(
            lambda peer=router: peer.membership.routers == len(routers), 8.0
        )


def _find_server(servers, attempt):
    """Return the server that began a stream."""
    (found,) = (
        server
        for server in servers
        if any(
            headers["daisypick-attempt-id"] == attempt
            for headers in server.requests
        )
    )
    return found


def test_stream_taken_up_at_another_router_stays_at_its_version(store):
    """Guards against events of two versions after a change of the router."""
    servers = _start_engines(store, _hold_after_two, ["v1", "v2"] * 4)
    routers = [fakes.start_router(store, name) for name in ("r-1", "r-2")]
    _wait_for_members(routers)
    for number in range(3):
        attempt = f"a-{number}"
        _begin(routers[0], attempt)
        _find_server(servers, attempt).crash()
        answer = _take_up(routers[1], attempt)
        assert len(_find_versions(servers, attempt)) == 1
        assert answer.status == 200
        assert b"id: 5" in answer.body


@pytest.mark.parametrize("names_attempt", [True, False])
def test_stream_of_a_version_that_left_does_not_go_on_after_all_routers_ended(
    store, names_attempt
):
    """Guards against events of two versions after a loss of all routers."""
    (old,) = _start_engines(store, _hold_after_two, ["v1"])
    router = fakes.start_router(store)
    _begin(router, "a-0")
    router.begin_stop()
    (_, new) = _start_engines(store, _hold_after_two, ["v1", "v2"])
    store.remove("servers", old.name)
    again = fakes.start_router(store, "r-2")
    fakes.wait_for(lambda: again.discovery.directory.find_ready("assist"))
    assert set(again.discovery.directory.server_by_name) == {new.name}
    options = {"Resumes": "a-0"} if names_attempt else {}
    answer = fakes.call(
        again,
        "/visit/1",
        attempt="a-0-again",
        patience="9000",
        Last_Event_Id="2",
        **options,
    )
    assert answer.status == 503
    assert not new.requests


def test_stream_taken_up_waits_for_a_place_of_its_version(store):
    """Guards against streams lost while their version is busy (LOST)."""
    busy = gevent.event.Event()

    def _hold_until_free(server, connection, first, headers, body):
        if server.name == "e-1" and not busy.is_set():
            fakes.begin_stream(server, connection, headers)
            fakes.send_events(connection, (1,))
            busy.wait()
            fakes.send_events(connection, (2, 3, 4, 5))
            fakes.end_stream(connection)
            return None
        return _hold_after_two(server, connection, first, headers, body)

    servers = _start_engines(store, _hold_until_free, ["v1"])
    router = fakes.start_router(store)
    _begin(router, "a-0")
    (other,) = _start_engines(store, _hold_until_free, ["v1", "v1"])[1:]
    store.put("servers", "e-1", other.describe(Version="v1", Slots=1))
    directory = router.discovery.directory
    fakes.wait_for(lambda: "e-1" in directory.server_by_name)
    servers[0].crash()
    store.remove("servers", "e-0")
    fakes.wait_for(lambda: "e-0" not in directory.server_by_name)
    first = gevent.spawn(fakes.call, router, "/visit/2", attempt="long")
    fakes.wait_for(lambda: other.requests)
    again = gevent.spawn(_take_up, router, "a-0")
    gevent.sleep(0.6)
    assert not again.ready()
    busy.set()
    assert again.get().status == 200
    assert first.get().status == 200


@pytest.mark.parametrize(
    ("versions", "is_whole"),
    [(["v2", "v1", "v2"], True), (["v1", "v2", "v2"], False)],
)
def test_stream_taken_up_by_its_router_stays_at_its_version(
    store, versions, is_whole
):
    """Guards against events of two versions after a server has failed.

    Without another server of its version, the stream breaks off.
    """
    servers = _start_engines(store, _break_after_two, versions)
    router = fakes.start_router(store)
    for number in range(_STREAMS):
        attempt = f"a-{number}"
        # Requests that are alike would count as one that crashes servers.
        answer = fakes.call(router, f"/visit/{number}", attempt=attempt)
        assert _find_versions(servers, attempt) == {versions[0]}
        assert answer.whole == is_whole


def test_stream_of_an_unknown_version_is_refused(store):
    """Guards against a guess where nobody knows the version of a stream."""
    servers = _start_engines(store, _hold_after_two, ["v1", "v2", "v1", "v2"])
    router = fakes.start_router(store)
    began_at = time.monotonic()
    answer = _take_up(router, "a-unknown")
    assert answer.status == 503
    assert time.monotonic() - began_at < 1.0
    assert not any(server.requests for server in servers)


def test_stream_of_a_router_that_is_gone_is_taken_up(store):
    """Guards against lost streams, or a guess, once their router was killed."""
    servers = _start_engines(store, _hold_after_two, ["v1", "v2"] * 2)
    routers = [fakes.start_router(store, f"r-{n}") for n in range(3)]
    _wait_for_members(routers)
    _begin(routers[0], "a-1")
    gevent.sleep(0.1)
    for router in routers[1:]:
        link = router.placing.links.find_link("r-0")
        link.stop()
    answer = _take_up(routers[2], "a-1")
    assert answer.status == 200
    assert len(_find_versions(servers, "a-1")) == 1


def test_stream_of_the_only_version_is_taken_up(store, monkeypatch):
    """Guards against refusals where a service has had one version only."""
    monkeypatch.setattr(stream_versions, "_RETURN_SECONDS", -1.0)
    _start_engines(store, _hold_after_two, ["v1", "v1"])
    router = fakes.start_router(store)
    assert _take_up(router, "a-unknown").status == 503
    gevent.sleep(0.6)
    answer = _take_up(router, "a-unknown", 1)
    assert answer.status == 200
    assert b"id: 5" in answer.body


def test_only_version_of_an_old_list_is_not_trusted(store, monkeypatch):
    """Guards against a guess by a list that may lack a new version."""
    monkeypatch.setattr(stream_versions, "_RETURN_SECONDS", -1.0)
    _start_engines(store, _hold_after_two, ["v1", "v1"])
    router = fakes.start_router(store)
    gevent.sleep(0.6)
    store.refuse()
    fakes.wait_for(lambda: router.discovery.server_list_age > 3.0, 5.0)
    assert _take_up(router, "a-unknown").status == 503


def test_new_version_begins_no_stream_before_all_know_it(store):
    """Guards against a router that infers a version that is not the only one.

    Streams that may not be resumed use its servers at once.
    """
    (old,) = _start_engines(store, _hold_after_two, ["v1"])
    router = fakes.start_router(store)
    new = fakes.FakeServer("e-new", "assist", fakes.stream_five)
    old.script = fakes.stream_five
    store.put("servers", "e-new", new.describe(Version="v2"))
    fakes.wait_for(lambda: "e-new" in router.discovery.directory.server_by_name)
    store.put("servers", "e-0", old.describe(Version="v1", State="draining"))
    fakes.wait_for(
        lambda: len(router.discovery.directory.find_ready("assist")) == 1
    )
    assert fakes.call(router, "/visit/1", attempt="a-1").status == 503
    assert fakes.call(router, "/ask/1", attempt="a-2").status == 200
    gevent.sleep(router.discovery.max_server_list_age + 0.6)
    assert fakes.call(router, "/visit/1", attempt="a-3").status == 200


def test_silent_stream_moves_to_a_server_of_its_version(store, monkeypatch):
    """Guards against events of two versions after a silent server."""
    monkeypatch.setattr(answers, "_MIN_SILENCE_SECONDS", 0.2)
    servers = _start_engines(store, _hold_after_two, ["v1", "v2", "v2", "v1"])
    router = fakes.start_router(store)
    for number in range(4):
        answer = fakes.call(
            router, "/visit/1", attempt=f"a-{number}", patience="4000"
        )
        assert answer.whole
        assert len(_find_versions(servers, f"a-{number}")) == 1


def test_stream_is_registered_once(store):
    """Guards against a message to other routers for each event of a stream."""
    _start_engines(store, _stream_slowly, ["v1", "v2"])
    routers = [fakes.start_router(store, f"r-{n}") for n in range(2)]
    _wait_for_members(routers)
    messages = []
    routers[1].stream_registry.receive = messages.append
    assert fakes.call(routers[0], "/visit/1", attempt="a-1").whole
    gevent.sleep(0.3)
    assert [message.attempts for message in messages] == [("a-1",)]
