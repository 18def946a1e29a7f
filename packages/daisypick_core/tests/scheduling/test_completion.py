"""Which engines can complete an answer before its deadline."""

import random

import pytest

from daisypick_core.scheduling import actions
from daisypick_core.scheduling import completion
from daisypick_core.scheduling import engine_estimate
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import scheduler as schedulers
from daisypick_core.scheduling import server_state

EVENT_SECONDS = 0.05


def _speed():
    speed = prefill_speed.ServiceSpeed(base=0.01, token_seconds=1e-5)
    for _ in range(300):
        speed.decode.learn(1.0, EVENT_SECONDS)
        speed.decode.learn(60.0, EVENT_SECONDS)
    return speed


def _engine(speed):
    return engine_estimate.EngineEstimate(
        slots=64,
        kv_tokens=10**6,
        speed=prefill_speed.EngineSpeed(service=speed),
    )


def _job(key, *, events, prompt=100, now=0.0, deadline=10.0):
    return job.Job(
        key=key,
        router="r-1",
        organisation="farm",
        parts=(job.Part(name=key, tokens=prompt),),
        prompt_tokens=prompt,
        output_tokens=100,
        arrived_at=now,
        objective_at=now + 0.5,
        deadline_at=now + deadline,
        expected_events=events,
        high_events=1.9 * events,
    )


def _cost(work, engine, now=0.0, prefill=0.001):
    return completion.find_cost(
        work, engine, prefill=prefill, backlog=0.0, now=now
    )


def test_answer_starts_only_where_it_can_end_in_time():
    """Guards against runs that are lost at their deadline."""
    engine = _engine(_speed())
    assert _cost(_job("fits", events=150.0), engine) is not None
    assert _cost(_job("too long", events=260.0), engine) is None


def test_engine_over_its_share_of_prefill_gets_no_start():
    """Guards against prompts that keep a long answer from its end."""
    engine = _engine(_speed())
    engine.start(_job("long", events=190.0), 0.0, ahead=0.0)
    engine.note_first_token("long", 0.02)
    engine.start(_job("prompt", events=1.0, prompt=60_000), 0.1, ahead=0.0)
    engine.note_first_token("prompt", 0.7)
    assert _cost(_job("next", events=1.0), engine, now=0.71) is None
    assert _cost(_job("next", events=1.0), engine, now=5.0) is not None


def test_prompt_waits_until_an_engine_has_had_a_break():
    """Guards against pauses in all answers of an engine that prefills on.

    Of 0.4 s that callers accept as a pause the engine prefills 0.35 s.
    """
    engine = _engine(_speed())
    answer = _job("answer", events=50.0)._replace(max_pause=0.4)
    engine.start(answer, 0.0, ahead=0.0)
    engine.note_first_token("answer", 0.01)
    engine.start(_job("first", events=1.0, prompt=20_000), 1.0, ahead=0.0)
    work = _job("second", events=1.0)
    assert _cost(work, engine, prefill=0.2, now=1.05) is None
    assert _cost(work, engine, prefill=0.05, now=1.05) is not None
    engine.note_first_token("first", 1.21)
    assert _cost(work, engine, prefill=0.2, now=1.22) is None
    assert _cost(work, engine, prefill=0.2, now=1.3) is not None


def test_long_answer_goes_where_one_limits_the_prefill():
    """Guards against long answers that limit the prefill of all engines."""
    speed = _speed()
    limited, free = _engine(speed), _engine(speed)
    limited.start(_job("long", events=150.0), 0.0, ahead=0.0)
    free.start(_job("short", events=5.0), 0.0, ahead=0.0)
    work = _job("next", events=140.0)
    assert _cost(work, limited) < _cost(work, free)


def test_answer_that_no_engine_can_end_is_refused_at_once():
    """Guards against a wait until the objective for a certain refusal."""
    scheduler = schedulers.Scheduler(
        kv_tokens=100_000,
        cold_rate=0.0,
        window_seconds=4.0,
        rng=random.Random(1),
        speed=_speed(),
    )
    scheduler.set_servers(
        [server_state.ServerState("e-1", slots=8, cold_until=0.0, born=1)]
    )
    (refused,) = scheduler.submit(_job("r-1", events=300.0), 0.0)
    assert isinstance(refused, actions.Refuse)
    (started,) = scheduler.submit(_job("r-2", events=100.0), 0.0)
    assert isinstance(started, actions.Start)


@pytest.mark.parametrize(("share", "is_known"), [(1.0, True), (0.1, False)])
def test_pace_is_learned_where_all_running_requests_are_known(share, is_known):
    """Guards against a line learned by a router that knows only its own."""
    speed = prefill_speed.ServiceSpeed(base=0.01, token_seconds=1e-5)
    scheduler = schedulers.Scheduler(
        kv_tokens=100_000,
        cold_rate=0.0,
        window_seconds=4.0,
        rng=random.Random(1),
        speed=speed,
    )
    scheduler.set_servers(
        [server_state.ServerState("e-1", slots=8, cold_until=0.0, born=1)]
    )
    scheduler.set_fleet(routers=["r-1"], share=share)
    for number in range(20):
        now = float(number)
        scheduler.submit(_job(str(number), events=10.0, now=now), now)
        scheduler.note_first_token(str(number), now + 0.02)
        scheduler.note_pace(str(number), 9, 0.45, 0.06, now + 0.5)
        scheduler.note_end(str(number), now + 0.5)
    assert speed.decode.is_known == is_known
    if is_known:
        assert 0.03 < speed.decode.predict(1.0) < 0.07
