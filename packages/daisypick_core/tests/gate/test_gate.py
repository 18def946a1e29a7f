from daisypick_core.fairness import share_order
from daisypick_core.gate import actions
from daisypick_core.gate import admission
from daisypick_core.gate import attempts
from daisypick_core.gate import concurrency
from daisypick_core.gate import gate
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.results import codes


def make_gate(slots=1, shares=()):
    return gate.Gate(
        incarnation="a1",
        order=share_order.ShareOrder(share_by_organisation=dict(shares)),
        limit=concurrency.ConcurrencyLimit(slots=slots, cold_slots=slots),
    )


def make_attempt(attempt_id, organisation="union", **fields):
    values = {
        "attempt_id": attempt_id,
        "request_id": attempt_id,
        "organisation": organisation,
        "service": "desk",
        "estimate": 10.0,
        "deadline": 100.0,
        "incarnation": "a1",
        "epoch": 0,
        "router": "127.0.0.1:1",
    } | fields
    return attempt_message.Attempt(**values)


def test_withdrawn_attempt_never_starts():
    # The router withdraws an attempt and tells its caller "not run". The
    # offer itself is late and arrives after the withdrawal: it must be
    # refused, or the request runs although "not run" was said.
    subject = make_gate()
    status, due = subject.withdraw("x", 0.0)
    assert (status.ran, due) == (False, [])
    (refusal,) = subject.offer(make_attempt("x"), 1.0)
    assert refusal.failure.code == codes.WITHDRAWN
    assert subject.attempts.state("x") == attempts.BARRED


def test_stale_incarnation_is_refused():
    # A router sends an attempt to an agent that restarts before it arrives.
    # The predecessor may have run it, so the successor must not.
    (refusal,) = make_gate().offer(make_attempt("x", incarnation="a0"), 0.0)
    assert refusal.failure.code == codes.STALE_INCARNATION


def test_drain_gives_back_what_waits_and_keeps_what_runs():
    subject = make_gate()
    (start,) = subject.offer(make_attempt("x"), 0.0)
    assert isinstance(start, actions.Start)
    assert subject.offer(make_attempt("y"), 0.0) == []
    (refusal,) = subject.drain(admission.DATA_CENTRE_OUT, 1.0)
    assert refusal.attempt.attempt_id == "y"
    assert refusal.failure.ran == codes.RAN_NO
    assert subject.load().running == 1
    assert subject.finish("x", cost=10.0, is_healthy=True, now=2.0) == []


def test_free_slot_goes_to_lowest_virtual_service():
    subject = make_gate(shares={"union": 1.0, "studio": 4.0}.items())
    subject.offer(make_attempt("a"), 0.0)
    subject.offer(make_attempt("b"), 0.0)
    subject.offer(make_attempt("c", organisation="studio"), 0.0)
    (start,) = subject.finish("a", cost=10.0, is_healthy=True, now=1.0)
    assert start.attempt.attempt_id == "c"


def test_keyed_attempt_is_claimed_before_it_starts():
    subject = make_gate()
    attempt = make_attempt("x", is_repeatable=False, idempotency_key="k")
    assert subject.offer(attempt, 0.0) == [actions.Claim(attempt=attempt)]
    assert subject.withdraw("x", 0.0)[0].ran
    assert subject.claim_settled("x", None, 1.0) == [
        actions.Start(attempt=attempt)
    ]
