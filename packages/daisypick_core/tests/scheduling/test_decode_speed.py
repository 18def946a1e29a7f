"""Prediction of the time from event to event."""

import random

from daisypick_core.scheduling import decode_speed


def _train(engine, rng, *, factor=1.0, count=200):
    for _ in range(count):
        running = rng.uniform(1.0, 64.0)
        seconds = factor * (0.026 + 0.0009 * running)
        engine.learn(running, seconds * rng.uniform(0.9, 1.1))


def test_nothing_is_predicted_from_a_few_answers():
    """Guards against refusals by a prior that does not fit the engines."""
    service = decode_speed.ServiceDecodeSpeed()
    engine = decode_speed.EngineDecodeSpeed(service=service)
    for _ in range(19):
        engine.learn(8.0, 0.5)
    assert not service.is_known
    engine.learn(8.0, 0.5)
    assert service.is_known


def test_slow_engine_is_told_from_the_others():
    """One engine at 0.55 of the speed of three others."""
    rng = random.Random(5)
    service = decode_speed.ServiceDecodeSpeed()
    engines = [
        decode_speed.EngineDecodeSpeed(service=service) for _ in range(4)
    ]
    for _ in range(20):
        for engine in engines:
            factor = 1.0 / 0.55 if engine is engines[0] else 1.0
            _train(engine, rng, factor=factor, count=3)
    ratio = engines[0].predict(30.0) / engines[1].predict(30.0)
    assert 1.5 < ratio < 2.1


def test_turned_engine_is_followed_within_ten_answers():
    rng = random.Random(6)
    service = decode_speed.ServiceDecodeSpeed()
    engine = decode_speed.EngineDecodeSpeed(service=service)
    other = decode_speed.EngineDecodeSpeed(service=service)
    _train(engine, rng)
    _train(other, rng)
    before = engine.predict(30.0)
    _train(engine, rng, factor=2.5, count=10)
    assert engine.predict(30.0) > 1.6 * before
