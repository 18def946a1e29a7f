import json

import fleet as fleet_module
import gevent
import gevent.event
import pytest

from daisypick_core.gate import admission
from daisypick_core.membership import directory as member_directory
from daisypick_standins.platform import vms


@pytest.fixture
def make_fleet():
    fleets = []

    def _make(*engines, **options):
        fleets.append(fleet_module.Fleet(list(engines), **options))
        return fleets[-1]

    yield _make
    for fleet in fleets:
        fleet.stop()


def make_held_answer():
    """Return an answer that waits for the test, and what lets it go on."""
    go_on = gevent.event.Event()

    def _answer(environ, start_response):
        go_on.wait()
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return [b"data: held\n\ndata: [DONE]\n\n"]

    return _answer, go_on


def chat(fleet, **options):
    return fleet.call("POST", fleet_module.CHAT, fleet_module.BODY, **options)


def test_router_that_shuts_down_cuts_nothing(make_fleet):
    # A router is told to stop while it holds a request. It refuses new ones
    # with a code that says "not run", shows the balancer that it is not
    # ready, and ends only when the caller has its whole answer.
    answer, go_on = make_held_answer()
    fleet = make_fleet(fleet_module.make_engine(answer))
    held = gevent.spawn(chat, fleet)
    fleet_module.wait_until(lambda: fleet.engines[0].calls)
    drained = gevent.spawn(fleet.routers[0].drain)
    fleet_module.wait_until(lambda: fleet.routers[0].is_draining)
    refused = json.loads(chat(fleet).read())
    assert (refused["code"], refused["ran"]) == (3001, "no")
    assert fleet.call("GET", "/health/ready").status_code == 503
    assert not drained.dead
    go_on.set()
    assert held.get().read() == b"data: held\n\ndata: [DONE]\n\n"
    drained.get(timeout=5)


def test_agent_that_shuts_down_ends_its_work_and_moves_the_rest(make_fleet):
    # An agent is told to stop with two requests running and others waiting.
    # The running ones end there, the waiting ones finish elsewhere.
    answer, go_on = make_held_answer()
    engines = [
        fleet_module.make_engine(answer),
        fleet_module.make_engine(fleet_module.answer_stream("other")),
    ]
    fleet = make_fleet(*engines)
    fleet.out = {1}
    fleet.configure()
    calls = [gevent.spawn(chat, fleet) for _ in range(4)]
    fleet_module.wait_until(lambda: fleet.agents[0].gate.load().waiting == 2)
    fleet.out = set()
    fleet.configure()
    drained = gevent.spawn(fleet.agents[0].drain)
    fleet_module.wait_until(lambda: len(engines[1].calls) == 2)
    go_on.set()
    answers = sorted(call.get().read() for call in calls)
    assert [a.split()[1] for a in answers] == [b"held"] * 2 + [b"other"] * 2
    drained.get(timeout=5)
    assert len(engines[0].calls) == 2


def test_agent_on_a_leaving_vm_is_told_by_a_watcher(make_fleet):
    # The platform's list shows a VM as leaving. One process that watches for
    # the data centre tells the agent there, which drains; later the lagging
    # list shows the VM as live again, and the agent stays closed.
    engine = fleet_module.make_engine(fleet_module.answer_stream("a"))
    fleet = make_fleet(engine)
    agent, router = fleet.agents[0], fleet.routers[0]
    address = fleet.wires[0].address
    member = member_directory.Member(address, member_directory.AGENT, "dc0")
    router.follower.directory.record_member(member, router.clock())
    for state in ("leaving", "live"):
        fleet.platform.vms.set(vms.Vm(address, "dc0", state), 0.0)
        router.vm_watch.look()
        assert agent.gate.admission.reasons == (admission.VM_LEAVING,)
