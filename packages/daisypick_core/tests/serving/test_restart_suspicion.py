"""Until when a server counts as cold after a connection to it failed."""

import math

import pytest

from daisypick_core.serving import restart_suspicion


@pytest.fixture
def suspicion():
    found = restart_suspicion.RestartSuspicion()
    found.note_failure("i-1", born=1, now=10.0)
    return found


def _until(suspicion, born=1):
    return suspicion.find_cold_until("i-1", born=born)


def test_suspected_server_is_cold_until_a_connection_is_made(suspicion):
    assert _until(suspicion) == math.inf
    suspicion.note_connected("i-1", opened_at=11.0, cold_seconds=3.0)
    suspicion.note_connected("i-1", opened_at=13.0, cold_seconds=3.0)
    assert _until(suspicion) == 14.0


def test_older_connection_that_goes_on_shows_that_it_did_not_restart(suspicion):
    suspicion.note_received("i-1", opened_at=9.0, now=10.2)
    assert _until(suspicion) == 0.0


def test_bytes_received_before_the_end_show_nothing(suspicion):
    """Guards against a buffered answer that hides a restart."""
    suspicion.note_received("i-1", opened_at=9.0, now=10.05)
    assert _until(suspicion) == math.inf


def test_connection_made_after_the_failure_shows_no_older_process(suspicion):
    suspicion.note_received("i-1", opened_at=10.0, now=10.5)
    assert _until(suspicion) == math.inf


@pytest.mark.parametrize(
    ("since", "now", "ends"),
    [(10.0, 10.1, True), (10.0, 10.11, False), (9.0, 10.0, False)],
)
def test_server_that_listens_right_after_a_failure_did_not_end(
    suspicion, since, now, ends
):
    """Guards against a suspicion that a late or an earlier probe ends."""
    assert suspicion.note_listening("i-1", since=since, now=now) is ends
    assert (_until(suspicion) == 0.0) is ends


def test_connection_made_before_a_late_report_may_be_to_a_new_instance():
    """Guards against a restart hidden by a report that comes after it."""
    found = restart_suspicion.RestartSuspicion()
    found.note_failure("i-1", born=1, now=10.0, is_reported=True)
    assert not found.note_received("i-1", opened_at=9.5, now=10.2)
    assert found.note_connected("i-1", opened_at=9.5, cold_seconds=3.0)
    assert found.find_cold_until("i-1", born=1) == 12.5
    assert found.note_received("i-1", opened_at=7.9, now=10.2)


def test_next_failure_renews_the_suspicion(suspicion):
    """Guards against a server that ends just after a connection was made."""
    suspicion.note_connected("i-1", opened_at=11.0, cold_seconds=3.0)
    assert suspicion.note_failure("i-1", born=1, now=12.0)
    assert _until(suspicion) == math.inf


def test_entry_of_a_later_instance_ends_the_suspicion(suspicion):
    assert _until(suspicion, born=2) == 0.0
    assert _until(suspicion) == 0.0


def test_warm_and_unlisted_servers_are_forgotten(suspicion):
    """Guards against memory that grows with every server that failed."""
    suspicion.note_failure("i-2", born=1, now=10.0)
    suspicion.note_connected("i-1", opened_at=11.0, cold_seconds=3.0)
    suspicion.expire({"i-1", "i-2"}, 13.9)
    assert len(suspicion) == 2
    suspicion.expire({"i-1"}, 14.0)
    assert len(suspicion) == 0
