import pytest

from daisypick_core.fairness import share_order
from daisypick_core.messages import attempt as attempt_message


def make_order(policy="own_service", **shares):
    return share_order.ShareOrder(
        share_by_organisation=shares or {"farm": 1.0, "union": 1.0},
        policy=policy,
    )


def make_attempt(attempt_id, organisation, estimate=10.0):
    return attempt_message.Attempt(
        attempt_id=attempt_id,
        request_id=attempt_id,
        organisation=organisation,
        service="desk",
        estimate=estimate,
        deadline=100.0,
        incarnation="a1",
        epoch=0,
        router="127.0.0.1:1",
    )


def fleet(lag, included=0.0, reach=1):
    return share_order.FleetService(lag=lag, included=included, reach=reach)


def test_stream_beyond_its_estimate_is_charged_while_it_runs():
    # A request with an estimate of 10 tokens streams 500. If it were charged
    # only at its end, its organisation would get the next slots as well.
    order = make_order()
    for name in ("farm", "union"):
        order.arrive(name, 0.0)
    long_stream = make_attempt("x", "farm")
    order.start(long_stream)
    order.start(make_attempt("y", "union", estimate=50.0))
    assert order.pick(["farm", "union"], 1.0) == "farm"
    order.progress(long_stream, 9)
    assert order.pick(["farm", "union"], 1.0) == "farm"
    order.progress(long_stream, 500)
    assert order.pick(["farm", "union"], 1.0) == "union"
    order.settle(long_stream, 510.0)
    account = order.accounts()["farm"]
    assert (account.charged, account.served) == (510.0, 510.0)
    order.progress(long_stream, 900)
    order.settle(long_stream, 900.0)
    assert account.served == 510.0


def test_released_attempt_costs_nothing():
    order = make_order()
    attempt = make_attempt("x", "farm")
    order.start(attempt)
    order.release(attempt)
    order.release(attempt)
    account = order.accounts()["farm"]
    assert (account.charged, account.served) == (0.0, 0.0)


def test_hint_is_corrected_by_learned_costs():
    order = make_order()
    first = make_attempt("x", "farm")
    order.start(first)
    order.settle(first, 80.0)
    order.start(make_attempt("y", "farm"))
    assert order.accounts()["farm"].charged == 160.0
    order.start(make_attempt("z", "union", estimate=5.0))
    assert order.accounts()["union"].charged == 40.0


def test_return_from_idle_brings_no_credit():
    # "union" is idle while "farm" is served 1000 tokens. With its old counter
    # it would take every slot until it caught up, and "farm" would starve.
    order = make_order()
    for name in ("farm", "union"):
        order.arrive(name, 0.0)
    order.depart("union")
    order.charge("farm", 1000.0)
    order.pick(["farm"], 20.0)
    order.arrive("union", 20.0)
    order.charge("union", 1.0)
    assert order.pick(["farm", "union"], 20.0) == "farm"


def test_briefly_empty_queue_keeps_its_credit():
    # The queue of a backlogged organisation at a gate is empty until its
    # router refills it. A lift at that moment would remove earned credit.
    order = make_order()
    for name in ("farm", "union"):
        order.arrive(name, 0.0)
    order.charge("farm", 1000.0)
    order.pick(["farm", "union"], 1.0)
    order.depart("union")
    order.arrive("union", 1.1)
    order.charge("union", 500.0)
    assert order.pick(["farm", "union"], 1.1) == "union"


def test_fleet_lag_sets_the_order_and_late_responses_are_dropped():
    order = make_order("damped_by_reach")
    for name in ("farm", "union"):
        order.arrive(name, 0.0)
    order.charge("farm", 30.0)
    assert order.pick(["farm", "union"], 0.0) == "union"
    order.set_fleet_service("farm", fleet(-100.0, included=30.0))
    assert order.pick(["farm", "union"], 0.0) == "farm"
    order.set_fleet_service("farm", fleet(+100.0, included=10.0))
    assert order.pick(["farm", "union"], 0.0) == "farm"
    order.set_fleet_service("nobody", fleet(0.0))
    assert "nobody" not in order.accounts()


@pytest.mark.parametrize("count", [22_000])
def test_accounts_of_removed_organisations_are_dropped(count):
    shares = {f"o{n}": 1.0 for n in range(count)}
    order = make_order(**shares)
    for name in shares:
        order.arrive(name, 0.0)
        order.charge(name, 5.0)
        order.depart(name)
    running = make_attempt("x", "o0")
    order.start(running)
    order.set_shares({"farm": 1.0})
    assert list(order.accounts()) == ["o0"]
    order.settle(running, 10.0)
    order.set_shares({"farm": 1.0})
    assert not order.accounts()
