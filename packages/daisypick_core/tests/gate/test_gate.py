from daisypick_core.fairness import share_order
from daisypick_core.gate import actions
from daisypick_core.gate import admission
from daisypick_core.gate import attempts
from daisypick_core.gate import concurrency
from daisypick_core.gate import gate
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value


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
    # The router withdraws an attempt and reports "not run". The offer arrives
    # after the withdrawal and must be refused, or the request runs
    # nevertheless.
    subject = make_gate()
    status, due = subject.withdraw("x", 0.0)
    assert (status.ran, due) == (False, [])
    (refusal,) = subject.offer(make_attempt("x"), 1.0)
    assert refusal.failure.code == codes.WITHDRAWN
    assert subject.attempts.state("x") == attempts.BARRED


def test_stale_incarnation_is_refused():
    # An attempt arrives after a restart of the agent. The previous
    # incarnation may have run it, so the new one must not.
    (refusal,) = make_gate().offer(make_attempt("x", incarnation="a0"), 0.0)
    assert refusal.failure.code == codes.STALE_INCARNATION


def test_drain_refuses_waiting_attempts_and_keeps_running_ones():
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


def test_withdrawn_attempt_never_starts_after_its_removal():
    # The router withdraws x before its offer arrives and reports "not run".
    # The offer arrives many epochs later, after x was removed from the table.
    # Its stale epoch must cause a refusal.
    subject = make_gate(slots=4)
    subject.withdraw("x", 0.0, epoch=0)
    late_offer = make_attempt("x", deadline=10_000.0)
    for minute in range(1, 6):
        subject.tick(minute * attempts.EPOCH_SECONDS)
        (refusal,) = subject.offer(late_offer, minute * attempts.EPOCH_SECONDS)
        assert refusal.failure.ran == codes.RAN_NO
    assert refusal.failure.code == codes.STALE_EPOCH
    assert len(subject.attempts) == 0


def test_removed_attempt_is_not_reported_as_not_run():
    # x runs and ends. Much later a router that lost its connection queries
    # its status. The gate has removed x, and "not run" would be false.
    subject = make_gate()
    subject.offer(make_attempt("x"), 0.0)
    subject.finish("x", cost=1.0, is_healthy=True, now=1.0)
    for minute in range(1, 6):
        subject.tick(minute * attempts.EPOCH_SECONDS)
    status, due = subject.withdraw("x", 400.0, epoch=0)
    assert (status, due) == (
        attempts.AttemptStatus(state=attempts.FORGOTTEN, ran=True),
        [],
    )


def test_duplicate_and_late_claim_reports_start_nothing():
    subject = make_gate()
    attempt = make_attempt("x", is_repeatable=False, idempotency_key="k")
    subject.offer(attempt, 0.0)
    refusal = failure_value.Failure(code=codes.STORE_UNAVAILABLE, reason="x")
    (refused,) = subject.claim_settled("x", refusal, 1.0)
    assert refused.failure.ran == codes.RAN_NO
    assert subject.claim_settled("x", None, 2.0) == []
    assert subject.offer(attempt, 3.0)[0].failure.code == codes.WITHDRAWN
    assert subject.running_count == 0


def test_claim_granted_while_draining_is_released():
    # The data centre goes out of service while a claim is in transit to the
    # store, and the grant arrives after the drain. The attempt must not start
    # and is barred, so that its claim can be taken over.
    subject = make_gate()
    attempt = make_attempt("x", is_repeatable=False, idempotency_key="k")
    subject.offer(attempt, 0.0)
    subject.drain(admission.DATA_CENTRE_OUT, 1.0)
    (refused,) = subject.claim_settled("x", None, 2.0)
    assert refused.failure.code == codes.DRAINING
    assert not subject.withdraw("x", 3.0)[0].ran


def test_claim_granted_past_the_deadline_is_refused():
    subject = make_gate()
    attempt = make_attempt("x", is_repeatable=False, idempotency_key="k")
    subject.offer(attempt, 0.0)
    (refused,) = subject.claim_settled("x", None, attempt.deadline)
    assert refused.failure.code == codes.DEADLINE_PASSED


def test_waiting_attempt_is_redirected_to_an_idle_peer():
    # One agent is idle while an attempt waits at another. The announcement of
    # the idle one arrives before the attempt or after it. In either case the
    # router must receive a hint, one for each free slot.
    idle = make_gate().load()
    subject = make_gate()
    subject.offer(make_attempt("x"), 0.0)
    subject.offer(make_attempt("y"), 0.0)
    (hint,) = subject.note_idle("b", idle, 0.1)
    assert (hint.attempt.attempt_id, hint.agent) == ("y", "b")
    assert subject.note_idle("c", idle, 0.2)[0].agent == "c"
    subject = make_gate()
    subject.offer(make_attempt("x"), 0.0)
    assert subject.note_idle("b", idle, 0.1) == []
    (hint,) = subject.offer(make_attempt("y"), 0.2)
    assert hint.load == idle
    assert subject.offer(make_attempt("z"), 0.3) == []


def test_responses_without_streaming_do_not_indicate_a_cold_server():
    # The first byte of a response that is not streamed arrives with its last.
    # Treated as a first token, a few long responses would make a warm server
    # look cold.
    subject = make_gate(slots=4)
    for n in range(9):
        now = float(n)
        subject.offer(make_attempt(f"s{n}", is_stream=True), now)
        subject.progress(f"s{n}", 1, now + 0.1)
        subject.finish(f"s{n}", cost=1.0, is_healthy=True, now=now + 0.5)
    for n in range(3):
        subject.offer(make_attempt(f"w{n}"), 10.0)
    subject.tick(50.0)
    for n in range(3):
        subject.progress(f"w{n}", 100, 50.0)
    assert (subject.limit.limit, subject.limit.is_suspicious) == (4, False)
    subject.offer(make_attempt("t", is_stream=True), 50.0)
    subject.tick(60.0)
    assert subject.limit.is_suspicious


def test_attempt_that_never_reached_its_server_is_barred():
    # The backend server refuses the connection. The caller receives "not run"
    # and retries the key. The holder must report that the attempt never ran,
    # so that the key can be claimed again.
    subject = make_gate()
    attempt = make_attempt("x", is_repeatable=False, idempotency_key="k")
    subject.offer(attempt, 0.0)
    subject.claim_settled("x", None, 1.0)
    subject.finish("x", cost=0.0, is_healthy=False, now=2.0, has_run=False)
    assert not subject.withdraw("x", 3.0)[0].ran
    assert subject.offer(attempt, 4.0)[0].failure.code == codes.WITHDRAWN
