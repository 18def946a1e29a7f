"""What an engine is believed to have to read."""

from daisypick_core.scheduling import engine_belief
from daisypick_core.scheduling import job


def _job(key, prompt):
    return job.Job(
        key=key,
        router="r-1",
        organisation="farm",
        parts=(job.Part(name=key, tokens=prompt),),
        prompt_tokens=prompt,
        output_tokens=100,
        arrived_at=0.0,
        objective_at=0.5,
        deadline_at=8.0,
    )


def test_unread_falls_while_the_first_request_is_read():
    engine = engine_belief.EngineBelief(slots=4, kv_tokens=100_000)
    assert engine.unread(0.0) == 0.0
    engine.start(_job("a", 5000), 0.0)
    engine.start(_job("b", 3000), 0.0)
    assert engine.unread(0.0) == 8000.0
    assert engine.unread(0.02) == 6000.0
    assert engine.unread(9.0) == 3000.0


def test_unread_counts_no_request_that_was_read_or_has_ended():
    engine = engine_belief.EngineBelief(slots=4, kv_tokens=100_000)
    for key in ("a", "b", "c"):
        engine.start(_job(key, 1000), 0.0)
    engine.note_first_token("b", 0.0, learn=False)
    assert engine.unread(0.0) == 2000.0
    engine.end("a", 0.0)
    assert engine.unread(0.0) == 1000.0
    engine.end("b", 0.0)
    assert engine.unread(0.0) == 1000.0
    engine.end("c", 0.0)
    assert engine.unread(0.0) == 0.0
    assert engine.running == 0
