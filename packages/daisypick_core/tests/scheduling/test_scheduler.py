"""Which request starts next, and where."""

import random

from daisypick_core.scheduling import actions
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefix_cache
from daisypick_core.scheduling import reading_speed
from daisypick_core.scheduling import scheduler as schedulers
from daisypick_core.scheduling import server_state


def _make(servers=2, *, slots=8, kv_tokens=100_000, cold_rate=20.0, share=1.0):
    scheduler = schedulers.Scheduler(
        kv_tokens=kv_tokens,
        cold_rate=cold_rate,
        window_seconds=4.0,
        rng=random.Random(1),
        speed=reading_speed.ServiceSpeed(base=0.01, token_seconds=1e-5),
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


def _keys(decided):
    return [
        action.key for action in decided if isinstance(action, actions.Start)
    ]


def test_request_goes_where_its_prompt_is_kept():
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


def test_least_served_organisation_goes_first():
    """A flood of one organisation waits for a full engine.

    Another organisation's first request comes last and starts next.
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


def test_flood_beyond_its_share_is_refused_at_once_when_engines_are_busy():
    """The fleet makes 1,000 tokens a second, and one floods a busy engine.

    So many of its requests wait as may still start; the rest is refused at
    once, with a time to come back and a pause in which routers need not ask.
    The small organisation beside it is served, and none that waits starts
    while no capacity is spare.
    """
    scheduler = _make(servers=1, slots=4)
    scheduler.shares.set_capacity(tokens_per_second=1000.0)
    assert len(_servers(_submit_overload(scheduler, 3, 0.0))) == 3
    assert _submit_overload(scheduler, 32, 0.2, first=3) == []
    (refused,) = _submit_overload(scheduler, 1, 0.2, first=99)
    assert isinstance(refused, actions.Refuse)
    assert refused.retry_after > 0.0
    assert refused.pause > 0.0
    decided = scheduler.submit(_job("farm-0"), 0.2) + scheduler.tick(0.21)
    assert _keys(decided) == ["farm-0"]
    assert _keys(scheduler.tick(0.22)) == []


def test_no_request_is_refused_while_engines_have_room():
    """Two large organisations ask for more than their even shares.

    One of them found a busy engine a moment ago. Engines have room again, and
    what the other asks beyond its share starts: nothing is held back for the
    sake of evenness while nobody waits.
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


def test_spare_capacity_goes_to_whoever_began_less():
    """Both are beyond their shares and wait; one of them began far more."""
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


def test_what_waits_too_long_is_refused_with_a_time_to_come_back():
    scheduler = _make(servers=1, slots=1)
    scheduler.submit(_job("a"), 0.0)
    scheduler.submit(_job("b"), 0.0)
    assert scheduler.tick(0.29) == []
    (refused,) = scheduler.tick(0.31)
    assert refused.key == "b"
    assert refused.retry_after > 0.0


def test_request_whose_prompt_leaves_no_time_is_refused_as_soon_as_that_is_so():
    """A long and a short prompt wait for a full engine, one objective.

    Reading the long one takes 0.3 s of the 0.5; after 0.2 s it cannot be in
    time any more, and its caller is told then. What an engine keeps of a
    prompt does not count.
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


def test_flood_that_waits_too_late_makes_room_for_what_is_in_time():
    """An organisation floods busy engines; as many of it wait as may.

    When these are too late for any engine, a new request of it is in time.
    It takes the place of one of them, whose caller is told at once; refused
    instead, the organisation would get nothing while others are served.
    """
    scheduler = _make(servers=1, slots=1)
    scheduler.shares.set_capacity(tokens_per_second=100.0)
    long = _job("long", organisation="flood", prompt=60_000)
    assert _keys(scheduler.submit(long, 0.0)) == ["long"]
    _submit_overload(scheduler, 40, now=0.0)
    waiting = scheduler.waiting
    fresh = _job("fresh", organisation="flood", now=0.15, objective_at=1.0)
    refused = _refused(scheduler.submit(fresh, 0.15))
    assert refused == ["flood-0"]
    assert scheduler.waiting == waiting


def _refused(decided):
    return [
        action.key for action in decided if isinstance(action, actions.Refuse)
    ]


def test_requests_that_are_too_late_do_not_keep_later_ones_waiting():
    """Long prompts wait for an engine that reads another, then a short one.

    When there is room again the long ones cannot be in time any more behind
    what the engine still reads, and the look at an organisation ends after
    three. The short one is in time and starts.
    """
    scheduler = _make(servers=1, slots=8, kv_tokens=10_000_000)
    for name in ("first", "b", "c", "d", "e"):
        scheduler.submit(_job(name, prompt=15_000), 0.0)
    short = _job("short", prompt=500, objective_at=0.6)
    assert scheduler.submit(short, 0.0) == []
    scheduler.note_first_token("first", 0.16)
    decided = scheduler.tick(0.25)
    assert "short" in _keys(decided)


def test_engine_gets_no_more_than_it_can_read_in_time():
    """Long prompts arrive at once: an engine gets as many as it can begin."""
    scheduler = _make(servers=1, slots=64, kv_tokens=10_000_000)
    started = [
        scheduler.submit(_job(f"a{n}", prompt=4000), 0.0) for n in range(10)
    ]
    assert sum(len(_servers(decided)) for decided in started) == 3


def test_running_requests_fit_into_memory():
    """An engine whose memory runs out throws a running request out of it."""
    scheduler = _make(servers=1, slots=64, kv_tokens=10_000)
    started = [
        scheduler.submit(_job(f"a{n}", prompt=2000, now=float(n)), float(n))
        for n in range(8)
    ]
    assert sum(len(_servers(decided)) for decided in started) == 4


def test_cold_engine_gets_a_routers_part_of_what_it_bears():
    """A cold engine bears 20 requests a second from five routers together."""
    scheduler = _make(servers=0)
    scheduler.set_servers([_state("e-0", slots=64, cold_until=10.0)])
    started = [
        scheduler.submit(_job(f"a{n}", prompt=10), 0.01 * n) for n in range(20)
    ]
    assert sum(len(_servers(decided)) for decided in started) == 4


def test_engine_that_is_down_gets_nothing_for_a_while():
    scheduler = _make()
    (server,) = _servers(scheduler.submit(_job("a"), 0.0))
    scheduler.note_failure("a", 0.0, certain=True)
    for n in range(6):
        (other,) = _servers(scheduler.submit(_job(f"b{n}", now=0.1), 0.1))
        assert other != server


def test_engine_that_started_anew_keeps_nothing():
    scheduler = _make(servers=1)
    talk = (job.Part(name="talk", tokens=900),)
    scheduler.submit(_job("a", prompt=900, parts=talk), 0.0)
    scheduler.note_first_token("a", 0.1)
    scheduler.note_end("a", 0.2)
    scheduler.set_servers([_state("e-0", born=2)])
    (start,) = scheduler.submit(_job("b", prompt=900, parts=talk, now=0.3), 0.3)
    assert start.kept == 0


def test_router_that_decides_alone_uses_its_part():
    scheduler = _make(servers=1, slots=10, share=0.2)
    started = [
        scheduler.submit(_job(f"a{n}", prompt=10), 0.0) for n in range(10)
    ]
    assert sum(len(_servers(decided)) for decided in started) == 2


def test_no_server_is_refused_at_once():
    (refused,) = _make(servers=0).submit(_job("a"), 0.0)
    assert isinstance(refused, actions.Refuse)


def test_withdrawn_request_never_starts():
    scheduler = _make(servers=1, slots=1)
    scheduler.submit(_job("a"), 0.0)
    scheduler.submit(_job("b"), 0.0)
    scheduler.withdraw("b", 0.1)
    assert scheduler.note_end("a", 0.2) == []


def test_places_of_requests_whose_router_is_gone_become_free():
    """A router dies and never tells that its request has ended.

    After the caller's deadline the place is free for others.
    """
    scheduler = _make(servers=1, slots=1)
    scheduler.submit(_job("a"), 0.0)
    scheduler.submit(_job("b", now=8.9, objective_at=9.9), 8.9)
    assert scheduler.expire(8.95) == []
    assert _servers(scheduler.expire(9.1)) == ["e-0"]


def test_flood_of_waiting_requests_costs_a_bounded_look(monkeypatch):
    """Thirty organisations flood full engines with two thousand requests.

    A host that looks at every waiting request at each event has no time
    left to say anything: its callers wait to their deadlines. The looks stay
    proportional to time, not to the flood.
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


def test_spare_capacity_does_not_go_to_the_same_few():
    """Two organisations flood a fleet that has more capacity than it says.

    One of them asks ten times as often. While the other is refused, neither
    gets more than twice what the other gets.
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


def test_requests_whose_ends_were_not_heard_do_not_keep_engines_closed():
    """A router's connection to the host breaks while its requests run.

    Their first tokens and ends are told to nobody. When it connects again it
    tells what still runs; the engine is open again at once, not when the
    callers' deadlines have passed.
    """
    scheduler = _make(servers=1, slots=4, kv_tokens=10_000_000)
    for n in range(3):
        scheduler.submit(_job(f"a{n}", prompt=3000), 0.0)
    other = _job("other", prompt=900, router="r-2")
    scheduler.submit(other, 0.0)
    assert scheduler.submit(_job("b", prompt=9000, now=1.0), 1.0) == []
    decided = scheduler.reconcile(
        "r-1", running={"a1", "a2"}, reading={"a2"}, now=1.01
    )
    assert _keys(decided) == ["b"]
    (engine,) = scheduler.describe(1.01)
    assert engine["running"] == 4
    # 9,000 of "b", and 2,900 of "a2" and "other": 7,000 of 9,900 tokens are
    # read when the first token of "a1" is due, and then it is overdue.
    assert engine["unread"] == 11_900


def test_starts_that_are_told_again_do_not_count_again():
    """Guards against starving whose router connects again (FAIR).

    The router of a flooded VM took its host for silent and connected again,
    and told what it had started lately, some hundred requests, most of which
    the host had decided itself. All counted once more against their
    organisation's share: the host refused with "4339892 tokens begun of
    465364" while it had begun 300,000, so whoever had got least went last.
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
