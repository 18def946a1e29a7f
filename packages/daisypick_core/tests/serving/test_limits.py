"""Bounds that all routers together keep, each by its own part."""

import pytest

from daisypick_core.serving import cold_limit
from daisypick_core.serving import outcomes as outcome_records
from daisypick_core.serving import retry_budget


@pytest.mark.parametrize("routers", [12, 100, 690])
def test_cold_server_gets_no_more_than_it_bears_from_all_routers(routers):
    """Routers that know nothing of each other send all that they may.

    Each begins at a moment of its own. After the first turn of each the
    server gets no more than its rate in any second.
    """
    limits = [cold_limit.ColdLimit() for _ in range(routers)]
    for number, limit in enumerate(limits):
        limit.set_fleet(routers=routers)
        limit.note("i-1", now=-1.1 * routers / 24.0 * number / routers)
    sent = [
        0.01 * tick
        for tick in range(500)
        for limit in limits
        if limit.take("i-1", rate=24.0, now=0.01 * tick)
    ]
    for begin in range(400):
        start = 0.01 * begin
        assert sum(start <= at < start + 1.0 for at in sent) <= 24
    assert len(sent) > 80


def test_sends_to_a_warm_server_count_when_it_turns_cold():
    limit = cold_limit.ColdLimit()
    limit.set_fleet(routers=1)
    for _ in range(30):
        limit.note("i-1", now=5.0)
    assert not limit.allows("i-1", rate=23.0, now=5.5)
    assert limit.allows("i-1", rate=23.0, now=6.2)


def test_retries_of_all_routers_stay_within_the_budget():
    """Five routers send again whatever they may, for a minute."""
    budgets = [
        retry_budget.RetryBudget(ratio=0.2, window_seconds=10.0, extra=56.0)
        for _ in range(5)
    ]
    for budget in budgets:
        budget.set_fleet(routers=5)
    requests, retries = [], []
    for tick in range(600):
        now = 0.1 * tick
        for budget in budgets:
            budget.note_request("s", now)
            requests.append(now)
            while budget.take("s", now):
                retries.append(now)
    for begin in range(0, 500, 7):
        start = 0.1 * begin
        asked = sum(start <= at < start + 10.0 for at in requests)
        again = sum(start <= at < start + 10.0 for at in retries)
        assert again <= 0.2 * asked + 56.0
    assert len(retries) > 300


def test_server_is_tried_again_gently():
    outcomes = outcome_records.Outcomes()
    outcomes.note_failure("i-1", now=0.0, certain=True)
    assert outcomes.is_aside("i-1", now=0.49)
    assert not outcomes.is_aside("i-1", now=0.51)
    outcomes.note_failure("i-1", now=0.6, certain=True)
    assert outcomes.is_aside("i-1", now=1.5)
    outcomes.note_success("i-1")
    assert not outcomes.is_aside("i-1", now=1.5)


def test_single_errors_set_nothing_aside():
    outcomes = outcome_records.Outcomes()
    for now in range(10):
        outcomes.note_failure("i-1", now=float(now))
        outcomes.note_failure("i-1", now=float(now))
        outcomes.note_success("i-1")
        assert not outcomes.is_aside("i-1", now=float(now))
