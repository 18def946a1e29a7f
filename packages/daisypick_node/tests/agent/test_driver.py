import fleet as fleet_module

from daisypick_core.messages import attempt as attempt_message
from daisypick_node.agent import runner


def make_work(agent, attempt_id):
    attempt = attempt_message.Attempt(
        attempt_id=attempt_id,
        request_id=attempt_id,
        organisation="union",
        service="assistant",
        estimate=1.0,
        deadline=agent.clock() + 60.0,
        incarnation=agent.gate.incarnation,
        epoch=agent.gate.epoch,
        router="127.0.0.1:1",
    )
    return runner.Work(
        attempt=attempt, method="POST", path="/", headers=[], body=b""
    )


def test_cancel_before_the_first_step_frees_the_slot():
    # An attempt is cancelled after it got a slot but before its greenlet
    # first runs. The killed greenlet never runs its cleanup; its slot must
    # still be freed, or the server permanently loses one.
    engine = fleet_module.make_engine(fleet_module.answer_stream("a"))
    fleet = fleet_module.Fleet([engine])
    agent = fleet.agents[0]
    response = agent.driver.offer(make_work(agent, "x"))
    assert agent.gate.running_count == 1
    agent.driver.cancel("x")
    assert (agent.gate.running_count, response.is_over) == (0, True)
    fleet.stop()
    assert engine.calls == []


def test_duplicate_offer_after_its_response_was_dropped_fails():
    # A duplicate offer arrives after the attempt has run and its response
    # was dropped. It must neither run nor wait indefinitely.
    engine = fleet_module.make_engine(fleet_module.answer_stream("a"))
    fleet = fleet_module.Fleet([engine], keep_answer_bytes=1)
    agent = fleet.agents[0]
    first = agent.driver.offer(make_work(agent, "x"))
    fleet_module.wait_until(lambda: agent.driver.responses.get("x") is None)
    again = agent.driver.offer(make_work(agent, "x"))
    assert (first.is_over, again.failure.code.number) == (True, 4002)
    assert agent.driver.responses.get("x") is None
    fleet.stop()
    assert len(engine.calls) == 1
