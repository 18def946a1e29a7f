"""Which organisations are within their shares."""

from daisypick_core.scheduling import fair_share


def test_organisations_without_recent_requests_are_dropped():
    """Guards against levels computed over every organisation ever seen.

    A level is computed ten times a second over all known organisations.
    """
    shares = fair_share.FairShare(window_seconds=4.0)
    shares.set_capacity(tokens_per_second=100.0)
    for number in range(1000):
        shares.add_demand(f"o-{number}", 1.0, now=0.01 * number)
        shares.add_usage(f"o-{number}", 1.0, now=0.01 * number)
    shares.find_level(10.0)
    assert len(shares) <= 430
    shares.find_level(20.0)
    assert len(shares) == 0


def test_usage_counts_until_it_leaves_the_window():
    shares = fair_share.FairShare(window_seconds=4.0)
    shares.set_capacity(tokens_per_second=100.0)
    shares.add_demand("farm", 900.0, now=1.0)
    shares.add_usage("farm", 300.0, now=1.0)
    assert shares.find_level(4.5) == 400.0
    assert not shares.is_within("farm", 200.0, 4.5)
    assert shares.is_within("farm", 200.0, 20.0)
