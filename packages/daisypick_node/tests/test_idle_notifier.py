import fleet as fleet_module
import gevent
import gevent.event
import pytest


@pytest.fixture
def make_fleet():
    fleets = []

    def _make(*engines):
        fleets.append(fleet_module.Fleet(list(engines)))
        return fleets[-1]

    yield _make
    for fleet in fleets:
        fleet.stop()


def test_waiting_requests_move_to_an_idle_agent(make_fleet):
    # Two requests wait at the only agent, whose engine is blocked. A second
    # agent joins without knowing of them and announces that it is idle. The
    # first agent must redirect the router to it, so that the requests run
    # while the engine of the first agent is still blocked.
    resume = gevent.event.Event()

    def _held(environ, start_response):
        resume.wait()
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return [b"data: held\n\ndata: [DONE]\n\n"]

    fleet = make_fleet(
        fleet_module.make_engine(_held),
        fleet_module.make_engine(fleet_module.answer_stream("other")),
    )
    fleet.out_of_service = {1}
    fleet.configure()
    calls = [
        gevent.spawn(fleet.call, "POST", fleet_module.CHAT, fleet_module.BODY)
        for _ in range(4)
    ]
    fleet_module.wait_until(lambda: fleet.agents[0].gate.load().waiting == 2)
    fleet.out_of_service = set()
    fleet.configure()
    fleet_module.wait_until(lambda: len(fleet.engines[1].calls) == 2)
    assert fleet.agents[0].gate.load().waiting == 0
    resume.set()
    responses = sorted(call.get().read() for call in calls)
    assert [a.split()[1] for a in responses] == [b"held"] * 2 + [b"other"] * 2
