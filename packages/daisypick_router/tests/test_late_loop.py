"""Requests of a router whose loop is held up.

Other callers and the requests of a flood keep a small VM's loop busy for
tenths of a second. What happened meanwhile lies unread: callers have left,
deadlines have passed.
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


def _hold_up_before_sending(router, meanwhile):
    """Hold the loop when a request is placed; ``meanwhile`` happens then."""
    acquire = router.placing.acquire

    def _acquire(service, work):
        decided = acquire(service, work)
        meanwhile()
        return decided

    router.placing.acquire = _acquire


def test_request_whose_caller_left_unnoticed_is_not_sent(store):
    """Guards against work at engines for callers that are gone (GONE).

    Callers of a flooded VM gave up at their deadlines, and up to 20 of their
    requests in a day reached engines more than half a second later. The
    router had read the requests late, in turns of a loop that was held up,
    and sent them while the callers' ends lay unread on their connections: the
    bench saw "the client's deadline passes" at 19.515 s and the request reach
    a server at 20.439 s, and the router's log said "silent for -0.350 s".
    """
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    router = _serve(store, server)
    caller = fakes.connect(router)

    def _leave():
        caller._sock.close()
        time.sleep(0.02)

    _hold_up_before_sending(router, _leave)
    caller.sendall(fakes.write_request("/ask/1"))
    fakes.wait_for(lambda: router.serving.running == 1)
    fakes.wait_for(lambda: router.serving.running == 0)
    gevent.sleep(0.05)
    assert server.requests == []
    (engine,) = router.hosted.describe("assist")["engines"]
    assert engine["running"] == 0


def test_request_whose_deadline_passed_unnoticed_is_not_sent(store):
    """Guards against sending a request on after its deadline (GONE).

    The same loop was held up until after the deadline. The request still
    went to an engine, with no time left, and the engine was blamed for its
    silence.
    """
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    router = _serve(store, server)
    _hold_up_before_sending(router, lambda: time.sleep(0.25))
    answer = fakes.call(router, "/ask/1", patience="200")
    assert answer.status == 503
    assert server.requests == []
    (engine,) = router.hosted.describe("assist")["engines"]
    assert not engine["aside"]


def test_half_read_request_is_not_taken_for_an_idle_connection(store):
    """Guards against closing a connection in the middle of a request (LOST).

    A caller's request comes in two pieces while its router stops. The first
    piece was read; the connection counted as idle, was closed, and the rest
    was thrown away, so a whole request had no answer.
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
    """Guards against starving whom a busy VM serves (FAIR).

    A flood of one organisation came through two VMs of 0.387 cores whose
    loops were late by more than half of an objective. Its requests reached
    the host with no time left, so no engine could begin them in time: of
    1,981 thousand tokens that it asked for in a second 5 thousand began,
    with none waiting, while others began 600 thousand. The host's line
    "Decisions by organisation." showed it: 744 submitted, 2 started.
    """
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    router = _serve(store, server)
    service = router.discovery.configuration.service_by_name["assist"]
    other = _make_job("mill", 0, prompt=4000)
    identify = serving.identify.identify

    def _identify_late(*words):
        time.sleep(0.25)
        router.hosted.note_started_elsewhere(service, other, "e-1", ahead=0.0)
        return identify(*words)

    monkeypatch.setattr(serving.identify, "identify", _identify_late)
    assert fakes.call(router, "/ask/1").served


def test_late_router_does_not_teach_how_long_engines_take(store):
    """Guards against taking a router's own delay for an engine's (FAIR).

    Whoever starts a request or sees its first event with a late loop tells
    the host that the time between them says nothing.
    """
    server = fakes.FakeServer("e-1", "assist", fakes.stream_five)
    router = _serve(store, server)
    (before,) = router.hosted.describe("assist")["engines"]
    router.load.take(0.3, time.monotonic())
    assert fakes.call(router, "/ask/1", attempt="a-1").served
    (after,) = router.hosted.describe("assist")["engines"]
    assert after["base"] == before["base"]
    assert after["spread"] == before["spread"]
    router.load.take(0.0, time.monotonic())
    assert fakes.call(router, "/ask/1", attempt="a-2").served
    (after,) = router.hosted.describe("assist")["engines"]
    assert after["base"] != before["base"]


def test_flood_asks_for_no_more_than_may_wait(store):
    """Guards against a loop that is busy with questions (FAIR).

    A late loop reads hundreds of a flood's requests in one turn, and asked
    the host about each before the first answer said that it need not. As
    many are asked for as may wait there; the rest is refused at once.
    """
    router = _serve(store, fakes.FakeServer("e-1", "assist", fakes.stream_five))
    service = router.discovery.configuration.service_by_name["assist"]
    decided = gevent.event.Event()
    questions = []

    def _decide(service, work):
        questions.append(work.key)
        return decided.wait(5.0)

    router.placing._decide = _decide
    pauses = router.placing._pauses_by_service["assist"]
    pauses.set("flood", seconds=0.0, now=time.monotonic())

    def _ask(organisation, count):
        questions.clear()
        asked = [
            gevent.spawn(
                router.placing.acquire, service, _make_job(organisation, number)
            )
            for number in range(count)
        ]
        # Every one has asked or was refused; a busy machine takes a while.
        fakes.wait_for(
            lambda: len(questions) + sum(one.ready() for one in asked) == count
        )
        return len(questions)

    most = admission.MOST_WAITING_BEYOND
    assert _ask("flood", most + 20) == most
    assert _ask("farm", most + 20) == most + 20
    decided.set()
