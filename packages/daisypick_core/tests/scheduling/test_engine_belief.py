"""What an engine is believed to have to read."""

from daisypick_core.scheduling import engine_belief
from daisypick_core.scheduling import job
from daisypick_core.scheduling import reading_speed


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


def _engine():
    """Make an engine that reads 100,000 tokens a second."""
    service = reading_speed.ServiceSpeed(base=0.01, token_seconds=1e-5)
    return engine_belief.EngineBelief(
        slots=4,
        kv_tokens=100_000,
        speed=reading_speed.EngineSpeed(service=service),
    )


def test_unread_falls_while_the_first_request_is_read():
    engine = _engine()
    assert engine.unread(0.0) == 0.0
    engine.start(_job("a", 5000), 0.0, ahead=0.0)
    engine.start(_job("b", 3000), 0.0, ahead=5000.0)
    assert engine.unread(0.0) == 8000.0
    assert engine.unread(0.02) == 6000.0
    assert engine.unread(9.0) == 2000.0


def test_engine_that_is_silent_is_not_believed_to_read_on():
    """An engine stops without a word while prompts wait in it.

    The first token of the first is overdue, nothing is told; requests that
    were sent there as its queue seemed to empty would wait for nothing.
    """
    engine = _engine()
    for number in range(4):
        engine.start(_job(f"a{number}", 5000), 0.0, ahead=5000.0 * number)
    assert engine.wait(0.04) == 0.16
    assert round(engine.wait(5.0), 3) == 0.14


def test_first_token_tells_how_much_of_the_next_prompts_is_read():
    """A first token comes a base time after its prompt was read.

    The engine has read on in that time; a belief that begins the next prompt
    only then keeps too little work at engines with a long base.
    """
    engine = _engine()
    engine.start(_job("a", 5000), 0.0, ahead=0.0)
    engine.start(_job("b", 3000), 0.0, ahead=5000.0)
    engine.note_first_token("a", 0.06)
    assert round(engine.unread(0.06)) == 2000


def test_unread_counts_no_request_that_was_read_or_has_ended():
    engine = _engine()
    for key in ("a", "b", "c"):
        engine.start(_job(key, 1000), 0.0, ahead=0.0)
    engine.note_first_token("b", 0.0, learn=False)
    assert engine.unread(0.0) == 2000.0
    engine.end("a", 0.0)
    assert engine.unread(0.0) == 1000.0
    engine.end("b", 0.0)
    assert engine.unread(0.0) == 1000.0
    engine.end("c", 0.0)
    assert engine.unread(0.0) == 0.0
    assert engine.running == 0
