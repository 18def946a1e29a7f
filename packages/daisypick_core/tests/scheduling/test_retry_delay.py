"""Retry delays of refused callers, by what these get."""

import itertools
import random

import pytest
import scarce_load

from daisypick_core.scheduling import retry_delay

SEEDS = (1, 2, 3)
# Present range of the random delay with which the decision is compared.
_RANDOM_RANGE = (0.4, 1.4)


def _flooding(received):
    return {
        name: received[name]
        for name in (f"o-{n}" for n in range(scarce_load.FLOODING))
    }


def _play_random(seed):
    rng = random.Random(seed)
    return scarce_load.Simulation(
        seed=seed, choose_delay=lambda: rng.uniform(*_RANDOM_RANGE)
    ).run()


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_get_more_than_with_random_delays(seed):
    """14 of 30 organisations send 11 times their usual load for 8 s.

    Guards against returns at random times: these take the room of requests
    that can still meet their latency target, and are refused again and again.
    """
    before, after = _play_random(seed), scarce_load.Simulation(seed=seed).run()
    for name, received in after.items():
        if name not in _flooding(after):
            assert received.in_target == received.requests
    earlier, sums = (
        scarce_load.sum_up(_flooding(received).values())
        for received in (before, after)
    )
    assert sums.in_target > 1.08 * earlier.in_target
    assert sums.served > 1.01 * earlier.served
    assert sums.tries < 0.95 * earlier.tries
    for name, received in _flooding(after).items():
        assert received.served > 0.93 * before[name].served
        assert received.in_target > 0.93 * before[name].in_target


def test_callers_of_a_short_overload_do_not_wait_longer():
    """Guards against long delays once an overload of 1 s has ended."""
    rng = random.Random(1)
    choices = (lambda: rng.uniform(*_RANDOM_RANGE), None)
    waited = [
        scarce_load.sum_up(
            scarce_load.Simulation(
                seed=1, choose_delay=choose, flood_seconds=1.0
            )
            .run()
            .values()
        ).waited
        for choose in choices
    ]
    assert waited[1] < 1.05 * waited[0]


def test_delays_are_within_bounds():
    """Guards against delays that callers do not honour."""
    simulation = scarce_load.Simulation(seed=1)
    simulation.run()
    assert simulation.refusals
    for refused, seconds_left in simulation.refusals:
        assert refused.retry_after >= retry_delay.MIN_SECONDS
        assert refused.retry_after <= max(
            seconds_left / 3.0 + 1e-6, retry_delay.MIN_SECONDS
        )


def _choose(delays, *, scope, now=0.0):
    return delays.choose(
        "farm", scope=scope, waiting=3, seconds_left=9.0, now=now
    )


@pytest.mark.parametrize("scope", retry_delay.Scope)
def test_delays_are_spread_over_a_range_while_no_rate_is_known(scope):
    """Guards against callers that return together to a new host."""
    delays = retry_delay.RetryDelays()
    delays.note_start("farm", now=0.0)
    chosen = sorted(_choose(delays, scope=scope, now=0.5) for _ in range(20))
    assert chosen[0] >= 0.4
    assert chosen[-1] <= 1.4
    gaps = [late - early for early, late in itertools.pairwise(chosen)]
    assert max(gaps) < 0.1
