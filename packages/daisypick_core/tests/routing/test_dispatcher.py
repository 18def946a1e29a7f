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
        subject.record_load(agent.address, make_load(), 0.0)
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


def test_returned_request_is_sent_to_another_agent():
    # An agent starts to drain while a request waits there and returns it as
    # "not run". The caller must not notice: the request is sent to the other
    # agent without spending a retry.
    subject = make_dispatcher()
    (first,) = subject.submit(make_request("x"), 0.0)
    refusal = failure_value.Failure(code=codes.DRAINING, reason="out")
    (second,) = subject.returned(first.attempt.attempt_id, refusal, 1.0)
    assert isinstance(second, actions.Dispatch)
    assert second.agent != first.agent
    assert second.attempt.attempt_id != first.attempt.attempt_id


def test_outcome_of_broken_non_repeatable_request_is_unknown():
    subject = make_dispatcher()
    request = make_request("x", is_repeatable=False)
    (first,) = subject.submit(request, 0.0)
    refusal = failure_value.Failure(code=codes.OUTCOME_UNKNOWN, reason="cut")
    assert subject.broken(first.attempt.attempt_id, refusal, 1.0) == [
        actions.Fail(request_id="x", failure=refusal)
    ]


def test_window_limits_the_attempts_waiting_at_an_agent():
    subject = make_dispatcher(count=1, window=2)
    sent = [
        action
        for n in range(9)
        for action in subject.submit(make_request(f"r{n}"), 0.0)
    ]
    assert len(sent) == 2
    assert subject.queued_count == 7


def refuse(code, **fields):
    return failure_value.Failure(code=code, reason="told so", **fields)


def dispatches(due):
    return [a for a in due if isinstance(a, actions.Dispatch)]


def test_restarted_agent_gets_the_request_again():
    # The agent restarts; the router still addresses the old incarnation and
    # gets a refusal with the new load. The agent accepts work: the request is
    # resent to it at once, although another agent is free as well.
    subject = make_dispatcher()
    (first,) = subject.submit(make_request("x"), 0.0)
    subject.record_load(first.agent, make_load(incarnation="a2"), 1.0)
    refusal = refuse(codes.STALE_INCARNATION)
    (second,) = subject.returned(first.attempt.attempt_id, refusal, 1.0)
    assert second.agent == first.agent
    assert second.attempt.incarnation == "a2"


def test_suspension_ends_without_a_tick():
    # The only agent fails and is suspended. No event occurs until after the
    # suspension; the next event must end it.
    subject = make_dispatcher(count=1)
    (first,) = subject.submit(make_request("x"), 0.0)
    subject.returned(
        first.attempt.attempt_id, refuse(codes.ENGINE_UNREACHABLE), 1.0
    )
    assert subject.submit(make_request("y"), 1.1) == []
    assert subject.next_wake() < 3.0
    subject.record_load("127.0.0.1:0", make_load(limit=4), 4.0)
    assert subject.in_flight_count == 2


def test_data_centre_out_of_service_withdraws_waiting_attempts():
    # A data centre is taken out of service. The router learns of it before the
    # agent does: the attempts that wait there must be withdrawn all the same.
    subject = make_dispatcher(count=1)
    subject.submit(make_request("x"), 0.0)
    agent = dispatcher.AgentAddress(
        address="127.0.0.1:0", service="desk", data_centre="sofia", is_in=False
    )
    (due,) = subject.set_agents([agent], 1.0)
    assert isinstance(due, actions.Withdraw)
    attempt_id = due.attempt.attempt_id
    assert subject.returned(attempt_id, refuse(codes.WITHDRAWN), 1.1) == []
    (again,) = subject.set_agents([agent._replace(is_in=True)], 2.0)
    assert again.attempt.request_id == "x"


def test_draining_agent_is_probed_with_backoff():
    # A VM that was draining stays, and the router is not notified. It must
    # detect this by probes, without sending request after request there.
    subject = make_dispatcher(count=1)
    load = make_load(is_draining=True)
    subject.record_load("127.0.0.1:0", load, 0.0)
    sent_at = []
    subject.submit(make_request("x", deadline=1000.0), 0.0)
    for step in range(1, 1000):
        for due in dispatches(subject.tick(step * 0.1)):
            sent_at.append(step * 0.1)
            subject.record_load("127.0.0.1:0", load, step * 0.1)
            refusal = refuse(codes.DRAINING)
            subject.returned(due.attempt.attempt_id, refusal, step * 0.1)
    assert 3 <= len(sent_at) <= 6
    assert sent_at[0] >= 2.5


def test_waiting_attempt_is_withdrawn_when_another_agent_is_free():
    # The queue of the router is empty, but its request waits behind others
    # at a busy agent while another one has a free slot, which would stay idle.
    subject = make_dispatcher(count=2)
    busy, free = "127.0.0.1:0", "127.0.0.1:1"
    subject.record_load(busy, make_load(running=1), 0.0)
    subject.record_load(free, make_load(running=1), 0.0)
    subject.submit(make_request("x"), 0.0)
    (waiting,) = subject._sender.sent_attempts._attempt_by_request.values()
    other = free if waiting.agent == busy else busy
    (due,) = subject.record_load(other, make_load(), 1.0)
    assert isinstance(due, actions.Withdraw)
    assert subject.record_load(other, make_load(), 1.0) == []
    attempt_id = due.attempt.attempt_id
    (moved,) = subject.returned(attempt_id, refuse(codes.WITHDRAWN), 1.1)
    assert moved.agent == other


def test_refusal_after_a_broken_attempt_is_not_reported_as_not_run():
    # The first attempt breaks off and may have run. The second is refused as
    # "not run", which does not apply to the first.
    subject = make_dispatcher()
    (first,) = subject.submit(make_request("x"), 0.0)
    subject.broken(first.attempt.attempt_id, refuse(codes.ANSWER_BROKEN), 0.1)
    (second,) = dispatches(subject.tick(1.0))
    (due,) = subject.returned(
        second.attempt.attempt_id, refuse(codes.DEADLINE_PASSED), 2.0
    )
    assert due.failure.code == codes.OUTCOME_UNKNOWN


def test_attempts_stay_within_the_budget_when_all_queues_are_full():
    # Every agent refuses every attempt. Without a budget each refusal would
    # cause another attempt, and the overload would sustain itself.
    subject = make_dispatcher(count=4)
    attempts = 0
    failed = []
    for n in range(2000):
        now = n * 0.01
        due = subject.submit(make_request(f"r{n}", deadline=now + 1.0), now)
        due += subject.tick(now)
        while due:
            action = due.pop()
            if isinstance(action, actions.Fail):
                failed.append(action)
                continue
            attempts += 1
            refusal = refuse(codes.AGENT_QUEUE_FULL, retry_after=0.5)
            due += subject.returned(action.attempt.attempt_id, refusal, now)
    assert attempts <= 1.1 * 2000
    assert len(failed) + subject.queued_count == 2000
    assert {f.failure.ran for f in failed} == {codes.RAN_NO}


def test_closing_router_refuses_new_requests_and_finishes_the_rest():
    subject = make_dispatcher(count=1)
    (first,) = subject.submit(make_request("x"), 0.0)
    subject.close()
    (due,) = subject.submit(make_request("y"), 1.0)
    assert due.failure.code == codes.DRAINING
    assert (subject.is_ready, subject.is_idle) == (False, False)
    subject.finished(first.attempt.attempt_id, 2.0)
    assert subject.is_idle


def test_full_router_drops_the_newest_request_of_the_longest_queue():
    # One organisation fills the router's queues. A request of a small one must
    # still be accepted; the dropped request gets a retry delay.
    subject = make_dispatcher(count=0, queued_in_all=3)
    for n in range(3):
        subject.submit(make_request(f"f{n}", organisation="flooder"), 0.0)
    (due,) = subject.submit(make_request("s", organisation="small"), 0.0)
    assert due.request_id == "f2"
    assert due.failure.code == codes.ROUTER_FULL
    assert due.failure.retry_after > 0
    subject.set_queue_bounds({"small": 1})
    (due,) = subject.submit(make_request("t", organisation="small"), 0.0)
    assert due.failure.code == codes.ORGANISATION_QUEUE_FULL


def test_cancelled_request_is_dropped_in_every_state():
    subject = make_dispatcher(count=1, window=1)
    for n in range(3):
        subject.submit(make_request(f"r{n}"), 0.0)
    assert subject.cancel("r2", 1.0) == []
    cancel, dispatch = subject.cancel("r0", 1.0)
    assert isinstance(cancel, actions.Cancel)
    assert dispatch.attempt.request_id == "r1"
    assert (subject.queued_count, subject.in_flight_count) == (0, 1)


def test_hint_withdraws_the_waiting_request():
    # The agent at which a request waits reports that another one is idle. Only
    # a request that still waits is withdrawn, and only once.
    subject = make_dispatcher(count=2)
    for n in range(2):
        subject.record_load(f"127.0.0.1:{n}", make_load(running=1), 0.0)
    (first,) = subject.submit(make_request("x"), 0.0)
    attempt_id = first.attempt.attempt_id
    (other,) = {"127.0.0.1:0", "127.0.0.1:1"} - {first.agent}
    (due,) = subject.hinted(attempt_id, other, make_load(), 0.001)
    assert isinstance(due, actions.Withdraw)
    assert subject.hinted(attempt_id, other, make_load(), 0.002) == []
    subject.started(attempt_id, 0.003)
    assert subject.hinted(attempt_id, other, make_load(), 0.004) == []


def test_repeatable_request_fails_over_from_an_unresponsive_agent():
    # An agent hangs with two requests waiting and does not respond to their
    # withdrawal. The repeatable request is sent to another agent; the other
    # one may be running and must not be.
    subject = make_dispatcher(count=2)
    busy, free = "127.0.0.1:0", "127.0.0.1:1"
    subject.record_load(free, make_load(running=1), 0.0)
    subject.record_load(busy, make_load(limit=2), 0.0)
    subject.submit(make_request("x"), 0.0)
    subject.submit(make_request("y", is_repeatable=False), 0.0)
    subject.record_load(busy, make_load(running=1), 0.1)
    due = subject.record_load(free, make_load(limit=3), 0.2)
    assert {a.attempt.request_id for a in due} == {"x", "y"}
    assert subject.tick(0.9) == []
    cancel, dispatch = subject.tick(1.5)
    assert isinstance(cancel, actions.Cancel)
    assert (dispatch.attempt.request_id, dispatch.agent) == ("x", free)
    assert subject.tick(9.0) == []
    refusal = refuse(codes.WITHDRAWN)
    assert subject.returned(cancel.attempt.attempt_id, refusal, 9.0) == []


def test_slow_agent_is_used_only_when_no_other_is_free():
    # One of two agents has ten times the time to first token. It is ejected,
    # but still used when no other slot is free.
    subject = make_dispatcher(count=2)
    slow = "127.0.0.1:0"
    for n in range(60):
        now = float(n)
        for address in (slow, "127.0.0.1:1"):
            subject.record_load(address, make_load(limit=8), now)
        (due,) = dispatches(subject.submit(make_request(f"r{n}"), now))
        subject.started(due.attempt.attempt_id, now)
        pause = 1.0 if due.agent == slow else 0.1
        subject.first_token(due.attempt.attempt_id, now + pause)
        subject.finished(due.attempt.attempt_id, now + pause)
    for address in (slow, "127.0.0.1:1"):
        subject.record_load(address, make_load(limit=4), 60.0)
    agents = [
        due.agent
        for n in range(8)
        for due in subject.submit(make_request(f"s{n}"), 60.0)
    ]
    assert agents == 4 * ["127.0.0.1:1"] + 4 * [slow]


def test_prefix_is_sent_to_its_agents_until_they_are_full():
    # All routers send a prefix to the same agents without communication, but
    # not beyond their free slots while others have some.
    firsts = set()
    for seed in range(5):
        subject = dispatcher.Dispatcher(
            router=f"127.0.0.1:{seed}",
            rng=random.Random(seed),
            policy="prefix_affinity",
        )
        agents = [
            dispatcher.AgentAddress(
                address=f"127.0.0.1:{n}", service="desk", data_centre="sofia"
            )
            for n in range(9)
        ]
        subject.set_agents(agents, 0.0)
        for agent in agents:
            subject.record_load(agent.address, make_load(limit=2), 0.0)
        sent = [
            due.agent
            for n in range(18)
            for due in subject.submit(make_request(f"r{n}", prefix="p"), 0.0)
        ]
        firsts.add(tuple(sent[:6]))
        assert sorted(sent) == sorted(2 * [a.address for a in agents])
    assert len(firsts) == 1


def break_five_attempts(subject, now, **options):
    requests = [
        make_request(f"r{n}", is_repeatable=False, idempotency_key=f"k{n}")
        for n in range(5)
    ]
    sent = [a for r in requests for a in subject.submit(r, 0.0)]
    lost = failure_value.Failure(code=codes.OUTCOME_UNKNOWN, reason="lost")
    assert len(sent) == 5
    return lambda: [
        subject.broken(a.attempt.attempt_id, lost, now, **options) for a in sent
    ]


def test_restart_does_not_count_as_consecutive_failures():
    # The only agent of a service restarts with five attempts in flight, which
    # all break at once. If they counted as consecutive failures of the new
    # incarnation, it would be suspended for many seconds while work waits.
    subject = make_dispatcher(count=1, window=9)
    subject.record_load("127.0.0.1:0", make_load(limit=9), 0.0)
    break_all = break_five_attempts(subject, 1.0)
    subject.record_load(
        "127.0.0.1:0", make_load(incarnation="a2", limit=9), 1.0
    )
    break_all()
    (dispatch,) = subject.submit(make_request("next"), 1.0)
    assert isinstance(dispatch, actions.Dispatch)


def test_five_responses_lost_at_once_count_as_one_failure():
    # The connection to the only agent breaks with five attempts in flight. It
    # is suspended as after one failure, and is retried soon.
    subject = make_dispatcher(count=1, window=9)
    subject.record_load("127.0.0.1:0", make_load(limit=9), 0.0)
    break_all = break_five_attempts(subject, 1.0)
    break_all()
    assert subject.submit(make_request("next"), 1.0) == []
    (dispatch,) = subject.tick(3.0)
    assert isinstance(dispatch, actions.Dispatch)


def test_unknown_outcome_of_a_key_does_not_suspend_the_agent():
    # Callers retry keys whose outcome is unknown, and the agent reports this
    # each time. It must still get the work of others.
    subject = make_dispatcher(count=1, window=9)
    subject.record_load("127.0.0.1:0", make_load(limit=9), 0.0)
    break_all = break_five_attempts(subject, 1.0, is_answered=True)
    break_all()
    (dispatch,) = subject.submit(make_request("next"), 1.0)
    assert isinstance(dispatch, actions.Dispatch)


def test_stale_loads_neither_attract_nor_repel_requests():
    # A minute ago one agent had many free slots and the others none. If the
    # stale load were trusted, all requests would go to the first agent and none
    # to the others. Each agent is probed once; then its new load counts.
    subject = make_dispatcher(count=4)
    for n in range(4):
        load = make_load(limit=8, running=0 if n == 0 else 8)
        subject.record_load(f"127.0.0.1:{n}", load, 0.0)
    subject.tick(60.0)
    sent = [
        due.agent
        for n in range(4)
        for due in subject.submit(make_request(f"r{n}"), 60.0)
    ]
    assert sorted(sent) == [f"127.0.0.1:{n}" for n in range(4)]
    subject.record_load("127.0.0.1:2", make_load(limit=8, running=2), 60.1)
    (due,) = subject.submit(make_request("x"), 60.2)
    assert due.agent == "127.0.0.1:2"
