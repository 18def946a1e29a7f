"""When a router may use its quota of a limit on the whole fleet."""

import pytest

from daisypick_core.membership import standing as standings


@pytest.fixture
def standing():
    return standings.Standing(
        lease_seconds=90.0, settle_seconds=2.0, join_seconds=12.0
    )


def test_router_whose_name_is_listed_is_counted_at_once(standing):
    assert not standing.is_counted(0.0)
    standing.note_written(0.0, is_join=False)
    assert standing.is_counted(0.0)


def test_new_router_waits_until_all_have_read_the_list(standing):
    """Guards against a quota beside those of routers that do not know it."""
    standing.note_written(0.0, is_join=True)
    standing.note_list(3.0, has_others=True)
    assert not standing.is_counted(11.9)
    assert standing.is_counted(12.0)


def test_only_router_waits_for_those_that_start_with_it(standing):
    """Guards against routers that start together and each count themselves."""
    standing.note_written(0.0, is_join=True)
    standing.note_list(1.9, has_others=False)
    assert not standing.is_counted(8.0)
    standing.note_list(2.0, has_others=False)
    assert standing.is_counted(8.0)


def test_router_that_cannot_renew_stops_before_others_drop_it(standing):
    """Guards against a router cut off that uses what others divided anew."""
    standing.note_written(0.0, is_join=False)
    assert standing.is_counted(89.9)
    assert not standing.is_counted(90.0)
    standing.note_written(200.0, is_join=True)
    assert not standing.is_counted(200.0)


def test_leaving_router_is_not_counted(standing):
    standing.note_written(0.0, is_join=False)
    standing.note_leaving()
    assert not standing.is_counted(1.0)
