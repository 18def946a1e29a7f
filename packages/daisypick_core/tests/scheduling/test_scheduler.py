"""Which request starts next, and where."""

import random

import pytest

from daisypick_core.scheduling import actions
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import prefix_cache
from daisypick_core.scheduling import refusal_reasons
from daisypick_core.scheduling import scheduler as schedulers
from daisypick_core.scheduling import server_state

_Reason = refusal_reasons.Reason


def _make(servers=2, *, slots=8, kv_tokens=100_000, cold_rate=20.0, share=1.0):
    scheduler = schedulers.Scheduler(
        kv_tokens=kv_tokens,
        cold_rate=cold_rate,
        window_seconds=4.0,
        rng=random.Random(1),
        speed=prefill_speed.ServiceSpeed(base=0.01, token_seconds=1e-5),
    )
    scheduler.set_fleet(
        routers=[f"r-{number}" for number in range(1, 6)], share=share
    )
    scheduler.set_servers(
        _state(f"e-{number}", slots=slots) for number in range(servers)
    )
    return scheduler


def _state(name, *, slots=8, cold_until=0.0, born=1):
    return server_state.ServerState(
        name=name, slots=slots, cold_until=cold_until, born=born
    )


def _job(key, *, organisation="farm", prompt=1000, parts=None, now=0.0, **more):
    fields = {
        "router": "r-1",
        "output_tokens": 100,
        "arrived_at": now,
        "objective_at": now + 0.5,
        "deadline_at": now + 8.0,
        **more,
    }
    return job.Job(
        key=key,
        organisation=organisation,
        parts=parts or (job.Part(name=key, tokens=prompt),),
        prompt_tokens=prompt,
        **fields,
    )


def _servers(decided):
    return [
        action.server for action in decided if isinstance(action, actions.Start)
    ]


def _reasons(decided):
    return [
        refusal_reasons.find(action.reason)
        for action in decided
        if isinstance(action, actions.Refuse)
    ]


def _keys(decided):
    return [
        action.key for action in decided if isinstance(action, actions.Start)
    ]


def test_request_goes_where_its_prompt_is_cached():
    scheduler = _make()
    talk = (job.Part(name="talk", tokens=900), job.Part(name="x", tokens=100))
    (first,) = _servers(scheduler.submit(_job("a", parts=talk), 0.0))
    scheduler.note_first_token("a", 0.1)
    again = (job.Part(name="talk", tokens=900), job.Part(name="y", tokens=100))
    (second,) = _servers(scheduler.submit(_job("b", parts=again), 0.2))
    assert second == first


def test_requests_without_a_common_prompt_spread():
    scheduler = _make(servers=4)
    used = {
        _servers(scheduler.submit(_job(f"a{n}", prompt=5000), 0.0))[0]
        for n in range(4)
    }
    assert len(used) == 4


def test_organisation_with_least_usage_goes_first():
    """Many requests of one organisation wait for a full engine.

    Another organisation's first request arrives last and starts next.
    """
    scheduler = _make(servers=1, slots=1)
    scheduler.submit(_job("flood-0", organisation="flood"), 0.0)
    for n in range(1, 5):
        decided = scheduler.submit(
            _job(f"flood-{n}", organisation="flood"), 0.01
        )
        assert decided == []
    assert scheduler.submit(_job("farm-0"), 0.02) == []
    (start,) = scheduler.note_end("flood-0", 0.05)
    assert start.key == "farm-0"


def _submit_overload(scheduler, count, now, first=0):
    return [
        action
        for n in range(first, first + count)
        for action in scheduler.submit(
            _job(f"flood-{n}", organisation="flood", now=now), now
        )
    ]


def test_requests_over_a_share_are_refused_at_once_when_engines_are_busy():
    """One organisation overloads a busy engine beyond its share.

    The fleet's capacity is 1,000 tokens per second. Only as many of its
    requests wait as may still start; the rest is refused at once, with a retry
    delay and a pause in which routers need not submit more. A small
    organisation is still served, and no waiting request over the share starts
    without spare capacity.
    """
    scheduler = _make(servers=1, slots=4)
    scheduler.shares.set_capacity(tokens_per_second=1000.0)
    assert len(_servers(_submit_overload(scheduler, 3, 0.0))) == 3
    assert _submit_overload(scheduler, 32, 0.2, first=3) == []
    (refused,) = _submit_overload(scheduler, 1, 0.2, first=99)
    assert isinstance(refused, actions.Refuse)
    assert refused.retry_after > 0.0
    assert refused.pause > 0.0
    assert _reasons([refused]) == [_Reason.OVER_SHARE]
    decided = scheduler.submit(_job("farm-0"), 0.2) + scheduler.tick(0.21)
    assert _keys(decided) == ["farm-0"]
    assert _keys(scheduler.tick(0.22)) == []


def test_no_request_is_refused_while_engines_have_room():
    """Two large organisations demand more than their shares.

    One of them found a busy engine a moment ago. Engines have room again, and
    requests of the other start over its share: fairness holds back no request
    while no other one waits.
    """
    scheduler = _make(servers=2, slots=64, kv_tokens=10_000_000)
    scheduler.shares.set_capacity(tokens_per_second=1000.0)
    for n in range(5):
        scheduler.submit(_job(f"a-{n}", organisation="a", prompt=20_000), 0.0)
    scheduler.tick(0.4)
    for n in range(5):
        scheduler.note_first_token(f"a-{n}", 0.45)
        scheduler.note_end(f"a-{n}", 0.5)
    for n in range(40):
        now = 0.5 + n / 100.0
        decided = scheduler.submit(
            _job(f"b-{n}", organisation="b", prompt=100, now=now), now
        )
        assert _keys(decided) == [f"b-{n}"]
        scheduler.note_first_token(f"b-{n}", now + 0.005)


def test_spare_capacity_goes_to_the_organisation_with_less_usage():
    """Two organisations over their shares wait; one has far more usage."""
    scheduler = _make(servers=1, slots=4, kv_tokens=10_000_000)
    scheduler.shares.set_capacity(tokens_per_second=10.0)
    for n in range(3):
        scheduler.submit(_job(f"much-{n}", organisation="much"), 0.0)
    scheduler.shares.add_usage("little", 500.0, 0.0)
    for n in range(3, 5):
        scheduler.submit(_job(f"much-{n}", organisation="much"), 0.0)
        scheduler.submit(_job(f"little-{n}", organisation="little"), 0.0)
    for n in range(3):
        scheduler.note_first_token(f"much-{n}", 0.1)
    decided = scheduler.note_end("much-0", 0.2)
    assert _keys(decided) == ["little-3"]


def test_request_beyond_its_share_runs_on_spare_capacity():
    scheduler = _make(servers=1, slots=64)
    scheduler.shares.set_capacity(tokens_per_second=1.0)
    for n in range(10):
        decided = scheduler.submit(_job(f"flood-{n}", prompt=10), 0.0)
        assert _servers(decided) == ["e-0"]


def test_request_that_waits_too_long_is_refused_with_a_retry_delay():
    scheduler = _make(servers=1, slots=1)
    scheduler.submit(_job("a"), 0.0)
    scheduler.submit(_job("b"), 0.0)
    assert scheduler.tick(0.29) == []
    (refused,) = scheduler.tick(0.31)
    assert refused.key == "b"
    assert refused.retry_after > 0.0
    assert _reasons([refused]) == [_Reason.WAITED_OUT]


def test_request_is_refused_as_soon_as_its_prefill_misses_the_objective():
    """An uncached and a cached long prompt wait for a full engine.

    Prefill of the uncached one takes 0.3 s of its objective of 0.5 s; after
    0.2 s it can no longer meet the objective and is refused. Tokens that an
    engine has cached do not count.
    """
    scheduler = _make(servers=1, slots=1, kv_tokens=1_000_000)
    talk = job.Part(name="talk", tokens=29_000)
    scheduler.submit(_job("a", parts=(talk,), prompt=29_000), 0.0)
    parts = (job.Part(name="new", tokens=29_000),)
    scheduler.submit(_job("long", parts=parts, prompt=29_000), 0.0)
    scheduler.submit(_job("kept", parts=(talk,), prompt=29_000), 0.0)
    assert scheduler.tick(0.14) == []
    assert [refused.key for refused in scheduler.tick(0.21)] == ["long"]
    assert [refused.key for refused in scheduler.tick(0.31)] == ["kept"]


def test_request_that_can_meet_its_objective_displaces_one_that_cannot():
    """An organisation overloads busy engines and reaches its queue limit.

    Its waiting requests can no longer meet their objective, but a new one can.
    It displaces one of them, which is refused at once. If the new one were
    refused, the organisation would get nothing while others are served.
    """
    scheduler = _make(servers=1, slots=1)
    scheduler.shares.set_capacity(tokens_per_second=100.0)
    long = _job("long", organisation="flood", prompt=60_000)
    assert _keys(scheduler.submit(long, 0.0)) == ["long"]
    _submit_overload(scheduler, 40, now=0.0)
    waiting = scheduler.waiting
    fresh = _job("fresh", organisation="flood", now=0.15, objective_at=1.0)
    decided = scheduler.submit(fresh, 0.15)
    assert _refused(decided) == ["flood-0"]
    assert _reasons(decided) == [_Reason.DISPLACED]
    assert scheduler.waiting == waiting


def _refused(decided):
    return [
        action.key for action in decided if isinstance(action, actions.Refuse)
    ]


def test_requests_that_miss_their_objective_do_not_block_later_ones():
    """Long prompts and then a short one wait for an engine in prefill.

    When there is room again the long ones can no longer meet their objective
    behind the engine's backlog, and only three requests of an organisation are
    examined. The short one can and starts.
    """
    scheduler = _make(servers=1, slots=8, kv_tokens=10_000_000)
    for name in ("first", "b", "c", "d", "e"):
        scheduler.submit(_job(name, prompt=15_000), 0.0)
    short = _job("short", prompt=500, objective_at=0.6)
    assert scheduler.submit(short, 0.0) == []
    scheduler.note_first_token("first", 0.16)
    decided = scheduler.tick(0.25)
    assert "short" in _keys(decided)


def test_engine_gets_no_more_than_it_can_prefill_in_time():
    """Long prompts arrive at once; only what fits the backlog limit starts."""
    scheduler = _make(servers=1, slots=64, kv_tokens=10_000_000)
    started = [
        scheduler.submit(_job(f"a{n}", prompt=4000), 0.0) for n in range(10)
    ]
    assert sum(len(_servers(decided)) for decided in started) == 3


def test_running_requests_fit_into_memory():
    """An engine that runs out of memory preempts a running request."""
    scheduler = _make(servers=1, slots=64, kv_tokens=10_000)
    started = [
        scheduler.submit(_job(f"a{n}", prompt=2000, now=float(n)), float(n))
        for n in range(8)
    ]
    assert sum(len(_servers(decided)) for decided in started) == 4


def test_cold_engine_gets_no_more_than_a_routers_quota():
    """A cold engine handles 20 requests per second of five routers together."""
    scheduler = _make(servers=0)
    scheduler.set_servers([_state("e-0", slots=64, cold_until=10.0)])
    started = [
        scheduler.submit(_job(f"a{n}", prompt=10), 0.01 * n) for n in range(20)
    ]
    assert sum(len(_servers(decided)) for decided in started) == 4


@pytest.mark.parametrize("age", [0.0, 3.9, 4.1, 60.0])
def test_old_requests_count_at_a_cold_engine(age):
    """Guards against a cold engine overloaded after a process stood still."""
    scheduler = _make(servers=0)
    scheduler.set_servers([_state("e-0", slots=64, cold_until=100.0)])
    decided = [
        scheduler.submit(
            _job(f"a{n}", prompt=10, now=50.0, arrived_at=50.0 - age), 50.0
        )
        for n in range(20)
    ]
    assert sum(len(_servers(found)) for found in decided) == 4


def test_old_requests_count_against_their_share():
    """Guards against an organisation whose late requests cost it nothing."""
    scheduler = _make()
    scheduler.submit(_job("a", now=50.0, arrived_at=45.0), 50.0)
    assert scheduler.shares.find_usage("farm", 50.0) > 0.0


def test_engine_that_is_down_is_ejected_for_a_while():
    scheduler = _make()
    (server,) = _servers(scheduler.submit(_job("a"), 0.0))
    scheduler.note_failure("a", 0.0, certain=True)
    for n in range(6):
        (other,) = _servers(scheduler.submit(_job(f"b{n}", now=0.1), 0.1))
        assert other != server


def test_restarted_engine_has_an_empty_cache():
    scheduler = _make(servers=1)
    talk = (job.Part(name="talk", tokens=900),)
    scheduler.submit(_job("a", prompt=900, parts=talk), 0.0)
    scheduler.note_first_token("a", 0.1)
    scheduler.note_end("a", 0.2)
    scheduler.set_servers([_state("e-0", born=2)])
    (start,) = scheduler.submit(_job("b", prompt=900, parts=talk, now=0.3), 0.3)
    assert start.cached == 0


def test_router_that_decides_locally_uses_its_share():
    scheduler = _make(servers=1, slots=10, share=0.2)
    started = [
        scheduler.submit(_job(f"a{n}", prompt=10), 0.0) for n in range(10)
    ]
    assert sum(len(_servers(decided)) for decided in started) == 2


def test_request_is_refused_at_once_without_servers():
    (refused,) = _make(servers=0).submit(_job("a"), 0.0)
    assert isinstance(refused, actions.Refuse)
    assert _reasons([refused]) == [_Reason.NO_SERVER]


def test_request_is_refused_at_once_if_it_was_tried_everywhere():
    avoid = frozenset({"e-0", "e-1"})
    decided = _make(servers=2).submit(_job("a", avoid=avoid), 0.0)
    assert _reasons(decided) == [_Reason.ALL_TRIED]


def test_request_is_refused_at_once_if_too_many_wait():
    scheduler = _make(servers=1, slots=1)
    for n in range(401):
        assert not _refused(scheduler.submit(_job(f"a-{n}"), 0.0))
    decided = scheduler.submit(_job("b"), 0.0)
    assert _reasons(decided) == [_Reason.QUEUE_FULL]


def test_withdrawn_request_never_starts():
    scheduler = _make(servers=1, slots=1)
    scheduler.submit(_job("a"), 0.0)
    scheduler.submit(_job("b"), 0.0)
    scheduler.withdraw("b", 0.1)
    assert scheduler.note_end("a", 0.2) == []


def test_slots_of_requests_whose_router_crashed_are_released():
    """A router crashes and never reports that its request has ended.

    After the caller's deadline the slot is released for others.
    """
    scheduler = _make(servers=1, slots=1)
    scheduler.submit(_job("a"), 0.0)
    scheduler.submit(_job("b", now=8.9, objective_at=9.9), 8.9)
    assert scheduler.expire(8.95) == []
    assert _servers(scheduler.expire(9.1)) == ["e-0"]


def test_cost_of_dispatching_is_bounded_under_overload(monkeypatch):
    """Thirty organisations send two thousand requests to full engines.

    A host that examines every waiting request at each event has no time left
    to respond, and its callers wait until their deadlines. The number of
    requests examined has to be proportional to time, not to the queue.
    """
    calls = 0
    count_cached = prefix_cache.PrefixCache.count_cached

    def _count(cache, parts):
        nonlocal calls
        calls += 1
        return count_cached(cache, parts)

    monkeypatch.setattr(prefix_cache.PrefixCache, "count_cached", _count)
    scheduler = _make(servers=4, slots=2)
    for n in range(2000):
        now = 0.0005 * n
        scheduler.submit(_job(f"a{n}", organisation=f"o{n % 30}", now=now), now)
        if n % 20 == 0:
            scheduler.tick(now)
    assert calls < 60_000


def test_spare_capacity_is_shared_evenly():
    """Two organisations overload a fleet with more than its stated capacity.

    One of them submits ten times as often as the other. It gets less than
    twice what the other gets.
    """
    scheduler = _make(servers=2, slots=20, kv_tokens=10_000_000)
    scheduler.shares.set_capacity(tokens_per_second=2000.0)
    running = []
    owner = {}
    begun = {"eager": 0, "modest": 0}
    for n in range(4000):
        now = 0.002 * n
        organisation = "modest" if n % 11 == 0 else "eager"
        work = _job(f"a{n}", organisation=organisation, prompt=100, now=now)
        owner[work.key] = organisation
        running += [
            (now + 0.4, key) for key in _keys(scheduler.submit(work, now))
        ]
        running += [(now + 0.4, key) for key in _keys(scheduler.tick(now))]
        while running and running[0][0] <= now:
            _, key = running.pop(0)
            begun[owner[key]] += 1
            scheduler.note_first_token(key, now)
            ended = scheduler.note_end(key, now)
            running += [(now + 0.4, started) for started in _keys(ended)]
    assert begun["modest"] > 100
    assert begun["eager"] < 2 * begun["modest"]


def test_reconcile_releases_requests_whose_ends_were_lost():
    """A router's connection to the host breaks while its requests run.

    Their first tokens and ends are not reported. When the router reconnects it
    reports what still runs; the engine is available again at once, not after
    the callers' deadlines.
    """
    scheduler = _make(servers=1, slots=4, kv_tokens=10_000_000)
    for n in range(3):
        scheduler.submit(_job(f"a{n}", prompt=3000), 0.0)
    other = _job("other", prompt=900, router="r-2")
    scheduler.submit(other, 0.0)
    assert scheduler.submit(_job("b", prompt=9000, now=1.0), 1.0) == []
    decided = scheduler.reconcile(
        "r-1", running={"a1", "a2"}, prefilling={"a2"}, now=1.01
    )
    assert _keys(decided) == ["b"]
    (engine,) = scheduler.describe(1.01)
    assert engine["running"] == 4
    # 9,000 tokens of "b", and 2,900 of "a2" and "other": 7,000 of their 9,900
    # are prefilled when the first token of "a1" is due; from then on the
    # backlog does not shrink.
    assert engine["unread"] == 11_900


def test_starts_that_are_reported_again_do_not_count_again():
    """Guards against starvation after a router reconnects (FAIR).

    The router of an overloaded VM considered its host silent, reconnected and
    reported some hundred recent starts, most of which the host had decided
    itself. All of them counted again towards their organisation's share: the
    host refused with "4339892 tokens begun of 465364" at a real usage of
    300,000, so the organisation that had got least went last.
    """
    scheduler = _make(servers=2, slots=64, kv_tokens=10**6)
    started = [_job(f"flood-{n}", organisation="flood") for n in range(20)]
    for work in started:
        scheduler.submit(work, 0.0)
        scheduler.note_first_token(work.key, 0.05)
        scheduler.note_end(work.key, 0.06)
    begun = scheduler.shares.find_usage("flood", 0.5)
    assert begun == 20 * 1200.0
    for work in started:
        scheduler.note_started_elsewhere(work, "e-0", 0.5)
        scheduler.note_end(work.key, 0.5)
    assert scheduler.shares.find_usage("flood", 0.5) == begun
    unknown = _job("other-0", organisation="flood", now=0.4)
    scheduler.note_started_elsewhere(unknown, "e-0", 0.5)
    assert scheduler.shares.find_usage("flood", 0.5) == begun + 1200.0
    long_ago = _job("other-1", organisation="flood", now=-9.0)
    scheduler.note_started_elsewhere(long_ago, "e-0", 0.5)
    assert scheduler.shares.find_usage("flood", 0.5) == begun + 1200.0


def test_isolated_requests_share_no_server():
    """Guards against a crash that may be the fault of two suspects."""
    scheduler = _make(servers=2)
    started = []
    for number in range(3):
        work = _job(f"k-{number}", isolated=True)
        started += _servers(scheduler.submit(work, 0.0))
    assert sorted(started) == ["e-0", "e-1"]
    assert scheduler.waiting == 1
    assert len(_servers(scheduler.submit(_job("k-3"), 0.01))) == 1
    assert len(_servers(scheduler.note_end("k-0", 0.02))) == 1
