import fleet as fleet_module
import gevent
import gevent.event
import pytest

from daisypick_node.agent import runner


@pytest.fixture
def make_fleet():
    fleets = []

    def _make(*engines):
        fleets.append(fleet_module.Fleet(list(engines)))
        return fleets[-1]

    yield _make
    for fleet in fleets:
        fleet.stop()


class RestartingEngine:
    """An engine that sends its boot id and can block its responses."""

    def __init__(self):
        self.boot_id = "first"
        self.resume = gevent.event.Event()
        self.resume.set()
        self.running = 0
        self.max_running = 0

    def __call__(self, environ, start_response):
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/event-stream"),
                (runner.BOOT_ID, self.boot_id),
            ],
        )
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        yield b"data: one\n\n"
        self.resume.wait()
        self.running -= 1
        yield b"data: [DONE]\n\n"


def chat(fleet):
    return fleet.call("POST", fleet_module.CHAT, fleet_module.BODY).read()


def test_restarted_server_gets_its_cold_limit_at_once(make_fleet):
    # A warm server of four slots restarts, which only its new boot id
    # indicates. Eight requests arrive while the first response after the
    # restart is in progress: no more than the two requests that a cold server
    # can handle may run.
    answer = RestartingEngine()
    fleet = make_fleet(fleet_module.make_engine(answer))
    gate = fleet.agents[0].gate
    while gate.limit.is_cold:
        chat(fleet)
    assert gate.limit.limit == 4
    answer.boot_id = "second"
    answer.resume.clear()
    answer.max_running = 0
    calls = [gevent.spawn(chat, fleet)]
    fleet_module.wait_until(lambda: gate.limit.is_cold)
    assert gate.limit.limit == 2
    calls += [gevent.spawn(chat, fleet) for _ in range(8)]
    fleet_module.wait_until(lambda: gate.load().waiting >= 2)
    assert answer.max_running <= 2
    answer.resume.set()
    assert {call.get() for call in calls} == {b"data: one\n\ndata: [DONE]\n\n"}
