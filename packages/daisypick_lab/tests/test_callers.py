import pytest

from daisypick_lab import callers
from daisypick_node.http import client
from daisypick_standins.engine import faults as engine_faults
from daisypick_standins.engine import server
from daisypick_standins.engine import settings as engine_settings


@pytest.fixture
def engine():
    settings = engine_settings.EngineSettings(token_interval=0.001)
    subject = server.Engine(settings=settings)
    subject.start()
    yield subject
    subject.stop()


def _call(engine, *, is_stream):
    call = callers.ChatCall(
        service="assistant",
        marker="m1",
        prompt="Plan a visit",
        tokens=8,
        max_tokens=50,
        is_stream=is_stream,
    )
    pool = client.ClientPool(timeout=5.0)
    noted = []
    caller = callers.Caller(key="key", pool=pool)
    return caller.chat(engine.address, call, noted.append), sum(noted)


@pytest.mark.parametrize("is_stream", [False, True])
def test_whole_response_is_accepted(engine, is_stream):
    answered, noted = _call(engine, is_stream=is_stream)
    assert (answered.outcome, answered.reason) == (callers.WHOLE, "")
    assert (answered.completion_tokens, answered.prompt_tokens) == (8, 8)
    assert noted == (8 if is_stream else 0)


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize(
    ("fault", "outcome"),
    [
        ("cross", callers.WRONG),
        ("break_off", callers.BROKEN),
        ("fail", callers.REFUSED),
    ],
)
def test_faulty_responses_are_distinguished(engine, fault, outcome, is_stream):
    engine.set_faults(engine_faults.Faults(**{fault: 1}))
    answered, _ = _call(engine, is_stream=is_stream)
    assert answered.outcome == outcome
    assert answered.reason


def test_refused_connection_is_reported_as_not_run(engine):
    engine.stop()
    answered, _ = _call(engine, is_stream=True)
    assert (answered.outcome, answered.ran) == (callers.REFUSED, "no")
