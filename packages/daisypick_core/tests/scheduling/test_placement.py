"""Which available engine a request goes to."""

from daisypick_core.scheduling import engine_estimate
from daisypick_core.scheduling import job
from daisypick_core.scheduling import placement
from daisypick_core.scheduling import prefill_speed

TALK = job.Part(name="talk", tokens=5000)


def _job(key, *parts, prompt, data_centre="a", avoid=()):
    return job.Job(
        key=key,
        router="r-1",
        organisation="farm",
        parts=parts or (job.Part(name=key, tokens=prompt),),
        prompt_tokens=prompt,
        output_tokens=100,
        arrived_at=0.0,
        objective_at=0.5,
        deadline_at=8.0,
        data_centre=data_centre,
        avoid=frozenset(avoid),
    )


def _engines(*names):
    service = prefill_speed.ServiceSpeed(base=0.01, token_seconds=1e-5)
    return {
        name: engine_estimate.EngineEstimate(
            slots=64,
            kv_tokens=400_000,
            speed=prefill_speed.EngineSpeed(service=service),
        )
        for name in names
    }


def _choose(
    work,
    engines,
    *,
    busy=(),
    may_wait=True,
    data_centres=None,
    copy_seconds=0.0,
):
    return placement.choose(
        work,
        engine_by_server=engines,
        backlog_by_server={
            name: engine.prefill_backlog(0.0)
            for name, engine in engines.items()
            if name not in busy
        },
        busy=busy,
        data_centre_by_server=data_centres or dict.fromkeys(engines, "a"),
        can_handle=lambda server: True,
        share=1.0,
        may_wait=may_wait,
        now=0.0,
        copy_token_seconds=copy_seconds,
    )


def test_request_waits_for_the_busy_engine_that_has_its_prompt_cached():
    """The engine that has a long shared prompt cached is busy for a moment.

    Prefill of the prompt elsewhere would cost 5,000 tokens of a fleet that has
    no spare capacity; so the request waits, but only while it has time.
    """
    engines = _engines("e-0", "e-1")
    engines["e-1"].cache.begin([TALK])
    work = _job("x", TALK, job.Part(name="x", tokens=500), prompt=5500)
    assert _choose(work, engines, busy=["e-1"]) is None
    assert _choose(work, engines, busy=["e-1"], may_wait=False).server == "e-0"


def test_request_waits_neither_for_a_short_prefix_nor_for_an_avoided_engine():
    engines = _engines("e-0", "e-1")
    short = job.Part(name="short", tokens=300)
    engines["e-1"].cache.begin([TALK, short])
    work = _job("x", short, prompt=400)
    assert _choose(work, engines, busy=["e-1"]).server == "e-0"
    work = _job("y", TALK, prompt=5000, avoid=["e-1"])
    assert _choose(work, engines, busy=["e-1"]).server == "e-0"


def test_request_does_not_wait_if_an_available_engine_has_the_prompt_cached():
    engines = _engines("e-0", "e-1")
    for engine in engines.values():
        engine.cache.begin([TALK])
    work = _job("x", TALK, prompt=5000)
    assert _choose(work, engines, busy=["e-1"]).server == "e-0"


def test_engine_in_the_own_data_centre_is_preferred_to_an_equal_one():
    engines = _engines("e-0", "e-1")
    data_centres = {"e-0": "b", "e-1": "a"}
    work = _job("x", prompt=400)
    assert _choose(work, engines, data_centres=data_centres).server == "e-1"
    work = work._replace(data_centre="b")
    assert _choose(work, engines, data_centres=data_centres).server == "e-0"


def test_cached_prompt_outweighs_the_own_data_centre():
    engines = _engines("e-0", "e-1")
    engines["e-0"].cache.begin([TALK])
    work = _job("x", TALK, prompt=5000)
    data_centres = {"e-0": "b", "e-1": "a"}
    assert _choose(work, engines, data_centres=data_centres).server == "e-0"


def test_request_goes_only_where_its_first_token_meets_the_objective():
    """An engine has a prefill backlog of 0.3 s.

    A request is not sent where its first token would miss the objective while
    it can still wait for a better engine: engines admit requests in the order
    of arrival, so it would delay others as well.
    """
    engines = _engines("e-0")
    engines["e-0"].start(_job("before", prompt=30_000), 0.0, ahead=0.0)
    assert _choose(_job("x", prompt=1000), engines).server == "e-0"
    assert _choose(_job("y", prompt=20_000), engines) is None
    urgent = _job("z", prompt=1000)._replace(objective_at=0.3)
    assert _choose(urgent, engines) is None


def test_slow_engine_gets_only_what_meets_its_objective_there():
    """One engine of a service becomes ten times slower than the others.

    A prompt that the others prefill in time would miss its objective there.
    """
    engines = _engines("slow")
    engines["slow"].speed.factor = 10.0
    engines["slow"].start(_job("before", prompt=1000), 0.0, ahead=0.0)
    assert _choose(_job("x", prompt=1000), engines).server == "slow"
    assert _choose(_job("y", prompt=4000), engines) is None


def _prefill(engine, *parts):
    engine.cache.begin(parts)
    engine.cache.mark_prefilled(parts)
    engine.cache.end(parts)


def test_prompt_cached_at_a_busy_engine_is_copied_without_waiting():
    """The engine that has a long prompt cached is busy, another one is free.

    Copying takes a tenth of the prefill time here, so the request starts at
    once, and nothing is prefilled twice.
    """
    engines = _engines("e-0", "e-1")
    _prefill(engines["e-1"], TALK)
    work = _job("x", TALK, job.Part(name="x", tokens=500), prompt=5500)
    chosen = _choose(work, engines, busy=["e-1"], copy_seconds=1e-6)
    assert (chosen.server, chosen.source, chosen.copied) == ("e-0", "e-1", 5000)
    assert round(chosen.saved) == 4500


def test_prompt_that_is_still_in_prefill_is_not_copied():
    """A part is sent to an engine but not prefilled; it cannot be copied."""
    engines = _engines("e-0", "e-1")
    engines["e-1"].cache.begin([TALK])
    work = _job("x", TALK, job.Part(name="x", tokens=500), prompt=5500)
    chosen = _choose(
        work, engines, busy=["e-1"], may_wait=False, copy_seconds=1e-6
    )
    assert (chosen.server, chosen.source, chosen.copied) == ("e-0", "", 0)


def test_prompt_is_copied_if_that_takes_as_long_as_its_prefill():
    """Guards against prefill by an engine while its link is idle."""
    engines = _engines("e-0", "e-1")
    _prefill(engines["e-1"], TALK)
    work = _job("x", TALK, prompt=5000)
    chosen = _choose(
        work, engines, busy=["e-1"], may_wait=False, copy_seconds=1e-5
    )
    assert (chosen.source, chosen.copied) == ("e-1", 5000)
    assert chosen.saved == 0.0


def test_nothing_is_copied_over_a_link_slower_than_prefill():
    engines = _engines("e-0", "e-1")
    _prefill(engines["e-1"], TALK)
    work = _job("x", TALK, prompt=5000)
    chosen = _choose(
        work, engines, busy=["e-1"], may_wait=False, copy_seconds=2e-5
    )
    assert (chosen.source, chosen.copied) == ("", 0)


def test_copy_source_is_the_engine_with_the_fewest_requests():
    engines = _engines("e-0", "e-1", "e-2")
    for name in ("e-1", "e-2"):
        _prefill(engines[name], TALK)
    engines["e-1"].start(_job("before", prompt=400), 0.0, ahead=0.0)
    work = _job("x", TALK, prompt=5000)
    chosen = _choose(work, engines, busy=["e-1", "e-2"], copy_seconds=1e-6)
    assert chosen.source == "e-2"
