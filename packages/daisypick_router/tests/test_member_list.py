"""The list of routers by which limits on the whole fleet are divided."""

import random
import time

import pytest

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_platform import position as positions
from daisypick_platform import store as stores
from daisypick_router import log as logs
from daisypick_router import membership as memberships
from daisypick_router import skipped_objects


class _Store:
    """A store whose lists are given by the test."""

    def __init__(self):
        self.eras = positions.EraTracker()
        self.listing = _list(1)
        self.deleted = []
        self.writes = []

    def list_kind(self, kind, *, stale=False):
        return self.listing

    def delete(self, kind, name, position):
        self.deleted.append(name)

    def create(self, kind, name, spec):
        self.writes.append(name)
        return _fail()

    replace = create


def _fail():
    return failure.Failure(code=codes.PLATFORM_UNAVAILABLE, reason="down")


def _list(revision, **revision_by_name):
    return stores.Listing(
        objects=tuple(
            stores.StoredObject(
                name=name.replace("_", "-"),
                spec={"address": "127.0.0.1:1"},
                revision=changed,
            )
            for name, changed in revision_by_name.items()
        ),
        position=positions.Position(era=0, revision=revision),
    )


@pytest.fixture
def clock(monkeypatch):
    class _Clock:
        now = 1000.0

    monkeypatch.setattr(time, "monotonic", lambda: _Clock.now)
    return _Clock


@pytest.fixture
def membership():
    log = logs.Log(process="r-1")
    return memberships.Membership(
        store=_Store(),
        log=log,
        rng=random.Random(1),
        name="r-1",
        address=("127.0.0.1", 1),
        cores=1.0,
        on_change=lambda: None,
        skipped=skipped_objects.SkippedObjects(log=log, metrics=None),
    )


def _read(membership, listing):
    membership.receive(listing)


def test_older_list_does_not_drop_a_router(clock, membership):
    """Guards against a quota that grows because a stale list was read."""
    _read(membership, _list(9, r_1=5, r_2=6, r_3=8))
    _read(membership, _list(7, r_1=5, r_2=6))
    assert membership.names == {"r-1", "r-2", "r-3"}
    _read(membership, _list(10, r_1=5, r_2=6))
    assert membership.names == {"r-1", "r-2"}


def test_routers_do_not_expire_because_the_store_was_away(clock, membership):
    """Guards against routers dropped before they can renew their entries."""
    _read(membership, _list(9, r_1=5, r_2=6, r_3=8))
    for _ in range(30):
        clock.now += 8.0
        _read(membership, _fail())
    clock.now += 1.0
    _read(membership, _list(9, r_1=5, r_2=6, r_3=8))
    assert membership.names == {"r-1", "r-2", "r-3"}


def test_routers_do_not_expire_because_this_one_stood_still(clock, membership):
    """Guards against routers dropped by a process that was stopped."""
    _read(membership, _list(9, r_1=5, r_2=6))
    clock.now += 300.0
    _read(membership, _list(9, r_1=5, r_2=6))
    assert membership.names == {"r-1", "r-2"}


def test_router_that_does_not_renew_expires_while_lists_are_read(
    clock, membership
):
    """Guards against quotas of routers that have ended."""
    for turn in range(12):
        _read(membership, _list(9 + turn, r_1=5 + turn, r_2=6))
        clock.now += 8.0
    assert membership.names == {"r-1", "r-2"}
    clock.now += 8.0
    _read(membership, _list(30, r_1=29, r_2=6))
    assert membership.names == {"r-1"}
