import random

from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import actions
from daisypick_core.routing import dispatcher


def make_load(**fields):
    values = {
        "incarnation": "a1",
        "epoch": 0,
        "generation": 1,
        "limit": 1,
        "running": 0,
        "waiting": 0,
        "is_draining": False,
    } | fields
    return load_message.Load(**values)


def make_dispatcher(count=2, **limits):
    subject = dispatcher.Dispatcher(
        router="127.0.0.1:1",
        rng=random.Random(1),
        limits=dispatcher.DispatcherLimits(**limits),
    )
    agents = [
        dispatcher.AgentAddress(
            address=f"127.0.0.1:{n}", service="desk", data_centre="sofia"
        )
        for n in range(count)
    ]
    subject.set_agents(agents, 0.0)
    for agent in agents:
        subject.hear(agent.address, make_load(), 0.0)
    return subject


def make_request(request_id, **fields):
    values = {
        "request_id": request_id,
        "organisation": "union",
        "service": "desk",
        "estimate": 10.0,
        "deadline": 100.0,
    } | fields
    return dispatcher.Request(**values)


def test_returned_request_goes_elsewhere():
    # An agent starts to drain while a request waits there and gives it back
    # as "not run". The caller must see nothing of it: the request goes on to
    # the other agent without costing a retry.
    subject = make_dispatcher()
    (first,) = subject.submit(make_request("x"), 0.0)
    refusal = failure_value.Failure(code=codes.DRAINING, reason="out")
    (second,) = subject.returned(first.attempt.attempt_id, refusal, 1.0)
    assert isinstance(second, actions.Dispatch)
    assert second.agent != first.agent
    assert second.attempt.attempt_id != first.attempt.attempt_id


def test_broken_request_that_may_not_be_repeated_is_unknown():
    subject = make_dispatcher()
    request = make_request("x", is_repeatable=False)
    (first,) = subject.submit(request, 0.0)
    refusal = failure_value.Failure(code=codes.OUTCOME_UNKNOWN, reason="cut")
    assert subject.broken(first.attempt.attempt_id, refusal, 1.0) == [
        actions.Fail(request_id="x", failure=refusal)
    ]


def test_window_bounds_what_waits_at_an_agent():
    subject = make_dispatcher(count=1, window=2)
    sent = [
        action
        for n in range(9)
        for action in subject.submit(make_request(f"r{n}"), 0.0)
    ]
    assert len(sent) == 2
    assert subject.queued_count == 7
