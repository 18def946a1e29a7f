"""Fleet-wide limits that each router enforces by its own share."""

import random

import pytest

from daisypick_core.serving import cold_limit
from daisypick_core.serving import cold_quotas
from daisypick_core.serving import outcomes as outcome_records
from daisypick_core.serving import retry_budget


def _make_limit(name, known):
    quotas = cold_quotas.ColdQuotas()
    quotas.set_routers(known)
    return cold_limit.ColdLimit(router=name, quotas=quotas)


def _send_all(limits, *, rate, seconds):
    """Return the times of requests, each sent as soon as it is allowed."""
    return [
        0.01 * tick
        for tick in range(int(seconds * 100))
        for limit in limits
        if limit.take("i-1", rate=rate, now=0.01 * tick)
    ]


def _find_most(sent, seconds):
    """Return the maximum number of requests in any second."""
    return max(
        sum(start <= at < start + 1.0 for at in sent)
        for start in (0.01 * tick for tick in range(int(seconds * 100)))
    )


@pytest.mark.parametrize("routers", [1, 5, 12, 27, 100, 690])
def test_all_routers_together_stay_within_the_rate_of_a_cold_server(routers):
    """Guards against the crash of a cold server, which loses its responses.

    Routers do not know of each other's requests. With more routers than
    requests per second that the server can handle, each router could stay
    within a limit of its own and yet all send one in the first second.
    """
    names = [f"r-{number}" for number in range(routers)]
    limits = [_make_limit(name, names) for name in names]
    sent = _send_all(limits, rate=12.0, seconds=5.0)
    assert _find_most(sent, 5.0) <= 12
    assert len(sent) >= 40


def test_cold_rate_holds_when_routers_have_different_member_lists():
    """Guards against overloading a cold server while lists of routers differ.

    Routers were added and removed, and each of thirty routers misses some of
    the others or still lists removed ones. The platform tolerates 1.5 times
    the rate plus five.
    """
    rng = random.Random(3)
    names = [f"r-{number}" for number in range(30)]
    for _ in range(20):
        limits = []
        for name in names:
            known = {other for other in names if rng.random() < 0.85} | {name}
            known |= {f"gone-{rng.randrange(4)}" for _ in range(2)}
            limits.append(_make_limit(name, known))
        sent = _send_all(limits, rate=12.0, seconds=3.0)
        assert _find_most(sent, 3.0) <= 12 * 1.5 + 5


def test_router_without_a_member_list_sends_nothing_to_a_cold_server():
    """Guards against overloading a cold server after a restart of all routers.

    While the store is unavailable, each router would assume that there are few
    routers, and all of them together would exceed the rate.
    """
    limits = [_make_limit(f"r-{number}", []) for number in range(27)]
    assert _send_all(limits, rate=12.0, seconds=2.0) == []


def test_requests_to_a_warm_server_count_when_it_turns_cold():
    limit = _make_limit("r-1", ["r-1"])
    for _ in range(30):
        limit.note("i-1", now=5.0)
    assert not limit.allows("i-1", rate=23.0, now=5.5)
    assert limit.allows("i-1", rate=23.0, now=6.2)


def test_retries_of_all_routers_stay_within_the_budget():
    """Five routers retry as much as they are allowed, for a minute."""
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
        sent = sum(start <= at < start + 10.0 for at in requests)
        retried = sum(start <= at < start + 10.0 for at in retries)
        assert retried <= 0.2 * sent + 56.0
    assert len(retries) > 300


def test_retries_sent_late_count_where_they_arrive():
    """Guards against two windows' retries that are sent in one."""
    budget = retry_budget.RetryBudget(ratio=0.0, window_seconds=10.0, extra=50)
    while budget.take("s", 0.0):
        pass
    for _ in range(40):
        budget.note_sent("s", taken_at=0.0, now=10.5)
    assert not budget.take("s", 10.6)
    budget.note_sent("s", taken_at=30.0, now=30.4)
    assert sum(budget.take("s", 30.5) for _ in range(50)) == 40


def test_ejection_time_doubles_after_failed_retry_and_success_resets_it():
    outcomes = outcome_records.Outcomes()
    outcomes.note_failure("i-1", now=0.0, certain=True)
    assert outcomes.is_ejected("i-1", now=0.49)
    assert not outcomes.is_ejected("i-1", now=0.51)
    outcomes.note_failure("i-1", now=0.6, certain=True)
    assert outcomes.is_ejected("i-1", now=1.5)
    outcomes.note_success("i-1")
    assert not outcomes.is_ejected("i-1", now=1.5)


def test_fewer_than_three_consecutive_failures_eject_nothing():
    outcomes = outcome_records.Outcomes()
    for now in range(10):
        outcomes.note_failure("i-1", now=float(now))
        outcomes.note_failure("i-1", now=float(now))
        outcomes.note_success("i-1")
        assert not outcomes.is_ejected("i-1", now=float(now))


def test_cold_limit_expires_servers_without_recent_requests():
    """Guards against memory that grows with every server ever used."""
    quotas = cold_quotas.ColdQuotas()
    quotas.set_routers(["r-1"])
    limit = cold_limit.ColdLimit(router="r-1", quotas=quotas)
    for number in range(100):
        limit.note(f"i-{number}", 0.01 * number)
    limit.expire(1.05)
    assert len(limit) == 100
    limit.expire(1.595)
    assert len(limit) == 50
    assert [limit.take("i-99", 1.0, now) for now in (1.595, 2.2)] == [
        False,
        True,
    ]
