"""Progress of an engine's answers and the headroom that they leave."""

import pytest

from daisypick_core.scheduling import decode_load
from daisypick_core.scheduling import decode_speed

EVENT_SECONDS = 0.05


def _make():
    service = decode_speed.ServiceDecodeSpeed()
    for _ in range(300):
        service.learn(1.0, EVENT_SECONDS)
        service.learn(60.0, EVENT_SECONDS)
    return decode_load.DecodeLoad(
        speed=decode_speed.EngineDecodeSpeed(service=service)
    )


def _find(load, now, *, prefilled=0.0, backlog=0.0):
    return load.find_headroom(
        now, running=1, prefilled=prefilled, backlog=backlog
    )


def test_unknown_speed_and_unknown_length_set_no_limit():
    """Guards against limits for deployments that announce no lengths."""
    load = _make()
    load.begin("r-1", deadline_at=1.0, events=0.0)
    assert _find(load, 0.0) == decode_load.NO_LIMIT
    unknown = decode_load.DecodeLoad(
        speed=decode_speed.EngineDecodeSpeed(
            service=decode_speed.ServiceDecodeSpeed()
        )
    )
    unknown.begin("r-1", deadline_at=1.0, events=100.0)
    assert _find(unknown, 0.0) == decode_load.NO_LIMIT


def test_answer_advances_only_while_its_engine_does_not_prefill():
    """Guards against counting an answer as nearly done during long prefill."""
    load = _make()
    load.begin("r-1", deadline_at=10.0, events=100.0)
    load.note_first("r-1", 0.0, prefilled=0.0)
    decoding = _find(load, 4.0)
    assert decoding.seconds == pytest.approx(5.0, abs=0.1)
    prefilling = _find(load, 8.0, prefilled=4.0)
    assert prefilling.seconds == pytest.approx(1.0, abs=0.1)


def test_tightest_answer_sets_the_headroom():
    load = _make()
    load.begin("long", deadline_at=10.0, events=180.0)
    load.begin("short", deadline_at=10.0, events=20.0)
    assert _find(load, 0.0).share == pytest.approx(0.1, abs=0.02)
    load.end("long")
    assert _find(load, 0.0).share == pytest.approx(0.9, abs=0.02)


def test_answer_that_is_lost_does_not_stop_the_engine():
    """Guards against an engine that waits for an answer nothing can save."""
    load = _make()
    load.begin("lost", deadline_at=1.0, events=100.0)
    assert _find(load, 0.0) == decode_load.NO_LIMIT


def test_prefill_and_batch_of_an_answer_are_learned_apart():
    """An answer of 40 events in 4 s, 2 s of them prefill, beside 9 others."""
    load = _make()
    load.note_running(1, 0.0)
    load.begin("r-1", deadline_at=10.0, events=40.0)
    load.note_first("r-1", 0.0, prefilled=0.0)
    load.note_running(10, 4.0)
    before = load.speed.predict(10.0)
    for _ in range(60):
        load.note_pace(
            "r-1", events=40, seconds=4.0, longest=1.0, prefilled=2.0
        )
    assert load.speed.predict(10.0) == pytest.approx(0.05, rel=0.1)
    assert before == pytest.approx(0.05, rel=0.5)
