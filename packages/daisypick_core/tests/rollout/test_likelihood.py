"""Faults of a version told from those of servers."""

import random

import pytest

from daisypick_core.rollout import likelihood

_SERVERS = 21
_SHARE = 0.012
_REJECTED = 9.0


def _draw(*, seed, failing=0.0, faulty=0, answers=17):
    """Return strata of servers, of which some fail by halves."""
    rng = random.Random(seed)
    servers = []
    for number in range(_SERVERS):
        share = 0.45 if number < faulty else _SHARE + failing
        found = sum(rng.random() < share for _ in range(answers))
        servers.append([likelihood.Stratum(answers, found, _SHARE)])
    return servers


@pytest.mark.parametrize("faulty", [0, 3, 8])
def test_faulty_servers_are_not_the_versions_fault(faulty):
    """Guards against a good version that is rejected for some servers."""
    odds = [
        likelihood.find_log_odds(_draw(seed=seed, faulty=faulty))
        for seed in range(200)
    ]
    assert max(odds) < _REJECTED


@pytest.mark.parametrize("faulty", [0, 3])
def test_few_failures_at_most_servers_are_the_versions_fault(faulty):
    """Guards against a version that fails 5 in 100 and shows no server."""
    found = sum(
        likelihood.find_log_odds(
            _draw(seed=seed, failing=0.05, faulty=faulty, answers=30)
        )
        > _REJECTED
        for seed in range(100)
    )
    assert found >= 80


def test_all_failing_and_none_failing_are_finite():
    """Guards against the logarithm of zero at certain routes."""
    for found, share in ((0, 1.0), (50, 0.0), (0, 0.0), (50, 1.0)):
        strata = [[likelihood.Stratum(50, found, share)]] * 30
        assert abs(likelihood.find_log_odds(strata)) < 1e4
