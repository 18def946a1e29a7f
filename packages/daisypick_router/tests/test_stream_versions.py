"""Streams of a service whose servers have several software versions."""

import time

import fakes
import gevent
import pytest

_STREAMS = 8
_WAIT_SECONDS = 5.0


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


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
    for number in range(4):
        attempt = f"a-{number}"
        _begin(routers[0], attempt)
        _find_server(servers, attempt).crash()
        answer = _take_up(routers[1], attempt)
        assert len(_find_versions(servers, attempt)) == 1
        assert answer.status == 200
        assert b"id: 5" in answer.body


def test_stream_taken_up_by_its_router_stays_at_its_version(store):
    """Guards against events of two versions after a server has failed."""
    servers = _start_engines(store, _break_after_two, ["v1", "v2", "v2"])
    router = fakes.start_router(store)
    answers = {}
    for number in range(_STREAMS):
        attempt = f"a-{number}"
        answers[attempt] = fakes.call(router, "/visit/1", attempt=attempt)
    found = {attempt: _find_versions(servers, attempt) for attempt in answers}
    assert all(len(versions) == 1 for versions in found.values())
    whole = [found[name] for name in answers if answers[name].whole]
    assert {"v2"} in whole
    assert {"v1"} not in whole


def test_stream_of_an_unknown_version_is_refused(store):
    """Guards against a guess where nobody knows the version of a stream."""
    servers = _start_engines(store, _hold_after_two, ["v1", "v2", "v1", "v2"])
    router = fakes.start_router(store)
    began_at = time.monotonic()
    answer = _take_up(router, "a-unknown")
    assert answer.status == 503
    assert time.monotonic() - began_at < 1.0
    assert not any(server.requests for server in servers)
