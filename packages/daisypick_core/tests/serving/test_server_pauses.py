"""Pauses that servers ask for."""

from daisypick_core.serving import backend_server
from daisypick_core.serving import server_pauses


def _server(name="i-1", born=1):
    return backend_server.BackendServer(
        name=name,
        service="s",
        address=("10.0.0.1", 80),
        data_centre="a",
        slots=1,
        draining=False,
        cold_until=0.0,
        born=born,
    )


def test_shorter_pause_does_not_end_a_longer_one():
    """Guards against a late rejection that shortens the pause."""
    pauses = server_pauses.ServerPauses()
    pauses.note(_server(), seconds=5.0, now=0.0, unix_ms=1)
    pauses.note(_server(), seconds=1.0, now=1.0, unix_ms=1)
    assert pauses.is_paused(_server(), now=4.9)


def test_next_instance_is_not_paused():
    pauses = server_pauses.ServerPauses()
    pauses.note(_server(), seconds=5.0, now=0.0, unix_ms=1)
    assert not pauses.is_paused(_server(born=2), now=1.0)


def test_wait_ends_with_the_first_pause():
    pauses = server_pauses.ServerPauses()
    servers = [_server("i-1"), _server("i-2")]
    pauses.note(servers[0], seconds=5.0, now=0.0, unix_ms=1)
    assert pauses.find_wait(servers, now=1.0) == 0.0
    pauses.note(servers[1], seconds=3.0, now=0.0, unix_ms=1)
    assert pauses.find_wait(servers, now=1.0) == 2.0
    assert pauses.find_paused(now=4.0) == ["i-1"]


def test_ended_pauses_are_forgotten():
    """Guards against growth with each server that ever asked for a pause."""
    pauses = server_pauses.ServerPauses()
    for number in range(100):
        pauses.note(_server(f"i-{number}"), seconds=1.0, now=0.0, unix_ms=1)
    pauses.expire(now=1.0)
    assert len(pauses) == 0


def test_older_entry_of_a_restored_list_does_not_end_a_pause():
    """Guards against an earlier instance's entry that a backup brings back."""
    pauses = server_pauses.ServerPauses()
    pauses.note(_server(born=2), seconds=5.0, now=0.0, unix_ms=2)
    assert pauses.is_paused(_server(born=1), now=1.0)
    pauses.note(_server(born=1), seconds=1.0, now=1.0, unix_ms=2)
    assert pauses.is_paused(_server(born=2), now=4.0)


def test_pause_holds_for_an_instance_that_is_listed_after_it():
    """Guards against dropping what an instance asks that is not listed yet."""
    pauses = server_pauses.ServerPauses()
    pauses.note(_server(born=1000), seconds=5.0, now=0.0, unix_ms=3000)
    assert pauses.is_paused(_server(born=2000), now=1.0)
    assert not pauses.is_paused(_server(born=3001), now=1.0)
