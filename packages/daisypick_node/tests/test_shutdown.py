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
    """Return an application that blocks, and the event that resumes it."""
    go_on = gevent.event.Event()

    def _answer(environ, start_response):
        go_on.wait()
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return [b"data: held\n\ndata: [DONE]\n\n"]

    return _answer, go_on


def chat(fleet, **options):
    return fleet.call("POST", fleet_module.CHAT, fleet_module.BODY, **options)


def test_router_finishes_open_requests_before_it_stops(make_fleet):
    # A router is drained while a request is open. It refuses new requests with
    # a code for "not run", reports to the load balancer that it is not ready,
    # and stops only after the caller has the whole response.
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


def test_draining_agent_finishes_running_and_returns_waiting(make_fleet):
    # An agent is drained with two requests running and two waiting. The running
    # ones finish there, the waiting ones run on the other agent.
    answer, go_on = make_held_answer()
    engines = [
        fleet_module.make_engine(answer),
        fleet_module.make_engine(fleet_module.answer_stream("other")),
    ]
    fleet = make_fleet(*engines)
    fleet.out_of_service = {1}
    fleet.configure()
    calls = [gevent.spawn(chat, fleet) for _ in range(4)]
    fleet_module.wait_until(lambda: fleet.agents[0].gate.load().waiting == 2)
    fleet.out_of_service = set()
    fleet.configure()
    drained = gevent.spawn(fleet.agents[0].drain)
    fleet_module.wait_until(lambda: len(engines[1].calls) == 2)
    go_on.set()
    answers = sorted(call.get().read() for call in calls)
    assert [a.split()[1] for a in answers] == [b"held"] * 2 + [b"other"] * 2
    drained.get(timeout=5)
    assert len(engines[0].calls) == 2


def test_agent_on_a_leaving_vm_is_notified_by_a_watcher(make_fleet):
    # The platform lists a VM as leaving. The watching process of the data
    # centre notifies the agent on it, which drains. Later the stale list shows
    # the VM as live again, and the agent stays drained.
    engine = fleet_module.make_engine(fleet_module.answer_stream("a"))
    fleet = make_fleet(engine)
    agent, router = fleet.agents[0], fleet.routers[0]
    address = fleet.proxies[0].address
    member = member_directory.Member(address, member_directory.AGENT, "dc0")
    router.follower.directory.record_member(member, router.clock())
    for state in ("leaving", "live"):
        fleet.platform.vms.set(vms.Vm(address, "dc0", state), 0.0)
        router.vm_watch.poll()
        assert agent.gate.admission.reasons == (admission.VM_LEAVING,)
