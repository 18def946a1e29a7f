"""The phases of one order."""

import pytest

from daisypick_core.rollout import decider as deciders
from daisypick_core.rollout import evidence as evidences
from daisypick_core.rollout import state as states

_STATE = states.RolloutState(
    service="desk",
    number=(0, 7),
    in_force="v1",
    target="v2",
    created="7",
    seconds=12.0,
    phase=states.Phase.CANARY,
)


def _make(**changes):
    return deciders.Decider(state=_STATE._replace(**changes), started_at=0.0)


def _add_answers(decider, *, failures=0, count=40):
    for is_target in (False, True):
        tally = evidences.Tally(
            answers=count, failures=failures if is_target else 0
        )
        for server in range(8):
            decider.add_tally("ask", f"i-{server}", tally, is_target=is_target)


def _report(decider, router, now, **changes):
    fields = {
        "phase": states.Phase.MOVING,
        "running_elsewhere": 0,
        "longest": 1.0,
        **changes,
    }
    decider.note_report(deciders.Report(router=router, **fields), now)


def _decide(decider, now, has_capacity=True):
    return decider.decide(now=now, has_capacity=has_capacity)


def test_good_version_goes_through_all_phases():
    decider = _make()
    _add_answers(decider)
    phases = []
    for step in range(24):
        _report(decider, "r-1", step / 2.0)
        phases.append(_decide(decider, step / 2.0).name)
    assert list(dict.fromkeys(phases)) == ["CANARY", "PROBE", "MOVING"]
    # 2 s for reports and 1.2 s for the longest request before the limit.
    assert phases.index("MOVING") == 18


def test_fault_after_the_move_takes_the_traffic_back():
    """Guards against a version that turns bad once it has all requests."""
    decider = _make(phase=states.Phase.MOVING)
    _add_answers(decider, failures=20)
    assert _decide(decider, 11.0) is states.Phase.ROLLED_BACK
    assert decider.reason.startswith("failures of route ask")


@pytest.mark.parametrize(
    ("count", "has_capacity"), [(0, True), (1, True), (40, False)]
)
def test_unproved_version_is_rolled_back_at_the_limit(count, has_capacity):
    """Guards against approving a version of which little is known."""
    decider = _make()
    _add_answers(decider, count=count)
    assert _decide(decider, 11.0, has_capacity) < states.Phase.MOVING
    assert _decide(decider, 11.6, has_capacity) is states.Phase.ROLLED_BACK


def test_outcome_is_final():
    """Guards against an order with two outcomes."""
    decider = _make(phase=states.Phase.ROLLED_BACK)
    _add_answers(decider)
    assert _decide(decider, 9.0) is states.Phase.ROLLED_BACK


@pytest.mark.parametrize(
    "changes", [{"phase": states.Phase.PROBE}, {"running_elsewhere": 1}]
)
def test_move_is_not_over_while_a_router_uses_other_servers(changes):
    """Guards against stopping servers that still run requests."""
    decider = _make(phase=states.Phase.MOVING)
    _report(decider, "r-1", 9.0)
    _report(decider, "r-2", 9.0, **changes)
    assert not decider.has_moved(now=9.5, routers=2)
    _report(decider, "r-2", 9.6)
    assert decider.has_moved(now=9.7, routers=2)


def test_move_is_not_over_for_a_decider_that_hears_few_routers():
    """Guards against a decider cut off from the fleet that decides for it."""
    decider = _make(phase=states.Phase.MOVING)
    _report(decider, "r-1", 9.0)
    assert not decider.has_moved(now=9.1, routers=2)


def test_router_that_has_ended_does_not_hold_the_move_up():
    """Guards against waiting for a process that is gone."""
    decider = _make(phase=states.Phase.MOVING)
    _report(decider, "r-1", 5.0, running_elsewhere=3)
    for router in ("r-2", "r-3"):
        _report(decider, router, 9.0)
    assert decider.has_moved(now=9.1, routers=3)


def test_late_decider_does_not_reject_a_good_version():
    """Guards against a process that was held until the time limit."""
    decider = _make()
    _add_answers(decider)
    assert _decide(decider, 11.9) is states.Phase.MOVING


@pytest.mark.parametrize(
    ("heard_at", "expected"),
    [(2.0, states.Phase.MOVING), (5.0, states.Phase.ROLLED_BACK)],
)
def test_new_decider_does_not_approve_on_less_evidence(heard_at, expected):
    """Guards against approving a version of whose test little was heard."""
    decider = deciders.Decider(state=_STATE, started_at=0.0, heard_at=heard_at)
    _add_answers(decider)
    _decide(decider, 10.5)
    assert _decide(decider, 11.6) is expected


def test_version_in_doubt_is_not_approved():
    """Guards against a move while a fault is likely but not yet certain."""
    decider = _make()
    _add_answers(decider)
    for server in range(8):
        tally = evidences.Tally(answers=10, failures=1 + server // 5)
        decider.add_tally("ask", f"i-{server}", tally, is_target=True)
    assert _decide(decider, 5.0) is states.Phase.CANARY
    assert _decide(decider, 11.0) is states.Phase.ROLLED_BACK
