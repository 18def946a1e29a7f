"""Requests that may go to a few of a service's servers only."""

import random

import pytest

from daisypick_core.scheduling import actions
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import refusal_reasons
from daisypick_core.scheduling import scheduler as schedulers
from daisypick_core.scheduling import server_state


def _make_scheduler(servers):
    scheduler = schedulers.Scheduler(
        kv_tokens=100_000,
        cold_rate=20.0,
        window_seconds=4.0,
        rng=random.Random(1),
        speed=prefill_speed.ServiceSpeed(base=0.01, token_seconds=1e-5),
    )
    scheduler.set_fleet(routers=["r-1"], share=1.0)
    scheduler.set_servers(
        server_state.ServerState(
            name=f"e-{number}", slots=8, cold_until=0.0, born=1
        )
        for number in range(servers)
    )
    return scheduler


def _make_job(key, only=(), *, avoid=()):
    return job.Job(
        key=key,
        router="r-1",
        organisation="farm",
        parts=(job.Part(name=key, tokens=100),),
        prompt_tokens=100,
        output_tokens=100,
        arrived_at=0.0,
        objective_at=0.5,
        deadline_at=8.0,
        only=frozenset(only),
        avoid=frozenset(avoid),
    )


def _fill(scheduler, server, *, slots=8):
    for number in range(slots):
        scheduler.submit(_make_job(f"full-{number}", [server]), 0.0)


def test_request_that_goes_on_starts_before_new_ones_of_its_organisation():
    """Guards against new requests that take each place of a version (LOST)."""
    scheduler = _make_scheduler(1)
    _fill(scheduler, "e-0")
    for number in range(10):
        scheduler.submit(_make_job(f"new-{number}"), 0.01)
    scheduler.submit(_make_job("rest", ["e-0"])._replace(objective_at=8.0), 0.1)
    (start,) = scheduler.note_end("full-0", 0.2)
    assert start.key == "rest"


def test_requests_that_go_on_do_not_block_new_ones_elsewhere():
    """Guards against an organisation that waits for one full server."""
    scheduler = _make_scheduler(2)
    _fill(scheduler, "e-0")
    for number in range(6):
        scheduler.submit(
            _make_job(f"rest-{number}", ["e-0"])._replace(objective_at=8.0),
            0.1,
        )
    (start,) = scheduler.submit(_make_job("new"), 0.2)
    assert (start.key, start.server) == ("new", "e-1")


@pytest.mark.parametrize("servers", [3, 300])
def test_bound_request_finds_the_last_server_of_its_version(servers):
    """Guards against a rare version that no round of a large fleet considers.

    Its server runs a few requests already, while the others are idle.
    """
    scheduler = _make_scheduler(servers)
    for number in range(6):
        (start,) = scheduler.submit(_make_job(f"a-{number}", ["e-2"]), 0.0)
        assert isinstance(start, actions.Start)
        assert start.server == "e-2"


def test_bound_request_without_a_server_is_refused_at_once():
    """Guards against a wait that ends with the deadline."""
    scheduler = _make_scheduler(3)
    for work in (
        _make_job("a-1", ["e-9"]),
        _make_job("a-2", ["e-2"], avoid=["e-2"]),
    ):
        (refused,) = scheduler.submit(work, 0.0)
        assert isinstance(refused, actions.Refuse)
        reason = refusal_reasons.find(refused.reason)
        assert reason is refusal_reasons.Reason.ALL_TRIED
