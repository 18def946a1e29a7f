import signal

import gevent
import process_fleet
import pytest


@pytest.fixture
def fleet():
    fleet = process_fleet.ProcessFleet()
    yield fleet
    fleet.stop()


def find_desk(fleet, marker):
    """Return the number of the desk that runs a call, once one does."""
    process_fleet.wait_until(lambda: fleet.runs(marker))
    return [d.runs_by_marker[marker] for d in fleet.desks].index(1)


def test_killed_agent_loses_no_repeatable_call(fleet):
    # Calls that may be repeated run when their agent is killed. The router
    # sees the connection break, cannot reach the agent, and runs them
    # elsewhere; every caller gets its own answer.
    fleet.delay(0.5)
    calls = [
        gevent.spawn(fleet.call, f"m{n}", path="/plots", method="GET")
        for n in range(8)
    ]
    number = find_desk(fleet, "m0")
    fleet.agents[number].send(signal.SIGKILL)
    for n, call in enumerate(calls):
        status, body = call.get()
        assert (status, body["marker"]) == (200, f"m{n}")


def test_killed_agent_makes_a_booking_unknown_and_it_runs_once(fleet):
    # A booking runs when its agent is killed, and the agent starts again with
    # nothing in memory. The caller is told "unknown"; a retry of its key
    # through the other router must not run the booking a second time.
    fleet.delay(1.0)
    call = gevent.spawn(fleet.call, "b", key="k")
    number = find_desk(fleet, "b")
    agent = fleet.agents[number]
    agent.send(signal.SIGKILL)
    agent.stop()
    fleet.agents[number] = fleet.start_agent(number, agent.address)
    status, body = call.get()
    assert (status, body["ran"]) == (502, "unknown")
    status, body = fleet.call("b", key="k", router=1)
    assert (status, body["ran"]) == (502, "unknown")
    assert fleet.runs("b") == 1


def test_frozen_agent_answers_after_it_wakes(fleet):
    # The agent is frozen while a booking runs, for longer than the router
    # waits on a silent connection. Retries of the key through both routers
    # meanwhile run nothing; the booking has run once when the agent wakes.
    fleet.delay(1.0)
    call = gevent.spawn(fleet.call, "f", key="k")
    agent = fleet.agents[find_desk(fleet, "f")]
    agent.send(signal.SIGSTOP)
    retries = [gevent.spawn(fleet.call, "f", key="k", router=n) for n in (0, 1)]
    gevent.joinall([call], timeout=3.0)
    agent.send(signal.SIGCONT)
    for one in (call, *retries):
        status, body = one.get()
        assert status == 201 or body["ran"] == "unknown"
    assert fleet.runs("f") == 1
    status, body = fleet.call("f", key="k", router=1)
    assert (status, body["marker"], fleet.runs("f")) == (201, "f", 1)


def test_killed_router_leaves_its_booking_to_the_other(fleet):
    # The router is killed after it has sent a booking. The caller retries
    # with its key through the other router and gets the first run's answer.
    fleet.delay(1.0)
    lost = gevent.spawn(fleet.call, "r", key="k")
    find_desk(fleet, "r")
    fleet.routers[0].send(signal.SIGKILL)
    process_fleet.wait_until(lambda: lost.dead)
    status, body = fleet.call("r", key="k", router=1)
    while status == 409:
        gevent.sleep(0.2)
        status, body = fleet.call("r", key="k", router=1)
    assert (status, body["marker"], body["run"]) == (201, "r", 1)
    assert fleet.runs("r") == 1


def test_terminated_processes_end_and_cut_nothing(fleet):
    # Router and agent are told to stop while calls run. Each ends by itself
    # after its last call, and no caller sees anything of it.
    fleet.delay(0.5)
    calls = [gevent.spawn(fleet.call, f"t{n}", key=f"k{n}") for n in range(6)]
    agent = fleet.agents[find_desk(fleet, "t0")]
    agent.send(signal.SIGTERM)
    fleet.routers[0].send(signal.SIGTERM)
    for n, call in enumerate(calls):
        status, body = call.get()
        assert (status, body["marker"]) == (201, f"t{n}")
        assert fleet.runs(f"t{n}") == 1
    process_fleet.wait_until(lambda: agent.is_over)
    process_fleet.wait_until(lambda: fleet.routers[0].is_over)


def test_all_agents_of_a_data_centre_restart_during_an_outage(fleet):
    # The store goes down and the agent of one data centre is killed and
    # starts again with nothing. It takes the configuration from its peers and
    # serves; bookings with a key are refused truly, as "not run".
    fleet.platform.set_faults(type(fleet.platform.faults)(outage="unavailable"))
    agent = fleet.agents[1]
    agent.send(signal.SIGKILL)
    agent.stop()
    fleet.agents[1] = fleet.start_agent(1, agent.address)
    for n in range(12):
        status, body = fleet.call(f"o{n}", path="/plots", method="GET")
        assert (status, body["marker"]) == (200, f"o{n}")
    status, body = fleet.call("x", key="k")
    assert (status, body["code"], body["ran"]) == (503, 4003, "no")
    assert fleet.runs("x") == 0
