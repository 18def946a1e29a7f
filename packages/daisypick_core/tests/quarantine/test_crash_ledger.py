"""Records of requests that may crash servers."""

import random

import hypothesis
from hypothesis import strategies

from daisypick_core.quarantine import crash_ledger
from daisypick_core.quarantine import crash_record


def _crash(ledger, digest="d-1", now=0.0):
    return ledger.note_crash(digest, ledger.find(digest), now)


def test_third_crash_in_a_row_quarantines():
    ledger = crash_ledger.CrashLedger()
    found = [_crash(ledger).is_quarantined for _ in range(3)]
    assert found == [False, False, True]


def test_request_that_ended_well_starts_again():
    """Guards against blaming a request that was beside a crash now and then."""
    ledger = crash_ledger.CrashLedger()
    for _ in range(10):
        _crash(ledger)
        _crash(ledger)
        ledger.note_success("d-1", 0.0)
    assert ledger.find("d-1") == crash_record.CrashRecord(epoch=10, level=0)


def test_servers_that_crash_together_count_once():
    """Guards against blame when several servers lose power at one moment."""
    ledger = crash_ledger.CrashLedger()
    sent = ledger.find("d-1")
    for _ in range(4):
        ledger.note_crash("d-1", sent, 0.0)
    assert ledger.find("d-1").level == 1


def test_crash_of_a_copy_sent_before_a_success_is_ignored():
    ledger = crash_ledger.CrashLedger()
    _crash(ledger)
    sent = ledger.find("d-1")
    ledger.note_success("d-1", 0.0)
    assert ledger.note_crash("d-1", sent, 0.0) is None


def test_suspects_and_quarantines_are_forgotten():
    ledger = crash_ledger.CrashLedger()
    _crash(ledger, "d-1")
    for _ in range(3):
        _crash(ledger, "d-2")
    ledger.expire(600.0)
    assert not ledger.find("d-1").level
    assert ledger.find("d-2").is_quarantined
    ledger.expire(86_400.0)
    assert len(ledger) == 0


def test_memory_is_bounded():
    """Guards against growth with each request that a crash ends."""
    ledger = crash_ledger.CrashLedger()
    for number in range(20_000):
        ledger.merge(f"s-{number}", crash_record.CrashRecord(0, 1), 0.0)
        ledger.merge(f"q-{number}", crash_record.CrashRecord(0, 3), 0.0)
    assert len(ledger) == 8192 + 1024
    assert ledger.find("q-19999").is_quarantined
    assert not ledger.find("q-0").level


@hypothesis.given(
    reports=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["d-1", "d-2"]),
            strategies.builds(
                crash_record.CrashRecord,
                epoch=strategies.integers(0, 3),
                level=strategies.integers(0, 4),
            ),
        )
    ),
    seed=strategies.integers(0, 1000),
)
def test_order_and_repeats_of_messages_do_not_matter(reports, seed):
    """Guards against routers that keep different records for ever."""
    first, second = crash_ledger.CrashLedger(), crash_ledger.CrashLedger()
    for digest, record in reports:
        first.merge(digest, record, 0.0)
    shuffled = reports * 2
    random.Random(seed).shuffle(shuffled)
    for digest, record in shuffled:
        second.merge(digest, record, 0.0)
    assert dict(first.iterate_newest()) == dict(second.iterate_newest())
