"""Requests of a router whose event loop lags.

Other callers and load spikes keep a small VM's loop busy for tenths of a
second. Events of that time are unread: callers have disconnected, deadlines
have passed.
"""

import time

import fakes
import gevent
import pytest

from daisypick_core.scheduling import admission
from daisypick_core.scheduling import job
from daisypick_router import serving


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


def _serve(store, *servers):
    for server in servers:
        store.put("servers", server.name, server.describe())
    return fakes.start_router(store)


def _make_job(organisation, number, *, prompt=100):
    now = time.monotonic()
    key = f"{organisation}-{number}/0"
    return job.Job(
        key=key,
        router="r-1",
        organisation=organisation,
        parts=(job.Part(name=key, tokens=prompt),),
        prompt_tokens=prompt,
        output_tokens=10,
        arrived_at=now,
        objective_at=now + 1.0,
        deadline_at=now + 5.0,
    )


def _block_loop_before_sending(router, meanwhile):
    """Call ``meanwhile`` after a request is placed, before it is sent."""
    acquire = router.placing.acquire

    def _acquire(service, work):
        decided = acquire(service, work)
        meanwhile()
        return decided

    router.placing.acquire = _acquire


def test_request_is_not_sent_after_unread_disconnect_of_its_caller(store):
    """Guards against work at engines for disconnected callers (GONE).

    Callers of an overloaded VM closed their connections at their deadlines.
    The lagging loop read their requests late and sent them while the close
    was still unread on the connection, so requests reached engines more than
    half a second after their deadlines.
    """
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    router = _serve(store, server)
    caller = fakes.connect(router)

    def _leave():
        caller._sock.close()
        time.sleep(0.02)

    _block_loop_before_sending(router, _leave)
    caller.sendall(fakes.write_request("/ask/1"))
    fakes.wait_for(lambda: router.serving.running == 1)
    fakes.wait_for(lambda: router.serving.running == 0)
    gevent.sleep(0.05)
    assert server.requests == []
    (engine,) = router.hosted.describe("assist")["engines"]
    assert engine["running"] == 0


def test_request_is_not_sent_after_its_deadline(store):
    """Guards against sending a request after its deadline (GONE).

    The loop lags until after the deadline. The request was still sent to an
    engine with no time left, and the timeout was counted as a failure of the
    engine.
    """
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    router = _serve(store, server)
    _block_loop_before_sending(router, lambda: time.sleep(0.25))
    answer = fakes.call(router, "/ask/1", patience="200")
    assert answer.status == 503
    assert server.requests == []
    (engine,) = router.hosted.describe("assist")["engines"]
    assert not engine["aside"]


def test_connection_with_a_partly_read_request_is_not_idle(store):
    """Guards against closing a connection in the middle of a request (LOST).

    A request arrives in two pieces while its router stops. After the first
    piece the connection counted as idle and was closed, so that a complete
    request got no response.
    """
    router = _serve(store, fakes.FakeServer("d-1", "desk", fakes.answer_ok))
    request = fakes.write_request("/reserve/1")
    with fakes.connect(router) as caller:
        caller.sendall(request[:-4])
        fakes.wait_for(lambda: router._connections)
        gevent.sleep(0.05)
        for connection in list(router._connections):
            connection.close_idle()
        caller.sendall(request[-4:])
        assert fakes.read_answer(caller).served


def test_request_that_was_read_late_is_placed_like_others(store, monkeypatch):
    """Guards against starving organisations served by a busy VM (FAIR).

    A load spike of one organisation arrived at two VMs of 0.387 cores whose
    loops lagged by more than half a latency target. Its requests reached the
    host with no time left, so no engine could start them in time: 2 of 744
    submitted requests were started, 5 thousand of 1,981 thousand tokens,
    while others got 600 thousand.
    """
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    router = _serve(store, server)
    service = router.discovery.configuration.service_by_name["assist"]
    other = _make_job("mill", 0, prompt=4000)
    identify = serving.identify.identify

    def _identify_late(*arguments):
        time.sleep(0.25)
        router.hosted.note_started_elsewhere(service, other, "e-1", ahead=0.0)
        return identify(*arguments)

    monkeypatch.setattr(serving.identify, "identify", _identify_late)
    assert fakes.call(router, "/ask/1").served


def test_lagging_router_does_not_distort_learned_engine_speed(store):
    """Guards against attributing a router's own delay to an engine (FAIR).

    A router that starts a request or reads its first event while its loop lags
    reports to the host that the time between the two is not valid.
    """
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    router = _serve(store, server)
    (before,) = router.hosted.describe("assist")["engines"]
    router.load.record_lag(0.3, time.monotonic())
    assert fakes.call(router, "/ask/1", attempt="a-1").served
    (after,) = router.hosted.describe("assist")["engines"]
    assert after["base"] == before["base"]
    assert after["spread"] == before["spread"]
    router.load.record_lag(0.0, time.monotonic())
    assert fakes.call(router, "/ask/1", attempt="a-2").served
    (after,) = router.hosted.describe("assist")["engines"]
    assert after["base"] != before["base"]


def test_load_spike_submits_no_more_requests_than_may_wait(store):
    """Guards against a loop that is busy with placement requests (FAIR).

    A lagging loop reads hundreds of requests of a load spike in one turn and
    submitted each to the host before the first refusal arrived. Only as many
    are submitted as may wait at the host; the others are refused at once.
    """
    router = _serve(store, fakes.FakeServer("e-1", "assist", fakes.stream_five))
    service = router.discovery.configuration.service_by_name["assist"]
    decided = gevent.event.Event()
    submitted = []

    def _decide(service, work):
        submitted.append(work.key)
        return decided.wait(5.0)

    router.placing._decide = _decide
    pauses = router.placing._pauses_by_service["assist"]
    pauses.set("flood", seconds=0.0, now=time.monotonic())

    def _submit(organisation, count):
        submitted.clear()
        handlers = [
            gevent.spawn(
                router.placing.acquire, service, _make_job(organisation, number)
            )
            for number in range(count)
        ]
        # Each was submitted or refused; this may take a while on a busy
        # machine.
        fakes.wait_for(
            lambda: (
                len(submitted) + sum(one.ready() for one in handlers) == count
            )
        )
        return len(submitted)

    most = admission.MAX_WAITING_OVER_SHARE
    assert _submit("flood", most + 20) == most
    assert _submit("farm", most + 20) == most + 20
    decided.set()
