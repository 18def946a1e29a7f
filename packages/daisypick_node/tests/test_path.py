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


def test_stream_arrives_whole(make_fleet):
    engine = fleet_module.make_engine(fleet_module.answer_stream("a", "b"))
    fleet = make_fleet(engine)
    response = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    assert response.status_code == 200
    assert response.read() == b"data: a\n\ndata: b\n\ndata: [DONE]\n\n"


def test_plain_call_passes_method_path_and_body(make_fleet):
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


def test_router_refuses_bodies_beyond_its_memory(make_fleet):
    engine = fleet_module.make_engine(fleet_module.answer_plain())
    fleet = make_fleet(engine, router_settings={"held_bytes": 10})
    refused = fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
    assert json.loads(refused.read())["code"] == 2002
    assert fleet.routers[0].driver.held_bytes == 0
    assert engine.calls == []


def test_request_moves_from_a_data_centre_that_goes_out(make_fleet):
    # The data centre of the only free server goes out. Requests that come
    # after are answered by the other one; none is cut or refused.
    engines = [
        fleet_module.make_engine(fleet_module.answer_stream(str(n)))
        for n in range(2)
    ]
    fleet = make_fleet(*engines)
    fleet.out = {0}
    fleet.configure()
    for _ in range(4):
        assert (
            fleet.call("POST", fleet_module.CHAT, fleet_module.BODY)
            .read()
            .startswith(b"data: 1")
        )
    assert engines[0].calls == []


def test_failing_server_is_left_for_another(make_fleet):
    # One engine falls over in its cold start and answers 500. The request is
    # repeatable, so it runs elsewhere and the caller sees only the answer.
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
def test_no_spelling_of_a_booking_passes_for_repeatable(make_fleet, path):
    # A caller spells the path of a booking in another way, and the desk's
    # connection breaks. Taken for repeatable it would be sent again.
    engine = fleet_module.CuttingEngine("desk")
    fleet = make_fleet(engine)
    response = fleet.call("POST", f"/services/desk{path}", b"plot 7")
    assert json.loads(response.read())["ran"] == "unknown"
    assert len(engine.calls) == 1
    assert engine.calls[0].startswith(f"POST {path} HTTP/1.1".encode())


def test_broken_booking_is_unknown_and_runs_once(make_fleet):
    # The desk's connection breaks while it works on a booking. It may have
    # booked: the caller is told "unknown" and the booking is not sent again.
    engine = fleet_module.CuttingEngine("desk")
    fleet = make_fleet(engine)
    response = fleet.call("POST", "/services/desk/bookings", b"plot 7")
    problem = json.loads(response.read())
    assert problem["ran"] == "unknown"
    assert len(engine.calls) == 1
