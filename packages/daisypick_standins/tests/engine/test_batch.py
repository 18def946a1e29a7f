from daisypick_standins.engine import batch as engine_batch
from daisypick_standins.engine import settings as engine_settings
from daisypick_standins.engine import text


def _make(prompt="[marker=m tokens=3]"):
    return engine_batch.Generation(
        prompt=prompt, tokens=text.make_tokens(prompt), notify=lambda g: None
    )


def _make_batch(**fields):
    settings = engine_settings.EngineSettings(token_interval=1.0, **fields)
    return engine_batch.Batch(settings=settings, now=0.0)


def _step(subject, now=0.0):
    seconds = subject.begin_step(now)
    subject.end_step()
    return seconds


def test_batch_shares_steps_and_queues_beyond_its_slots():
    subject = _make_batch(slots=2, cold_slots=2, warm_tokens=1)
    subject.cold_start.serve(1)
    generations = [_make() for _ in range(3)]
    assert all(subject.submit(g, 0.0) for g in generations)
    assert subject.begin_step(0.0) == 1.5
    assert subject.load()[:3] == (2, 1, 2)
    subject.end_step()
    assert [g.emitted for g in generations] == [1, 1, 0]
    for now in (1.0, 2.0, 3.0):
        _step(subject, now)
    assert [g.outcome for g in generations] == ["done", "done", ""]
    assert generations[2].emitted == 1
    assert subject.runs_by_marker == {"m": 3}


def test_long_prompt_is_prefilled_before_the_first_token():
    subject = _make_batch(prefill_rate=100.0, cold_slowdown=1.0)
    first = _make("x" * 1024 + "[marker=m tokens=3]")
    subject.submit(first, 0.0)
    steps = 0
    while not first.emitted:
        _step(subject, float(steps))
        steps += 1
    assert steps == 3
    second = _make("x" * 1024 + "[marker=n tokens=3]")
    subject.submit(second, 9.0)
    _step(subject, 9.0)
    assert (second.cached_tokens, second.emitted) == (256, 1)


def test_overload_in_the_cold_start_fails_all_requests():
    subject = _make_batch(cold_slots=1, restart_seconds=5.0)
    boot_id = subject.cold_start.boot_id
    first = _make()
    assert subject.submit(first, 0.0)
    assert not subject.submit(_make(), 0.0)
    assert first.outcome == engine_batch.FAILED
    assert subject.cold_start.boot_id != boot_id
    assert subject.overload_count == 1
    assert not subject.is_up(4.9)
    assert subject.is_up(5.0)
    tolerant = _make_batch(cold_slots=1, cold_failure=engine_settings.ERROR)
    assert tolerant.submit(first := _make(), 0.0)
    assert not tolerant.submit(_make(), 0.0)
    assert first.outcome == ""


def test_cancelled_generation_frees_its_slot():
    subject = _make_batch(slots=1, cold_slots=1, warm_tokens=1)
    subject.cold_start.serve(1)
    first, second = _make(), _make()
    subject.submit(first, 0.0)
    subject.submit(second, 0.0)
    subject.cancel(first)
    _step(subject, 0.0)
    assert (first.outcome, second.emitted) == ("cancelled", 1)


def test_cache_memory_is_limited_and_events_are_lost():
    subject = _make_batch(cache_tokens=128, event_lag=0.0, event_loss=0.5)
    for letter in "abcdefgh":
        subject.cache.use(letter * 512, 0.0)
    assert subject.cache.used_tokens == 128
    sequences = [e.sequence for e in subject.cache.events_after(0, 0.0)]
    assert 0 < len(sequences) < 30
    assert sequences == sorted(sequences)
