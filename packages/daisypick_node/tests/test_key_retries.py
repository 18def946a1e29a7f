import json

import fleet as fleet_module
import pytest


@pytest.fixture
def fleet():
    # A desk that reads each booking, sends half an answer and hangs up.
    engine = fleet_module.CuttingEngine(
        "desk", b"HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\nplot"
    )
    subject = fleet_module.Fleet([engine])
    yield subject
    subject.stop()


def _book(fleet, key):
    response = fleet.call(
        "POST", "/services/desk/bookings", b"plot 7", Idempotency_Key=key
    )
    return json.loads(response.read())


def test_half_an_answer_is_told_as_a_refusal(fleet):
    # The desk's answer breaks off. Nothing of it has reached the caller, who
    # must get a refusal with its code, not a connection cut in the middle.
    problem = _book(fleet, "k1")
    assert (problem["code"], problem["ran"]) == (5002, "unknown")


def test_retries_of_an_unknown_key_do_not_suspend_the_agent(fleet):
    # A booking's answer is lost, so its outcome is unknown for good. Its
    # caller asks again and again and hears "unknown". Each of these answers
    # used to suspend the agent for longer: the desk idled while the bookings
    # of all others waited.
    _book(fleet, "k1")
    views = fleet.routers[0].driver.dispatcher
    view = views._directory.find(fleet.wires[0].address)
    failures = view.failures
    for _ in range(5):
        assert _book(fleet, "k1")["ran"] == "unknown"
    assert view.failures == failures
