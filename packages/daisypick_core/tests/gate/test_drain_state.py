import types

from daisypick_core.configuration import model
from daisypick_core.fairness import share_order
from daisypick_core.gate import admission
from daisypick_core.gate import attempts
from daisypick_core.gate import concurrency
from daisypick_core.gate import drain_state
from daisypick_core.gate import gate
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.results import codes


def make_configuration(generation, *, is_in=True, servers=("desk-1",)):
    return model.EMPTY._replace(
        generation=generation,
        backend_servers_by_name=types.MappingProxyType(
            {
                name: model.BackendServer(
                    name=name,
                    service="desk",
                    data_centre="sofia",
                    address="127.0.0.1:1",
                    agent="127.0.0.1:2",
                )
                for name in servers
            }
        ),
        data_centres_by_name=types.MappingProxyType(
            {"sofia": model.DataCentre(name="sofia", is_in=is_in)}
        ),
    )


def derive(generation, **fields):
    return drain_state.derive(
        make_configuration(generation, **fields), "desk-1"
    )


def make_gate(slots=2):
    subject = gate.Gate(
        incarnation="a1",
        order=share_order.ShareOrder(share_by_organisation={}),
        limit=concurrency.ConcurrencyLimit(slots=slots, cold_slots=1),
    )
    subject.apply_drain_state(derive(1), 0.0)
    return subject


def make_attempt(attempt_id, **fields):
    values = {
        "attempt_id": attempt_id,
        "request_id": attempt_id,
        "organisation": "union",
        "service": "desk",
        "estimate": 10.0,
        "deadline": 100.0,
        "incarnation": "a1",
        "epoch": 0,
        "router": "127.0.0.1:1",
    } | fields
    return attempt_message.Attempt(**values)


def test_derive():
    assert derive(3).reasons == frozenset()
    assert derive(3, is_in=False).reasons == {admission.DATA_CENTRE_OUT}
    assert derive(3, servers=()).reasons == {admission.REMOVED}
    assert drain_state.derive(
        make_configuration(3), "desk-1", is_vm_leaving=True
    ).reasons == {admission.VM_LEAVING}


def test_older_generation_does_not_reopen_a_gate():
    # Generation 7 takes a data centre into service and 8 out of service. The
    # agent receives 8 first and 7 later, from a peer that was partitioned.
    # Opening on 7 would start attempts in a data centre out of service.
    subject = make_gate()
    subject.apply_drain_state(derive(8, is_in=False), 1.0)
    subject.apply_drain_state(derive(7), 2.0)
    (refusal,) = subject.offer(make_attempt("x"), 2.0)
    assert refusal.failure.code == codes.DRAINING
    assert subject.generation == 8
    subject.apply_drain_state(derive(9), 3.0)
    assert len(subject.offer(make_attempt("y"), 3.0)) == 1


def test_restart_without_configuration_starts_nothing():
    # The agent restarts while its data centre is out of service and the store
    # is down. Without a configuration it must refuse attempts, or a router
    # that lacks the configuration as well gets its request run there.
    subject = make_gate()
    subject.admission = admission.Admission()
    empty = drain_state.derive(model.EMPTY, "desk-1")
    subject.apply_drain_state(empty, 0.0)
    (refusal,) = subject.offer(make_attempt("x"), 0.0)
    assert refusal.failure.code == codes.NOT_CONFIGURED
    assert refusal.failure.ran == codes.RAN_NO
    subject.apply_drain_state(derive(1, is_in=False), 1.0)
    (refusal,) = subject.offer(make_attempt("y"), 1.0)
    assert refusal.failure.code == codes.DRAINING
    assert subject.admission.reasons == (admission.DATA_CENTRE_OUT,)


def test_lagging_list_does_not_reopen_the_gate_of_a_leaving_vm():
    # The VM is leaving while the platform's list lags and still shows it as
    # live. Applying the list would start attempts on a leaving VM.
    subject = make_gate()
    leaving = derive(1)._replace(reasons=frozenset({admission.VM_LEAVING}))
    subject.apply_drain_state(leaving, 1.0)
    subject.apply_drain_state(derive(2), 2.0)
    assert subject.load().is_draining
    assert subject.admission.reasons == (admission.VM_LEAVING,)


def test_returned_data_centre_is_ramped():
    subject = make_gate(slots=2)
    subject.offer(make_attempt("x"), 0.0)
    subject.finish("x", cost=1.0, is_healthy=True, now=1.0)
    assert subject.load().limit == 1
    subject.offer(make_attempt("y"), 1.0)
    subject.finish("y", cost=63.0, is_healthy=True, now=2.0)
    assert subject.load().limit == 2
    subject.apply_drain_state(derive(2, is_in=False), 3.0)
    subject.apply_drain_state(derive(3), 9.0)
    assert (subject.load().limit, subject.load().is_draining) == (1, False)


def test_late_claim_starts_nothing_when_draining():
    # A data centre goes out of service while a slow store processes a claim,
    # which is granted half a second or ten seconds later. The attempt must
    # not start here, and its claim is released so that it can run elsewhere.
    for late in (0.5, 10.0):
        subject = make_gate()
        fields = {"is_repeatable": False, "idempotency_key": "k"}
        subject.offer(make_attempt("x", **fields), 0.0)
        subject.apply_drain_state(derive(2, is_in=False), 1.0)
        (due,) = subject.claim_settled("x", None, 1.0 + late)
        state = subject.attempts.state("x")
        assert (state, due.release_claim) == (attempts.BARRED, True)
        assert due.failure.ran == codes.RAN_NO
        assert subject.running_count == 0


def test_resumed_process_starts_nothing_past_its_deadline():
    # The agent is paused while a request waits. When it resumes, the router
    # has already reported the expired deadline, so the request must not run.
    subject = make_gate(slots=1)
    subject.offer(make_attempt("x"), 0.0)
    subject.offer(make_attempt("y", deadline=5.0), 0.0)
    (due,) = subject.finish("x", cost=1.0, is_healthy=True, now=600.0)
    assert due.failure.code == codes.DEADLINE_PASSED
    assert subject.attempts.state("y") == attempts.BARRED
