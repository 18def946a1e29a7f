from daisypick_core.fairness import share_order
from daisypick_core.gate import waiting
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.results import codes


def make_attempt(attempt_id, organisation):
    return attempt_message.Attempt(
        attempt_id=attempt_id,
        request_id=attempt_id,
        organisation=organisation,
        service="desk",
        estimate=10.0,
        deadline=100.0,
        incarnation="a1",
        epoch=0,
        router="127.0.0.1:1",
    )


def make_queues(**limits):
    return waiting.WaitingQueues(
        order=share_order.ShareOrder(share_by_organisation={}),
        limits=waiting.GateLimits(**limits),
    )


def test_overloading_organisation_does_not_starve_others():
    # One organisation fills the gate. An attempt of another one must still be
    # admitted: the newest attempt of the first one is dropped and gets a
    # retry delay.
    subject = make_queues(waiting_in_all=3)
    for n in range(3):
        assert subject.add(make_attempt(f"f{n}", "flooder"), 0.0) is None
    refusal = subject.check_bounds(make_attempt("f3", "flooder"))
    assert refusal.code == codes.AGENT_QUEUE_FULL
    small = make_attempt("s0", "small")
    assert subject.check_bounds(small) is None
    dropped, failure = subject.add(small, 0.0)
    assert dropped.attempt_id == "f2"
    assert failure.retry_after > 0
    assert len(subject) == 3


def test_each_organisation_has_its_own_bound():
    subject = make_queues(waiting_per_organisation=1)
    subject.add(make_attempt("a", "union"), 0.0)
    assert subject.check_bounds(make_attempt("b", "union")) is not None
    assert subject.check_bounds(make_attempt("c", "studio")) is None
    subject.remove("a")
    assert subject.check_bounds(make_attempt("b", "union")) is None
