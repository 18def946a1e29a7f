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
    """A streamed response that blocks after its first event."""

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
    """Send a request to the first server, then enable both servers."""
    fleet.out_of_service = {1}
    fleet.configure()
    response = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    fleet.out_of_service = set()
    fleet.configure()
    return response


@pytest.mark.parametrize("fault", ["cut", "silence"])
def test_stream_is_resumed_after_a_connection_failure(make_fleet, fault):
    # The connection between router and agent closes, or stops transferring
    # bytes, within a stream. The router detects it by the missing heartbeats
    # and requests the rest on a new connection. The caller gets each byte once,
    # and the engine runs the request once.
    answer = SteppedAnswer(b"one", b"two")
    fleet = make_fleet(fleet_module.make_engine(answer))
    response = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    assert read_first(response) == b"data: one\n\n"
    before = fleet.proxies[0].connection_count
    getattr(fleet.proxies[0], fault)()
    fleet_module.wait_until(
        lambda: fleet.proxies[0].connection_count > before, seconds=8.0
    )
    answer.go_on.set()
    assert response.read() == b"data: two\n\ndata: [DONE]\n\n"
    assert len(fleet.engines[0].calls) == 1


def test_booking_is_resumed_after_a_connection_timeout(make_fleet):
    # The connection between router and agent stops transferring bytes while a
    # booking runs. The router resumes on a new connection and relays the
    # response of the only run, without a second booking.
    go_on = gevent.event.Event()

    def _book(environ, start_response):
        go_on.wait()
        start_response("200 OK", [("Content-Length", "6")])
        return [b"booked"]

    fleet = make_fleet(fleet_module.make_engine(_book, service="desk"))
    call = gevent.spawn(fleet.call, "POST", "/services/desk/bookings", b"7")
    fleet_module.wait_until(lambda: fleet.engines[0].calls)
    before = fleet.proxies[0].connection_count
    fleet.proxies[0].silence()
    fleet_module.wait_until(lambda: fleet.proxies[0].connection_count > before)
    go_on.set()
    assert call.get().read() == b"booked"
    assert len(fleet.engines[0].calls) == 1


def test_booking_is_resent_if_the_first_connection_times_out(make_fleet):
    # The router's first connection to an agent transfers no bytes. The attempt
    # sent on it carries no incarnation, so no agent can have run it: the
    # booking is resent and runs once, instead of being reported as unknown.
    engine = fleet_module.make_engine(
        fleet_module.answer_plain(b"booked"), service="desk"
    )
    fleet = make_fleet(engine)
    fleet.proxies[0].connections_to_stall = 1
    answer = fleet.call("POST", "/services/desk/bookings", b"7")
    assert (answer.status_code, answer.read()) == (200, b"booked")
    assert len(engine.calls) == 1


def test_broken_stream_is_retried_without_repeating_bytes(make_fleet):
    # The engine disconnects after its first event. The request is repeatable:
    # it runs on another engine, and the caller gets the first event once.
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    engines = [
        fleet_module.DisconnectingEngine(
            "assistant",
            head + b"Content-Length: 99\r\n\r\ndata: one\n\n",
        ),
        fleet_module.make_engine(fleet_module.answer_stream("one", "two")),
    ]
    fleet = make_fleet(*engines)
    response = call_first_server(fleet)
    assert response.read() == b"data: one\n\ndata: two\n\ndata: [DONE]\n\n"
    assert engines[0].calls


def test_request_that_breaks_every_engine_has_bounded_retries(make_fleet):
    # A request makes each engine that runs it disconnect. Without a limit it
    # would be retried across the fleet and use up the retries of others; it
    # runs four times, then fails.
    engine = fleet_module.DisconnectingEngine("assistant")
    fleet = make_fleet(engine)
    response = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    assert json.loads(response.read())["ran"] == "unknown"
    assert len(engine.calls) == 4


def test_retry_with_a_different_response_is_an_error(make_fleet):
    # The response of the second run differs from the part that the caller
    # has already received. The caller must get an error rather than a mixture
    # of two responses that looks valid.
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    engine = fleet_module.DisconnectingEngine(
        "assistant", head + b"Content-Length: 99\r\n\r\ndata: one\n\n"
    )
    other = fleet_module.make_engine(fleet_module.answer_stream("uno", "dos"))
    answer = call_first_server(make_fleet(engine, other)).read()
    assert engine.calls
    first, error = answer[:11], answer[len(b"data: one\n\ndata: ") :]
    assert first == b"data: one\n\n"
    assert json.loads(error)["error"]["code"] == 5004


def test_booking_is_unknown_after_an_agent_restart(make_fleet):
    # The agent restarts while a booking runs and has no record of it. Whether
    # the booking ran cannot be determined, so the caller gets "unknown".
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
    fleet.proxies[0].cut()
    problem = json.loads(call.get().read())
    assert (problem["ran"], problem["code"]) == ("unknown", 4002)
    assert len(fleet.engines[0].calls) == 1


def test_caller_disconnect_frees_its_slot(make_fleet):
    # A caller closes its connection within a stream. The request is cancelled
    # at the engine and its slot is freed.
    answer = SteppedAnswer(b"one", b"two")
    fleet = make_fleet(fleet_module.make_engine(answer))
    response = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    read_first(response)
    assert fleet.agents[0].gate.load().running == 1
    response.release()
    fleet_module.wait_until(lambda: fleet.agents[0].gate.load().running == 0)
    assert fleet.routers[0].is_idle()
