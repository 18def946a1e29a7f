import json

import fleet as fleet_module
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


def test_stream_is_relayed_completely(make_fleet):
    engine = fleet_module.make_engine(fleet_module.answer_stream("a", "b"))
    fleet = make_fleet(engine)
    response = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    assert response.status_code == 200
    assert response.read() == b"data: a\n\ndata: b\n\ndata: [DONE]\n\n"


def test_plain_call_is_relayed_with_its_body(make_fleet):
    engine = fleet_module.make_engine(
        fleet_module.answer_plain(b"\x00\xff"), service="desk"
    )
    fleet = make_fleet(engine)
    response = fleet.call("POST", "/services/desk/bookings?x=1", b"plot 7")
    assert (response.status_code, response.read()) == (200, b"\x00\xff")
    assert engine.calls == [b"plot 7"]


@pytest.mark.parametrize(
    ("method", "path", "body", "number"),
    [
        ("POST", fleet_module.CHAT, b"{", 1003),
        ("POST", fleet_module.CHAT, b'{"model": "x", "messages": []}', 1002),
        ("GET", "/services/nobody/", b"", 1002),
        ("POST", "/services/desk//bookings", b"", 1003),
        ("GET", "/nowhere", b"", 7005),
    ],
)
def test_bad_requests_get_a_coded_refusal(
    make_fleet, method, path, body, number
):
    engine = fleet_module.make_engine(
        fleet_module.answer_plain(), service="desk"
    )
    response = make_fleet(engine).call(method, path, body)
    problem = json.loads(response.read())
    assert (problem["code"], problem["ran"]) == (number, "no")
    assert engine.calls == []


def test_unknown_key_and_internal_paths_are_refused(make_fleet):
    fleet = make_fleet(fleet_module.make_engine(fleet_module.answer_plain()))
    response = fleet.call(
        "POST", fleet_module.CHAT, fleet_module.BODY, Authorization="Bearer x"
    )
    assert response.status_code == 401
    response = fleet.call("GET", "/internal/dump")
    assert json.loads(response.read())["code"] == 8001
    response = fleet.call(
        "GET", "/internal/dump", Authorization="Bearer operator-key-1"
    )
    dump = response.read()
    assert json.loads(dump)["generation"] == 1
    assert b"fleet-key-1" not in dump


def test_router_refuses_bodies_above_its_memory_limit(make_fleet):
    engine = fleet_module.make_engine(fleet_module.answer_plain())
    fleet = make_fleet(engine, router_settings={"held_bytes": 10})
    refused = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    assert json.loads(refused.read())["code"] == 2002
    assert fleet.routers[0].driver.held_bytes == 0
    assert engine.calls == []


def test_requests_avoid_a_data_centre_out_of_service(make_fleet):
    # A data centre is taken out of service. Later requests are served by the
    # other one, and none is interrupted or refused.
    engines = [
        fleet_module.make_engine(fleet_module.answer_stream(str(n)))
        for n in range(2)
    ]
    fleet = make_fleet(*engines)
    fleet.out_of_service = {0}
    fleet.configure()
    for _ in range(4):
        assert (
            fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
            .read()
            .startswith(b"data: 1")
        )
    assert engines[0].calls == []


def test_request_fails_over_from_a_failing_server(make_fleet):
    # One engine returns 500, as engines do that crash in their cold start. The
    # request is repeatable, so it is retried on the other engine and the caller
    # sees only that response.
    engines = [
        fleet_module.make_engine(
            fleet_module.answer_plain(b"no", "500 Internal Server Error")
        ),
        fleet_module.make_engine(fleet_module.answer_stream("ok")),
    ]
    fleet = make_fleet(*engines)
    for _ in range(4):
        assert (
            fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
            .read()
            .startswith(b"data: ok")
        )


@pytest.mark.parametrize(
    "path", ["/bookings", "/%62ookings", "/./bookings", "/a/../bookings/x"]
)
def test_path_variants_are_not_classified_as_repeatable(make_fleet, path):
    # A caller writes the path of a booking in another form and the connection
    # to the server breaks. Classified as repeatable, the booking would be
    # resent.
    engine = fleet_module.DisconnectingEngine("desk")
    fleet = make_fleet(engine)
    response = fleet.call("POST", f"/services/desk{path}", b"plot 7")
    assert json.loads(response.read())["ran"] == "unknown"
    assert len(engine.calls) == 1
    assert engine.calls[0].startswith(f"POST {path} HTTP/1.1".encode())


def test_broken_booking_is_reported_unknown_and_not_resent(make_fleet):
    # The connection to the server breaks while it handles a booking, which may
    # have taken effect. The caller gets "unknown" and the booking is not
    # resent.
    engine = fleet_module.DisconnectingEngine("desk")
    fleet = make_fleet(engine)
    response = fleet.call("POST", "/services/desk/bookings", b"plot 7")
    problem = json.loads(response.read())
    assert problem["ran"] == "unknown"
    assert len(engine.calls) == 1
