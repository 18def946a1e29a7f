"""Reads of the list of quarantined requests."""

import time

import fakes
import pytest

from daisypick_core.quarantine import crash_record

_DIGEST = "e7a8cc7042dfb945"
# A day of the deployment and the pause between two looks, in seconds.
_DAY, _PAUSE = 50.0, 2.5


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


def _make(store, monkeypatch, *, is_connected):
    router = fakes.make_router(store, "r-1")
    kept = router._quarantine_store
    monkeypatch.setattr(kept, "_is_connected", lambda: is_connected)
    return router, kept


def _count_reads(kept, begin):
    """Return how often the list is read in a day, without waiting."""
    reads = 0
    for look in range(int(_DAY / _PAUSE)):
        now = begin + look * _PAUSE
        if kept.is_due(now):
            assert kept.read()
            kept._listed_at = now
            reads += 1
    return reads


@pytest.mark.parametrize(
    ("is_connected", "most_reads"), [(True, 2), (False, 20)]
)
def test_empty_list_is_read_rarely_by_a_connected_router(
    store, monkeypatch, is_connected, most_reads
):
    """Guards against half of all calls being for an empty list.

    A router that no other one reaches still learns of a quarantine by it.
    """
    _, kept = _make(store, monkeypatch, is_connected=is_connected)
    assert _count_reads(kept, time.monotonic()) == most_reads


def test_list_is_read_at_each_look_while_a_request_is_quarantined(
    store, monkeypatch
):
    """Guards against a release by an operator that takes effect late.

    Another router tells of the quarantine. Its object is listed, then deleted.
    """
    router, kept = _make(store, monkeypatch, is_connected=True)
    assert kept.read()
    now = time.monotonic()
    assert not kept.is_due(now + _PAUSE)
    record = crash_record.CrashRecord(epoch=0, level=3)
    router.quarantine.merge([(_DIGEST, record)])
    store.put("daisypick-quarantine", _DIGEST, {"epoch": 0, "level": 3})
    assert kept.is_due(now + _PAUSE)
    assert kept.read()
    store.remove("daisypick-quarantine", _DIGEST)
    assert kept.is_due(now + 2 * _PAUSE)
    assert kept.read()
    assert router.quarantine.ledger.quarantined == 0
