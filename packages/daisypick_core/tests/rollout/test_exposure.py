"""The share of the requests that may test a version."""

import random

from daisypick_core.rollout import exposure as exposures


def _play(exposure, routes, *, is_probe=False, count=10_000, seed=1):
    """Send requests; return those that tested the version, by route."""
    rng = random.Random(seed)
    names, weights = zip(*routes.items(), strict=True)
    sent_by_route = dict.fromkeys(names, 0)
    for number in range(count):
        (route,) = rng.choices(names, weights)
        sent_by_route[route] += exposure.take(route, is_probe=is_probe)
        exposure.note_sent(route)
        assert sum(sent_by_route.values()) <= 0.1 * (number + 1)
    return sent_by_route


def test_share_holds_after_each_request():
    """Guards against requests that are sent in advance of the others."""
    sent = _play(exposures.Exposure(share=0.1), {"ask": 3, "look": 1})
    assert 500 < sum(sent.values()) <= 560


def test_share_holds_in_a_probe_from_the_start():
    """Guards against a probe that spends more than was saved."""
    sent = _play(
        exposures.Exposure(share=0.1), {"ask": 3, "look": 1}, is_probe=True
    )
    assert 850 < sum(sent.values()) <= 900


def test_probe_spends_a_part_of_what_later_requests_allow():
    """Guards against a verdict that needs more answers than were saved."""
    counts = []
    for remaining in (0.0, 1.0, 9.0):
        exposure = exposures.Exposure(share=0.1)
        for _ in range(10_000):
            exposure.note_sent("ask")
        for _ in range(2):
            exposure.add_advance(remaining=remaining)
        taken = 0
        for _ in range(2_000):
            taken += exposure.take("ask", is_probe=True)
            exposure.note_sent("ask")
        counts.append(taken)
    # 0.045 of 10,000 requests that are still to come, and not of more.
    assert 440 <= counts[1] - counts[0] <= 460
    assert counts[2] == counts[1]


def test_share_holds_in_a_probe_that_goes_on_until_the_limit():
    """Guards against a probe that spends the share of later requests twice."""
    exposure = exposures.Exposure(share=0.1)
    taken = 0
    for number in range(20_000):
        if number == 10_000:
            exposure.add_advance(remaining=1.0)
        taken += exposure.take("ask", is_probe=number >= 10_000)
        exposure.note_sent("ask")
    assert 1_850 <= taken <= 2_000


def test_probe_loads_its_servers_as_much_as_usual():
    """Guards against a probe that sends all requests to few servers at once."""
    exposure = exposures.Exposure(share=0.1)
    for _ in range(10_000):
        exposure.note_sent("ask")
    taken = 0
    for _ in range(210):
        taken += exposure.take("ask", is_probe=True)
        exposure.note_sent("ask")
    usual = 210 / 21 * exposures.count_probed(21)
    assert 1.1 * usual <= taken <= 1.3 * usual


def test_route_with_little_traffic_is_tested_too():
    """Guards against a fault of one route that nobody meets in the test."""
    sent = _play(exposures.Exposure(share=0.1), {"ask": 97, "look": 3})
    assert sent["look"] > 80


def test_idle_route_does_not_send_many_requests_in_a_row():
    """Guards against a burst of an idle route on few new servers."""
    exposure = exposures.Exposure(share=0.1)
    exposure.take("look", is_probe=False)
    for _ in range(10_000):
        exposure.note_sent("ask")
    taken = [exposure.take("look", is_probe=False) for _ in range(5)]
    assert taken == [True, False, False, False, False]


def test_lost_requests_do_not_count():
    """Guards against a share of requests that reached no server."""
    exposure = exposures.Exposure(share=1.0)
    for _ in range(10):
        exposure.note_sent("ask")
        exposure.note_lost("ask")
    assert not exposure.take("ask", is_probe=True)
