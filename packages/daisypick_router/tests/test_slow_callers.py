"""Callers that read or send slowly, beside others."""

import time

import fakes
import gevent
import pytest
import slow_peers

from daisypick_http import hold
from daisypick_http import progress
from daisypick_router import held_requests

# A stream of these is larger than the kernel's largest buffer of a socket.
_PART = b"x" * 60_000


@pytest.fixture
def store():
    found = slow_peers.make_store()
    yield found
    found.server.stop()


def _serve(store, *servers, memory_bytes=200_000_000):
    for server in servers:
        store.put("servers", server.name, server.describe(Slots=64))
    return fakes.start_router(store, memory_bytes=memory_bytes, slow_peers=True)


def _count(router, name, **labels):
    key = (name, tuple(sorted(labels.items())))
    return router.metrics._value_by_key.get(key, 0)


def test_hundred_slow_readers_leave_memory_and_time_for_others():
    """Guards against responses that fill a VM, in the kernel's buffers too.

    Others' requests stay within their latency target of 200 ms.
    """
    shown = slow_peers.measure(slow=100, rate=120_000, memory_mb=200)
    assert shown.peak_sum_mb < 160.0
    assert shown.whole == 100
    assert shown.failed == 0
    assert shown.p99 < 0.2


def test_organisation_that_does_not_read_leaves_room_for_others(store):
    """Guards against refusals of others above the limits of one."""
    server = slow_peers.make_big_server("d-1", unread_seconds=60.0)
    router = _serve(store, server, memory_bytes=60_000_000)
    address = router.settings.caller_address
    slow = [slow_peers.open_slow(address, f"s-{n}") for n in range(30)]
    fakes.wait_for(lambda: len(server.requests) == 30)
    fakes.wait_for(lambda: router.held.ledger.total > 20_000_000)
    held = router.held.ledger
    for number in range(20):
        # The head does not say how large the response will be.
        answer = fakes.call(
            router, "/look/small", method="GET", attempt=f"n-{number}"
        )
        assert answer.status == 200
        gevent.sleep(0.05)
    assert held.total <= held.hard_limit
    assert held.find_organisation_bytes("farm") == 0
    for caller in slow:
        caller.close()
    fakes.wait_for(lambda: held.total == 0)
    fakes.wait_for(lambda: not router.held._hold_by_holder)


def _stream_fast(server, connection, first, headers, body):
    """Stream 12 MB of events; one that stays unread for 2.5 s ends it."""
    fakes.begin_stream(server, connection, headers)
    connection.settimeout(2.5)
    after = int(headers.get("last-event-id", "0"))
    try:
        for number in range(after + 1, 201):
            data = b"id: %d\ndata: %b\n\n" % (number, _PART)
            connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
        fakes.end_stream(connection)
    except TimeoutError:
        server.cuts = getattr(server, "cuts", 0) + 1
        return "close"
    return None


@pytest.mark.parametrize("path", ["/ask/1", "/visit/1"])
def test_stream_goes_on_after_its_caller_stopped(store, path):
    """Guards against a pause of a caller that ends its server's stream."""
    server = fakes.FakeServer("e-1", "assist", _stream_fast)
    router = _serve(store, server)
    caller = slow_peers.open_slow(
        router.settings.caller_address, "a-1", key=fakes.KEY, path=path
    )
    # Past the deadline of the route, 1.5 s.
    gevent.sleep(3.5)
    answer = fakes.read_answer(caller)
    assert answer.whole
    assert answer.body.count(b"id: ") == 200
    assert len(server.requests) == 1


def test_cut_of_an_unread_stream_is_not_a_failure_of_its_server(store):
    """Guards against ejections of servers for callers that do not read."""
    server = fakes.FakeServer("e-1", "assist", _stream_fast)
    # So little memory that the server's stream stays unread.
    router = _serve(store, server, memory_bytes=100_000)
    router.held.ledger.hard_limit = float("inf")
    router.held.ledger.soft_limit = 10_000
    for number in range(3):
        caller = slow_peers.open_slow(
            router.settings.caller_address,
            f"a-{number}",
            key=fakes.KEY,
            path="/ask/1",
        )
        gevent.sleep(4.0)
        assert not fakes.read_answer(caller).whole
    assert server.cuts == 3
    assert not router.serving._retry_policy.outcomes.is_ejected(
        "e-1", time.monotonic()
    )
    assert router.serving._retry_policy.outcomes._record_by_server == {}


def test_caller_without_progress_is_ended(store):
    """Guards against bytes held for callers that never read."""
    server = slow_peers.make_big_server("d-1", unread_seconds=60.0)
    router = _serve(store, server)
    router.held.pace = hold.Pace(
        body=progress.ProgressBound(amount=1000, seconds=0.3),
        response=progress.ProgressBound(amount=1000, seconds=0.3),
    )
    address = router.settings.caller_address
    stopped = slow_peers.open_slow(address, "a-1", key=fakes.KEY)
    fakes.wait_for(
        lambda: _count(router, "requests_total", outcome="caller_slow")
    )
    assert router.held.ledger.total == 0
    # A slow one that goes on is not ended.
    slow = slow_peers.open_slow(address, "a-2", key=fakes.KEY)
    assert slow_peers._is_whole(slow_peers.read_slowly(slow, 400_000))
    stopped.close()


def test_unsafe_request_of_an_ended_caller_runs_to_its_end(store):
    """Guards against the memory limit cutting a request that must not be."""
    ended = []

    def _answer(server, connection, first, headers, body):
        # More than the kernel takes for a reader that has gone.
        size = 12_000_000
        connection.settimeout(3.0)
        connection.sendall(
            fakes.write_answer(
                200,
                {
                    "Daisypick-Attempt-Id": headers["daisypick-attempt-id"],
                    "Daisypick-Server-Seal": "seal",
                },
                b"x" * size,
            )
        )
        ended.append(headers["daisypick-attempt-id"])

    server = fakes.FakeServer("d-1", "desk", _answer)
    router = _serve(store, server)
    router.held.ledger.hard_limit = 500_000
    caller = slow_peers.open_slow(
        router.settings.caller_address, "a-1", key=fakes.KEY, path="/reserve/1"
    )
    fakes.wait_for(lambda: ended == ["a-1"])
    assert not fakes.read_answer(caller).whole
    assert _count(router, "held_bounds_total", bound="end") == 1
    assert router.held.ledger.peak < 1_000_000
    fakes.wait_for(lambda: router.held.ledger.total == 0)


def test_oldest_incomplete_head_is_rejected_above_the_bound(store, monkeypatch):
    """Guards against incomplete heads that fill a router."""
    monkeypatch.setattr(held_requests, "_MAX_HEADS", 4)
    router = _serve(store, fakes.FakeServer("d-1", "desk", fakes.answer_ok))
    callers = [fakes.connect(router) for _ in range(5)]
    head = fakes.write_request("/look/1", method="GET")
    for caller in callers:
        caller.sendall(head[:30])
        gevent.sleep(0.02)
    assert callers[0].recv(12) == b"HTTP/1.1 408"
    for caller in callers[1:]:
        caller.sendall(head[30:])
        assert fakes.read_answer(caller).status == 200


def test_body_in_slow_steps_is_accepted_and_a_stopped_one_is_not(store):
    """Guards against a time limit for a body that a working link misses."""
    router = _serve(store, fakes.FakeServer("d-1", "desk", fakes.answer_ok))
    router.held.pace = hold.Pace(
        body=progress.ProgressBound(amount=1000, seconds=0.4),
        response=progress.ProgressBound(amount=1000, seconds=5.0),
    )
    head = fakes.write_request("/look/1").replace(
        b"Content-Length: 4\r\n\r\nbody", b"Content-Length: 20000\r\n\r\n"
    )
    with fakes.connect(router) as caller, fakes.connect(router) as stopped:
        stopped.sendall(head)
        caller.sendall(head)
        # Takes 1 s; the limit of a head is 0.3 s.
        for _ in range(10):
            caller.sendall(b"x" * 2000)
            gevent.sleep(0.1)
        assert fakes.read_answer(caller).status == 200
        assert fakes.read_answer(stopped).status == 408
    fakes.wait_for(lambda: router.held.ledger.total == 0)


def test_large_body_is_refused_above_the_soft_limit_before_it_is_read(store):
    """Guards against bodies that are read only to fill the memory."""
    server = fakes.FakeServer("d-1", "desk", fakes.answer_ok)
    router = _serve(store, server)
    router.held.ledger.soft_limit = 100_000
    with fakes.connect(router) as caller:
        caller.sendall(
            fakes.write_request("/look/1", Expect="100-continue").replace(
                b"Content-Length: 4\r\n\r\nbody",
                b"Content-Length: 200000\r\n\r\n",
            )
        )
        answer = fakes.read_answer(caller)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert b'"ran": "no"' in answer.body
    assert server.requests == []
    assert fakes.call(router, "/look/1").status == 200


def _begin_body(router, size, **headers):
    caller = fakes.connect(router)
    caller.sendall(
        fakes.write_request("/look/1", **headers).replace(
            b"Content-Length: 4\r\n\r\nbody",
            b"Content-Length: %d\r\n\r\n" % size,
        )
    )
    return caller


def test_large_body_with_an_unknown_key_is_refused_by_its_head(store):
    """Guards against memory for requests that no configuration allows."""
    router = _serve(store, fakes.FakeServer("d-1", "desk", fakes.answer_ok))
    with _begin_body(router, 2_000_000, key="unknown") as caller:
        assert fakes.read_answer(caller).status == 401
    assert router.held.ledger.peak < 100_000


def test_stopped_bodies_yield_to_one_that_goes_on(store):
    """Guards against callers that stop and keep the memory from others."""
    server = fakes.FakeServer("d-1", "desk", fakes.answer_ok)
    router = _serve(store, server, memory_bytes=30_000_000)
    stopped = [_begin_body(router, 2_000_000) for _ in range(8)]
    fakes.wait_for(
        lambda: _count(router, "held_bounds_total", bound="body") > 0
    )
    gevent.sleep(1.1)
    with _begin_body(router, 2_000_000) as caller:
        caller.sendall(b"x" * 2_000_000)
        assert fakes.read_answer(caller).status == 200
    assert _count(router, "held_bounds_total", bound="stalled") > 0
    statuses = {fakes.read_answer(caller).status for caller in stopped[:1]}
    assert statuses == {408}
    for caller in stopped:
        caller.close()
    fakes.wait_for(lambda: router.held.ledger.total == 0)


def test_caller_that_pipelines_without_end_is_refused(store):
    """Guards against requests that the kernel keeps behind a running one."""

    def _answer(server, connection, first, headers, body):
        gevent.sleep(0.4)
        fakes.answer_ok(server, connection, first, headers, body)

    router = _serve(store, fakes.FakeServer("d-1", "desk", _answer))
    request = fakes.write_request("/look/1", method="GET")
    with fakes.connect(router) as caller:
        caller.sendall(request * 4000)
        answers = b""
        while data := caller.recv(65_536):
            answers += data
    assert answers.startswith(b"HTTP/1.1 200")
    assert b"HTTP/1.1 503" in answers
    assert router.held.ledger.peak < 150_000
    fakes.wait_for(lambda: router.held.ledger.total == 0)
