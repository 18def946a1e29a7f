"""How long engines take to a first token."""

import random

from daisypick_core.scheduling import reading_speed


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
    """Engines that read 5,000 to 300,000 tokens a second, from one start.

    A bound that stands for one customer's engines makes those of another
    late or idle; two hundred first tokens make the line, whatever they are.
    """
    rng = random.Random(7)
    for rate in (5_000.0, 40_000.0, 300_000.0):
        for base in (0.005, 0.06):
            speed = reading_speed.ServiceSpeed()
            _train(speed, rng, base=base, rate=rate, count=200)
            assert _find_max_error(speed, base=base, rate=rate) < 0.15


def test_change_of_speed_is_learned_again():
    rng = random.Random(8)
    speed = reading_speed.ServiceSpeed()
    _train(speed, rng, base=0.01, rate=100_000.0, count=300)
    _train(speed, rng, base=0.01, rate=25_000.0, count=300)
    assert _find_max_error(speed, base=0.01, rate=25_000.0) < 0.2


def test_lost_and_late_first_tokens_do_not_tilt_the_line():
    """One first token of ten waits a second or more for a place in the batch.

    Taken as they are, they make tokens seem to take no time: the host then
    sends an engine millions of tokens that it believes read at once.
    """
    rng = random.Random(9)
    speed = reading_speed.ServiceSpeed()
    for _ in range(60):
        _train(speed, rng, base=0.05, rate=100_000.0, count=9)
        speed.learn(rng.choice((400, 9000)), rng.uniform(1.0, 4.0))
    assert _find_max_error(speed, base=0.05, rate=100_000.0) < 0.3


def test_engine_that_turns_slow_is_known_after_a_few_first_tokens():
    rng = random.Random(10)
    service = reading_speed.ServiceSpeed(base=0.01, token_seconds=1e-5)
    slow, *sound = (
        reading_speed.EngineSpeed(service=service) for _ in range(6)
    )
    for _ in range(15):
        _train(slow, rng, base=0.05, rate=20_000.0, count=1)
        for engine in sound:
            _train(engine, rng, base=0.01, rate=100_000.0, count=1)
    assert slow.predict(5000) > 2.5 * sound[0].predict(5000)
