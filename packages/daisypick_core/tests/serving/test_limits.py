"""Bounds that all routers together keep, each by its own part."""

import random

import pytest

from daisypick_core.serving import cold_limit
from daisypick_core.serving import cold_parts
from daisypick_core.serving import outcomes as outcome_records
from daisypick_core.serving import retry_budget


def _make_limit(name, known):
    parts = cold_parts.ColdParts()
    parts.set_routers(known)
    return cold_limit.ColdLimit(router=name, parts=parts)


def _send_all(limits, *, rate, seconds):
    """Return when requests go to a server, each as soon as it may."""
    return [
        0.01 * tick
        for tick in range(int(seconds * 100))
        for limit in limits
        if limit.take("i-1", rate=rate, now=0.01 * tick)
    ]


def _find_most(sent, seconds):
    """Return the most requests in any second."""
    return max(
        sum(start <= at < start + 1.0 for at in sent)
        for start in (0.01 * tick for tick in range(int(seconds * 100)))
    )


@pytest.mark.parametrize("routers", [1, 5, 12, 27, 100, 690])
def test_cold_server_gets_no_more_than_it_bears_from_all_routers(routers):
    """Routers that know nothing of each other's sends send all they may.

    A server is cold in a fleet of more routers than it bears requests; each
    router is within a bound of its own, and in the first second all of them
    send one. It crashes, and its callers lose their answers.
    """
    names = [f"r-{number}" for number in range(routers)]
    limits = [_make_limit(name, names) for name in names]
    sent = _send_all(limits, rate=12.0, seconds=5.0)
    assert _find_most(sent, 5.0) <= 12
    assert len(sent) >= 40


def test_cold_server_bears_routers_that_come_go_and_are_not_told():
    """Thirty routers, each of which misses some of the others or has some more.

    Machines were added and others lost, and not all routers have heard. The
    platform allows half as much again as the rate, and five.
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


def test_router_that_knows_nobody_sends_nothing_to_a_cold_server():
    """All routers start again while the store is away, beside a cold server.

    Each would take itself for one of few, and all together send too much.
    """
    limits = [_make_limit(f"r-{number}", []) for number in range(27)]
    assert _send_all(limits, rate=12.0, seconds=2.0) == []


def test_sends_to_a_warm_server_count_when_it_turns_cold():
    limit = _make_limit("r-1", ["r-1"])
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


def test_cold_limit_remembers_only_what_it_sent_lately():
    """Guards against a memory of every server that a router ever used."""
    parts = cold_parts.ColdParts()
    parts.set_routers(["r-1"])
    limit = cold_limit.ColdLimit(router="r-1", parts=parts)
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
