import random

from daisypick_core.gate import admission
from daisypick_lab import dispatch_model


def load_fleet(fleet, *, until, rate, seed=1, tokens=40):
    """Submit requests at random times to all routers."""
    rng = random.Random(seed)
    routers = sorted(fleet.router_by_name)

    def arrive():
        organisation = f"organisation-{rng.randrange(6)}"
        cost = rng.randrange(1, 2 * tokens)
        fleet.submit(rng.choice(routers), organisation, cost)
        if fleet.clock.now < until:
            fleet.clock.after(rng.expovariate(rate), arrive)

    fleet.clock.after(0.0, arrive)


def starts_in(fleet, data_centre, begin, end):
    return sum(
        begin <= at < end
        and fleet.agent_by_name[name].data_centre == data_centre
        for at, name in fleet.metrics.starts
    )


def assert_all_served(fleet):
    metrics = fleet.metrics
    assert metrics.failures == []
    assert (metrics.broken_count, metrics.queued, metrics.running) == (0, 0, 0)
    assert metrics.finished == metrics.submitted > 500


def test_data_centre_out_and_in_loses_no_request():
    # A data centre is taken out of service under load and in again. No call
    # may fail: running attempts end and waiting ones finish elsewhere.
    fleet = dispatch_model.Fleet()
    load_fleet(fleet, until=30.0, rate=130.0)
    fleet.clock.run(10.0)
    fleet.publish(fleet.configuration(2, out=("dc-0",)))
    fleet.clock.run(20.0)
    fleet.publish(fleet.configuration(3))
    fleet.clock.run(60.0)
    assert starts_in(fleet, "dc-0", 0.0, 10.0) > 50
    assert starts_in(fleet, "dc-0", 10.0, 20.0) == 0
    assert starts_in(fleet, "dc-0", 20.0, 30.0) > 50
    assert_all_served(fleet)


def test_nothing_starts_if_only_agents_receive_the_out():
    # The store fails right after "out" was accepted: routers do not receive
    # the change and keep sending for ten seconds. The gates must refuse
    # without running, and the requests must finish elsewhere.
    fleet = dispatch_model.Fleet()
    load_fleet(fleet, until=20.0, rate=130.0)
    fleet.clock.run(10.0)
    for agent in fleet.agent_by_name.values():
        agent.configure(fleet.configuration(2, out=("dc-0",)))
    fleet.clock.run(60.0)
    assert starts_in(fleet, "dc-0", 10.0, 60.0) == 0
    assert_all_served(fleet)


def test_nothing_starts_if_only_routers_receive_the_out():
    # The agents do not receive the change. Routers withdraw the attempts that
    # wait in the data centre and send no more: nothing may start there once
    # the messages in flight have arrived.
    fleet = dispatch_model.Fleet()
    load_fleet(fleet, until=20.0, rate=130.0)
    fleet.clock.run(10.0)
    for router in fleet.router_by_name.values():
        router.configure(fleet.configuration(2, out=("dc-0",)))
    fleet.clock.run(60.0)
    assert starts_in(fleet, "dc-0", 10.1, 60.0) == 0
    assert_all_served(fleet)


def test_concurrent_out_and_in():
    # Concurrent changes: generation 2 is out, 3 is in, 4 is out again. Half
    # of the agents receive them out of order, the "in" last. All must end in
    # the state of generation 4.
    fleet = dispatch_model.Fleet()
    load_fleet(fleet, until=20.0, rate=130.0)
    fleet.clock.run(10.0)
    history = [
        fleet.configuration(2, out=("dc-0",)),
        fleet.configuration(3),
        fleet.configuration(4, out=("dc-0",)),
    ]
    for n, agent in enumerate(fleet.agent_by_name.values()):
        crossed = (2, 0, 1) if n % 2 else (0, 1, 2)
        for position in crossed:
            agent.configure(history[position])
    fleet.clock.run(60.0)
    assert starts_in(fleet, "dc-0", 10.0, 60.0) == 0
    assert_all_served(fleet)


def test_out_while_a_router_is_disconnected():
    # A router is disconnected while the data centre goes out of service. Its
    # attempts arrive late, when it is reconnected; none may start there and
    # none may be lost.
    fleet = dispatch_model.Fleet()
    load_fleet(fleet, until=20.0, rate=130.0)
    fleet.clock.run(10.0)
    fleet.network.disconnect("router-0")
    for name, router in fleet.router_by_name.items():
        if name != "router-0":
            router.configure(fleet.configuration(2, out=("dc-0",)))
    for agent in fleet.agent_by_name.values():
        agent.configure(fleet.configuration(2, out=("dc-0",)))
    fleet.clock.run(18.0)
    fleet.network.reconnect("router-0")
    fleet.clock.run(60.0)
    assert starts_in(fleet, "dc-0", 10.0, 60.0) == 0
    assert_all_served(fleet)


def test_shutdown_of_agent_and_router_loses_no_request():
    # Both are stopped gracefully at the same time. The agent returns waiting
    # attempts; the router accepts no new requests and finishes its own.
    fleet = dispatch_model.Fleet()
    load_fleet(fleet, until=20.0, rate=130.0)
    fleet.clock.run(10.0)
    router = fleet.router_by_name["router-0"]
    fleet.agent_by_name["agent-0"].drain(admission.SHUTDOWN)
    queued = router.dispatcher.queued_count + router.dispatcher.in_flight_count
    assert queued > 0
    router.dispatcher.close()
    refused_before = len(fleet.metrics.failures)
    fleet.clock.run(60.0)
    assert router.dispatcher.is_idle
    assert not router.dispatcher.is_ready
    late = [
        at for at, n in fleet.metrics.starts if n == "agent-0" and at > 10.0
    ]
    assert late == []
    refused = len(fleet.metrics.failures) - refused_before
    assert {f.ran for f in fleet.metrics.failures} == {"no"}
    assert fleet.metrics.finished + refused == fleet.metrics.submitted
    assert (fleet.metrics.broken_count, fleet.metrics.queued) == (0, 0)


def test_one_router_with_all_the_backlog_keeps_all_slots_busy():
    # One of fifty routers has the whole backlog. Idle slots would show that
    # its requests do not reach all agents.
    sizes = dispatch_model.Sizes(routers=50, agents=12, slots=8)
    fleet = dispatch_model.Fleet(sizes=sizes, cold_slots=8)
    rng = random.Random(1)
    for n in range(2500):
        fleet.submit("router-7", f"organisation-{n % 8}", rng.randrange(1, 80))
    fleet.clock.run(2.0)
    fleet.metrics.clear()
    fleet.clock.run(12.0)
    fleet.metrics.record()
    assert fleet.metrics.queued > 500
    assert fleet.metrics.utilisation >= 0.99
