import json

import fleet as fleet_module
import gevent.event
import pytest


@pytest.fixture
def make_fleet():
    fleets = []

    def _make(*engines, **options):
        fleets.append(fleet_module.Fleet(list(engines), **options))
        return fleets[-1]

    yield _make
    for fleet in fleets:
        fleet.stop()


class SteppedAnswer:
    """A streamed answer that waits in its middle for the test."""

    def __init__(self, first, second):
        self.go_on = gevent.event.Event()
        self._first = first
        self._second = second

    def __call__(self, environ, start_response):
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        yield b"data: %s\n\n" % self._first
        self.go_on.wait()
        yield b"data: %s\n\ndata: [DONE]\n\n" % self._second


def read_first(response):
    return response.read(len("data: one\n\n"))


def call_first_server(fleet):
    """Send a request that begins at the first server, then let both in."""
    fleet.out = {1}
    fleet.configure()
    response = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    fleet.out = set()
    fleet.configure()
    return response


@pytest.mark.parametrize("fault", ["cut", "silence"])
def test_stream_is_resumed_where_it_broke(make_fleet, fault):
    # The connection between router and agent is cut, or goes silent for good,
    # in the middle of a stream. The router notices by the missing beats,
    # asks on a fresh connection for the rest, and the caller sees each byte
    # once. The engine has run the request once.
    answer = SteppedAnswer(b"one", b"two")
    fleet = make_fleet(fleet_module.make_engine(answer))
    response = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    assert read_first(response) == b"data: one\n\n"
    before = fleet.wires[0].connection_count
    getattr(fleet.wires[0], fault)()
    fleet_module.wait_until(
        lambda: fleet.wires[0].connection_count > before, seconds=8.0
    )
    answer.go_on.set()
    assert response.read() == b"data: two\n\ndata: [DONE]\n\n"
    assert len(fleet.engines[0].calls) == 1


def test_booking_survives_a_silent_connection(make_fleet):
    # A booking runs when the connection between router and agent goes silent.
    # The router asks on a fresh one what became of it and gives the caller
    # the answer of the one run; it does not book again.
    go_on = gevent.event.Event()

    def _book(environ, start_response):
        go_on.wait()
        start_response("200 OK", [("Content-Length", "6")])
        return [b"booked"]

    fleet = make_fleet(fleet_module.make_engine(_book, service="desk"))
    call = gevent.spawn(fleet.call, "POST", "/services/desk/bookings", b"7")
    fleet_module.wait_until(lambda: fleet.engines[0].calls)
    before = fleet.wires[0].connection_count
    fleet.wires[0].silence()
    fleet_module.wait_until(lambda: fleet.wires[0].connection_count > before)
    go_on.set()
    assert call.get().read() == b"booked"
    assert len(fleet.engines[0].calls) == 1


def test_booking_survives_a_first_contact_that_is_silent(make_fleet):
    # The router's very first connection to an agent is silent from its start.
    # The attempt on it names no incarnation, so no agent can have run it: the
    # booking is sent again and runs once, instead of being told as unknown.
    engine = fleet_module.make_engine(
        fleet_module.answer_plain(b"booked"), service="desk"
    )
    fleet = make_fleet(engine)
    fleet.wires[0].silent_next = 1
    answer = fleet.call("POST", "/services/desk/bookings", b"7")
    assert (answer.status_code, answer.read()) == (200, b"booked")
    assert len(engine.calls) == 1


def test_broken_stream_is_run_again_without_repeating_a_byte(make_fleet):
    # The engine breaks off after its first event. The request is repeatable:
    # it runs again elsewhere, and the caller sees the first event once.
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    engines = [
        fleet_module.CuttingEngine(
            "assistant",
            head + b"Content-Length: 99\r\n\r\ndata: one\n\n",
        ),
        fleet_module.make_engine(fleet_module.answer_stream("one", "two")),
    ]
    fleet = make_fleet(*engines)
    response = call_first_server(fleet)
    assert response.read() == b"data: one\n\ndata: two\n\ndata: [DONE]\n\n"
    assert engines[0].calls


def test_request_that_breaks_every_engine_is_run_a_few_times(make_fleet):
    # A request makes each engine that takes it fall. Without a bound it would
    # go round the fleet at the cost of everybody's retries; it is run four
    # times and its caller is told.
    engine = fleet_module.CuttingEngine("assistant")
    fleet = make_fleet(engine)
    response = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    assert json.loads(response.read())["ran"] == "unknown"
    assert len(engine.calls) == 4


def test_answer_that_differs_when_run_again_is_refused(make_fleet):
    # The second run begins differently from what the caller has seen. A
    # mixture of the two would pass for an answer; the caller is told instead.
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    engine = fleet_module.CuttingEngine(
        "assistant", head + b"Content-Length: 99\r\n\r\ndata: one\n\n"
    )
    other = fleet_module.make_engine(fleet_module.answer_stream("uno", "dos"))
    answer = call_first_server(make_fleet(engine, other)).read()
    assert engine.calls
    first, error = answer[:11], answer[len(b"data: one\n\ndata: ") :]
    assert first == b"data: one\n\n"
    assert json.loads(error)["error"]["code"] == 5004


def test_restarted_agent_makes_a_booking_unknown(make_fleet):
    # The agent restarts while a booking runs and knows nothing of it. Asked
    # about the attempt it could only guess; the caller is told "unknown".
    go_on = gevent.event.Event()

    def _hang(environ, start_response):
        go_on.wait()
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    fleet = make_fleet(fleet_module.make_engine(_hang, service="desk"))
    call = gevent.spawn(fleet.call, "POST", "/services/desk/bookings", b"7")
    fleet_module.wait_until(lambda: fleet.engines[0].calls)
    address = fleet.agents[0].address
    fleet.agents[0].stop()
    fleet.agents[0] = fleet.make_agent(0, listen=address)
    fleet.configure()
    fleet.wires[0].cut()
    problem = json.loads(call.get().read())
    assert (problem["ran"], problem["code"]) == ("unknown", 4002)
    assert len(fleet.engines[0].calls) == 1


def test_caller_that_leaves_frees_its_slot(make_fleet):
    # A caller closes its connection in the middle of a stream. Its work is
    # cancelled at the engine and the slot is free again.
    answer = SteppedAnswer(b"one", b"two")
    fleet = make_fleet(fleet_module.make_engine(answer))
    response = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    read_first(response)
    assert fleet.agents[0].gate.load().running == 1
    response.release()
    fleet_module.wait_until(lambda: fleet.agents[0].gate.load().running == 0)
    assert fleet.routers[0].is_idle()
