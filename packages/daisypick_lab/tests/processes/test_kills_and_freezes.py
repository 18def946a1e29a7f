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
    """Wait until a server runs a call; return the server's index."""
    process_fleet.wait_until(lambda: fleet.runs(marker))
    return [d.runs_by_marker[marker] for d in fleet.desks].index(1)


def test_killed_agent_loses_no_repeatable_call(fleet):
    # The agent is killed while repeatable calls run. The router sees the
    # connection break, can't reach the agent and retries the calls elsewhere;
    # every caller must get the response to its own call.
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
    # The agent is killed while a booking runs and restarts with no state. The
    # caller gets "unknown"; a retry with the same idempotency key through the
    # other router must not run the booking again.
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


def test_suspended_agent_responds_after_it_resumes(fleet):
    # The agent is suspended while a booking runs, for longer than the router's
    # progress timeout. Retries of the key through both routers must run
    # nothing meanwhile; the booking has run once when the agent resumes.
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


def test_retry_after_a_router_kill_gets_the_first_response(fleet):
    # The router is killed after it has sent a booking. The caller retries the
    # same key through the other router and must get the response of the
    # first run.
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


def test_terminated_processes_exit_without_failing_calls(fleet):
    # Router and agent receive SIGTERM while calls run. Each must exit after
    # its last call, and no call may fail.
    fleet.delay(0.5)
    calls = [gevent.spawn(fleet.call, f"t{n}", key=f"k{n}") for n in range(6)]
    agent = fleet.agents[find_desk(fleet, "t0")]
    agent.send(signal.SIGTERM)
    fleet.routers[0].send(signal.SIGTERM)
    for n, call in enumerate(calls):
        status, body = call.get()
        assert (status, body["marker"]) == (201, f"t{n}")
        assert fleet.runs(f"t{n}") == 1
    process_fleet.wait_until(lambda: agent.has_exited)
    process_fleet.wait_until(lambda: fleet.routers[0].has_exited)


def test_all_agents_of_a_data_centre_restart_during_an_outage(fleet):
    # The store is unavailable, and the agent of one data centre is killed and
    # restarts with no state. It must get the configuration from its peers and
    # serve; bookings with a key must be refused as "not run".
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
