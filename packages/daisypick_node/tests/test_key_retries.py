import json

import fleet as fleet_module
import pytest


@pytest.fixture
def fleet():
    # A server that reads each request, sends half a response and disconnects.
    engine = fleet_module.DisconnectingEngine(
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


def test_truncated_response_is_reported_as_an_error(fleet):
    # The server disconnects in the middle of its response, of which nothing
    # has reached the caller. The caller must receive an error with a code, not
    # a truncated response.
    problem = _book(fleet, "k1")
    assert (problem["code"], problem["ran"]) == (5002, "unknown")


def test_retries_of_an_unknown_key_do_not_suspend_the_agent(fleet):
    # A booking's response is lost, so its outcome stays unknown, and each
    # retry by its caller receives "unknown". If these responses counted as
    # failures of the agent, each would extend its suspension, and the backend
    # server would idle while the bookings of other callers wait.
    _book(fleet, "k1")
    views = fleet.routers[0].driver.dispatcher
    view = views._directory.find(fleet.proxies[0].address)
    failures = view.failures
    for _ in range(5):
        assert _book(fleet, "k1")["ran"] == "unknown"
    assert view.failures == failures
