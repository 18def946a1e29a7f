"""The ledger of held bytes, and limits by server."""

import random

import pytest

from daisypick_core.serving import held_bytes
from daisypick_core.serving import server_capacity

_MEGABYTE = 1_000_000


def _hold(held, organisation, amount, now, *, protected=False):
    holder = held.open(now)
    held.assign(holder, organisation=organisation)
    holder.protected = protected
    held.set(holder, held_bytes.RESPONSE, amount, now)
    return holder


def test_slowest_of_the_largest_organisation_is_ended_first():
    """Guards against one organisation's slow callers ending those of others."""
    held = held_bytes.HeldBytes(memory_bytes=70 * _MEGABYTE)
    other = _hold(held, "quiet", 10 * _MEGABYTE, 0.0)
    slow = _hold(held, "slow", 15 * _MEGABYTE, 1.0)
    moving = _hold(held, "slow", 17 * _MEGABYTE, 1.0)
    held.set(moving, held_bytes.RESPONSE, 16 * _MEGABYTE, 5.0)
    unsafe = _hold(held, "slow", 1 * _MEGABYTE, 0.0, protected=True)
    ended = []
    while (holder := held.choose_end()) is not None:
        ended.append(holder)
    assert ended == [slow, moving, other, unsafe]


def test_counts_match_a_recount_after_any_order_of_events():
    """Guards against a leak of the ledger, which would end in refusals."""
    rng = random.Random(1)
    held = held_bytes.HeldBytes(memory_bytes=0)
    holders = [held.open(0.0) for _ in range(20)]
    for step in range(4000):
        holder = rng.choice(holders)
        action = rng.random()
        if action < 0.6:
            kind = rng.choice(held_bytes.KINDS)
            held.set(holder, kind, rng.choice([0, 1, 700, 9000]), step)
        elif action < 0.8:
            held.assign(
                holder,
                organisation=rng.choice("abc"),
                server=rng.choice(["s", "t", None]),
            )
        else:
            held.close(holder, step)
        assert held.total == sum(holder.bytes for holder in holders)
        assert sum(held.bytes_by_kind.values()) == held.total
        for name in "abc":
            assert held.find_organisation_bytes(name) == sum(
                holder.bytes
                for holder in holders
                if holder.organisation == name
            )
        for server in "st":
            assert held.bytes_by_server.get(server, 0) == sum(
                holder.bytes_by_kind.get(held_bytes.REQUEST, 0)
                for holder in holders
                if holder.server == server
            )
    for holder in holders:
        held.close(holder, 4000)
    assert held.total == 0
    assert held._holders == {}


@pytest.mark.parametrize("waited", [0.0, 2.0])
def test_slow_callers_alone_stay_below_the_soft_limit(waited):
    """Guards against refusals that slow callers of one router cause others."""
    held = held_bytes.HeldBytes(memory_bytes=200 * _MEGABYTE)
    holders = [_hold(held, f"o{n % 9}", 0, 0.0) for n in range(200)]
    for _ in range(300):
        for holder in holders:
            now = holder.bytes
            if now < held.find_caller_limit(holder, waited):
                held.set(holder, held_bytes.RESPONSE, now + 65536, 0.0)
    assert not held.is_above_soft


def _simulate(capacity, *, memory, seconds):
    """Send bodies of 1 MB to a server; return crashes in each second."""
    crashes = []
    in_flight = 0
    for now in range(seconds):
        crashes.append(0)
        for _ in range(40):
            if not capacity.allows("d-1", _MEGABYTE):
                break
            capacity.note_sent("d-1", _MEGABYTE)
            in_flight += 1
            if in_flight * _MEGABYTE > memory:
                assert capacity.note_crash("d-1", now)
                crashes[-1] += 1
                break
        for _ in range(in_flight):
            capacity.note_end(
                "d-1", _MEGABYTE, answered=not crashes[-1], now=now + 0.5
            )
        in_flight = 0
    return crashes


def test_server_at_half_of_its_memory_crashes_seldom():
    """Guards against a server that is overrun again after each restart."""
    crashes = _simulate(
        server_capacity.ServerCapacity(), memory=12 * _MEGABYTE, seconds=100
    )
    assert crashes[0] == 1
    assert sum(crashes) <= 3


def test_crash_of_a_server_with_one_request_counts_for_the_request():
    """Guards against a request that crashes servers and is never refused."""
    capacity = server_capacity.ServerCapacity()
    capacity.note_sent("d-1", 4 * _MEGABYTE)
    assert not capacity.note_crash("d-1", 1.0)


def _arrive(held, organisation, size, now):
    holder = held.open(now)
    held.assign(holder, organisation=organisation)
    reason = held.begin_arrival(holder, size, now)
    return holder, reason or held.count_arrival(holder, now)


def test_bodies_are_admitted_by_what_they_may_still_bring():
    """Guards against bodies that are admitted together and all go on."""
    held = held_bytes.HeldBytes(memory_bytes=100 * _MEGABYTE)
    admitted = []
    for number in range(40):
        holder, reason = _arrive(held, f"o-{number}", 4 * _MEGABYTE, 0.0)
        if reason is None:
            admitted.append(holder)
    assert 4 * len(admitted) * _MEGABYTE <= held.soft_limit
    assert len(admitted) >= 8
    for holder in admitted:
        for amount in range(0, 4 * _MEGABYTE, 65_536):
            held.note_arrived(holder, amount, 1.0)
            held.set(holder, held_bytes.REQUEST, amount, 1.0)
            assert held.total <= held.soft_limit
    for holder in admitted:
        held.close(holder, 2.0)
    assert held.total == 0


def test_body_of_unknown_size_is_refused_once_it_does_not_fit():
    """Guards against a body that grows beyond what was reserved for it."""
    held = held_bytes.HeldBytes(memory_bytes=10 * _MEGABYTE)
    holder, reason = _arrive(held, "farm", 16_384, 0.0)
    size = 16_384
    while reason is None:
        size *= 2
        reason = held.extend_arrival(holder, size, 0.0)
    assert size <= held.soft_limit
    assert held.total == size // 2


def test_small_bodies_of_others_fit_beside_those_of_one_organisation():
    """Guards against one organisation's bodies refusing those of others."""
    held = held_bytes.HeldBytes(memory_bytes=100 * _MEGABYTE)
    while _arrive(held, "crowd", _MEGABYTE, 0.0)[1] is None:
        pass
    assert _arrive(held, "other", _MEGABYTE, 0.0)[1] is None
    while _arrive(held, "many", 200_000, 0.0)[1] is None:
        pass
    assert _arrive(held, "other", 16_000, 0.0)[1] is None


def test_body_without_progress_yields_to_another():
    """Guards against stopped bodies that keep their memory from others."""
    held = held_bytes.HeldBytes(memory_bytes=100 * _MEGABYTE)
    stopped = [_arrive(held, "crowd", 10_000, 0.0)[0] for _ in range(3)]
    held.note_arrived(stopped[0], 9_000, 2.0)
    new = held.open(2.5)
    held.assign(new, organisation="other")
    assert held.find_stalled(new, 0.5) is None
    assert held.find_stalled(new, 2.5) is stopped[1]
    held.close(stopped[1], 2.5)
    held.close(stopped[2], 2.5)
    assert held.find_stalled(new, 2.5) is None
    assert held.find_stalled(new, 3.5) is stopped[0]


def test_bytes_of_an_ended_holder_count_until_they_are_freed():
    """Guards against memory that is given away before it is free."""
    held = held_bytes.HeldBytes(memory_bytes=100 * _MEGABYTE)
    for _ in range(4):
        _hold(held, "crowd", 18 * _MEGABYTE, 0.0)
    ended = held.choose_end()
    held.note_leaving(ended)
    assert not held.is_above_hard
    assert held.total == 72 * _MEGABYTE
    assert _arrive(held, "other", _MEGABYTE, 0.0)[1] is not None
    held.close(ended, 1.0)
    assert (held.total, held.leaving) == (54 * _MEGABYTE, 0)


def test_connections_take_their_part_of_the_memory():
    """Guards against limits that add up to more than the memory."""
    held = held_bytes.HeldBytes(memory_bytes=100 * _MEGABYTE)
    _hold(held, "crowd", 40 * _MEGABYTE, 0.0)
    assert not held.is_above_soft
    held.connections = int(held.max_connections)
    assert held.is_above_soft
    assert held.choose_end() is not None


def test_bodies_that_come_with_their_heads_are_not_counted():
    """Guards against small requests refused beside many stopped bodies."""
    held = held_bytes.HeldBytes(memory_bytes=100 * _MEGABYTE)
    while _arrive(held, "crowd", 900, 0.0)[1] is None:
        pass
    holder = held.open(0.5)
    held.assign(holder, organisation="crowd")
    assert held.begin_arrival(holder, 900, 0.5) is None
    assert held.count_arrival(holder, 0.5) is not None
    held.end_arrival(holder)
    assert holder.bytes == 0


def test_limits_leave_room_for_the_process_itself():
    """Guards against limits that add up to more than a small memory."""
    held = held_bytes.HeldBytes(memory_bytes=128 * _MEGABYTE)
    held.set_memory(128 * _MEGABYTE, resident_bytes=32 * _MEGABYTE)
    rest = 128 * _MEGABYTE - held.hard_limit
    assert rest > (32 + 12.8 + 8 + 8) * _MEGABYTE
    held.set_memory(200 * _MEGABYTE, resident_bytes=32 * _MEGABYTE)
    assert held.hard_limit == pytest.approx(116 * _MEGABYTE)
    held.set_memory(60 * _MEGABYTE, resident_bytes=90 * _MEGABYTE)
    assert held.hard_limit == pytest.approx(18 * _MEGABYTE)


def test_responses_of_small_organisations_begin_above_the_soft_limit():
    """Guards against a crowd that refuses the responses of all others."""
    held = held_bytes.HeldBytes(memory_bytes=100 * _MEGABYTE)
    crowd = _hold(held, "crowd", 40 * _MEGABYTE, 0.0)
    other = _hold(held, "other", _MEGABYTE, 0.0)
    assert not held.refuses_response(crowd)
    held.set(crowd, held_bytes.RESPONSE, 50 * _MEGABYTE, 1.0)
    assert held.refuses_response(crowd)
    assert not held.refuses_response(other)
    held.set(crowd, held_bytes.RESPONSE, 56 * _MEGABYTE, 2.0)
    assert held.refuses_response(other)
