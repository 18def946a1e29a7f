"""Prediction of the time to first token."""

import random

from daisypick_core.scheduling import prefill_speed


def _train(speed, rng, *, base, rate, count, noise=0.1):
    for _ in range(count):
        tokens = rng.choice((400, 1800, 2900, 9000))
        seconds = base + tokens / rate
        speed.learn(tokens, seconds * rng.uniform(1.0 - noise, 1.0 + noise))


def _find_max_error(speed, *, base, rate):
    """Return the largest relative error of predictions."""
    return max(
        abs(speed.predict(tokens) / (base + tokens / rate) - 1.0)
        for tokens in (500, 2000, 8000)
    )


def test_line_is_learned_for_engines_of_any_speed():
    """Engines prefill 5,000 to 300,000 tokens per second, with one prior.

    Fixed constants that suit one kind of engine make others late or idle; two
    hundred first tokens have to determine the line for each of them.
    """
    rng = random.Random(7)
    for rate in (5_000.0, 40_000.0, 300_000.0):
        for base in (0.005, 0.06):
            speed = prefill_speed.ServiceSpeed()
            _train(speed, rng, base=base, rate=rate, count=200)
            assert _find_max_error(speed, base=base, rate=rate) < 0.15


def test_line_follows_a_change_of_speed():
    rng = random.Random(8)
    speed = prefill_speed.ServiceSpeed()
    _train(speed, rng, base=0.01, rate=100_000.0, count=300)
    _train(speed, rng, base=0.01, rate=25_000.0, count=300)
    assert _find_max_error(speed, base=0.01, rate=25_000.0) < 0.2


def test_outliers_do_not_distort_the_line():
    """One first token of ten waits a second or more for a slot in the batch.

    Without a bound these outliers make a token seem to take no time, and the
    host sends an engine millions of tokens at once.
    """
    rng = random.Random(9)
    speed = prefill_speed.ServiceSpeed()
    for _ in range(60):
        _train(speed, rng, base=0.05, rate=100_000.0, count=9)
        speed.learn(rng.choice((400, 9000)), rng.uniform(1.0, 4.0))
    assert _find_max_error(speed, base=0.05, rate=100_000.0) < 0.3


def test_slow_engine_is_detected_after_a_few_first_tokens():
    rng = random.Random(10)
    service = prefill_speed.ServiceSpeed(base=0.01, token_seconds=1e-5)
    slow, *sound = (
        prefill_speed.EngineSpeed(service=service) for _ in range(6)
    )
    for _ in range(15):
        _train(slow, rng, base=0.05, rate=20_000.0, count=1)
        for engine in sound:
            _train(engine, rng, base=0.01, rate=100_000.0, count=1)
    assert slow.predict(5000) > 2.5 * sound[0].predict(5000)
