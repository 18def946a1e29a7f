"""The directory of backend servers during outages of the platform's list."""

from daisypick_core.serving import backend_server
from daisypick_core.serving import directory as directories


def _server(name, **changes):
    fields = {
        "service": "s",
        "address": ("10.0.0.1", 80),
        "data_centre": "a",
        "slots": 1,
        "draining": False,
        "cold_until": 0.0,
        "born": 1,
        **changes,
    }
    return backend_server.BackendServer(name=name, **fields)


def _names(directory):
    return [server.name for server in directory.find_ready("s")]


def test_entry_removed_without_outage_is_dropped_at_once():
    directory = directories.Directory()
    directory.replace_all([_server("i-1"), _server("i-2")], now=10.0)
    directory.remove("i-1", now=11.0)
    assert _names(directory) == ["i-2"]


def test_entries_lost_in_an_outage_stay_until_servers_can_register_again():
    """Guards against an empty list of servers after an outage of the store.

    The store is unavailable for five seconds and loses every server. The
    servers are live and register again within two seconds.
    """
    directory = directories.Directory()
    directory.replace_all([_server("i-1"), _server("i-2")], now=0.0)
    directory.note_outage(now=1.0)
    directory.note_contact(now=6.0)
    directory.replace_all([], now=6.0)
    assert _names(directory) == ["i-1", "i-2"]
    directory.put(_server("i-2"))
    assert directory.expire(now=8.1) == []
    assert directory.expire(now=8.3) == ["i-1"]
    assert _names(directory) == ["i-2"]


def test_nothing_expires_while_the_store_is_unavailable():
    directory = directories.Directory()
    directory.replace_all([_server("i-1")], now=0.0)
    directory.note_outage(now=1.0)
    directory.remove("i-1", now=2.0)
    assert directory.expire(now=100.0) == []
    assert _names(directory) == ["i-1"]


def test_draining_and_out_of_service_servers_get_no_requests():
    directory = directories.Directory()
    directory.replace_all(
        [
            _server("i-1", draining=True),
            _server("i-2", data_centre="b"),
            _server("i-3"),
        ],
        now=0.0,
    )
    directory.set_data_centres_out({"b"}, now=1.0)
    assert _names(directory) == ["i-3"]
    assert directory.find_unavailable("s") == ["i-1", "i-2"]


def test_servers_of_a_reenabled_data_centre_are_treated_as_cold():
    """Guards against overloading servers that have turned cold unnoticed.

    A data centre is taken out of service and enabled again. Its servers have
    turned cold, but their entries show it a second later; the requests of that
    second would exceed what cold servers can handle.
    """
    directory = directories.Directory()
    reenabled, other = _server("i-1", data_centre="b"), _server("i-2")
    directory.replace_all([reenabled, other], now=0.0)
    directory.set_data_centres_out({"b"}, now=1.0)
    directory.set_data_centres_out((), now=6.0)
    assert directory.find_cold_until(reenabled, 3.0) == 9.0
    assert directory.find_cold_until(other, 3.0) == 0.0
    updated = reenabled._replace(cold_until=11.0)
    assert directory.find_cold_until(updated, 3.0) == 11.0


def test_server_that_says_it_leaves_stays_out_when_listed_as_ready():
    """Guards against an older entry that overrides the server's own word."""
    directory = directories.Directory()
    directory.replace_all([_server("i-1"), _server("i-2")], now=0.0)
    assert directory.note_leaving(_server("i-1"), now=1.0, unix_ms=1)
    assert not directory.note_leaving(_server("i-1"), now=2.0, unix_ms=1)
    directory.replace_all([_server("i-1"), _server("i-2")], now=3.0)
    directory.put(_server("i-1", cold_until=9.0))
    assert _names(directory) == ["i-2"]
    assert directory.find_unavailable("s") == ["i-1"]


def test_server_that_left_and_starts_again_gets_requests():
    """Guards against shunning the next instance of the same name."""
    directory = directories.Directory()
    directory.put(_server("i-1"))
    directory.note_leaving(_server("i-1"), now=1.0, unix_ms=1)
    directory.put(_server("i-1", born=2))
    assert _names(directory) == ["i-1"]


def test_leaving_server_that_is_listed_again_still_leaves():
    """Guards against sending to it after an outage of the platform."""
    directory = directories.Directory()
    directory.put(_server("i-1"))
    directory.note_leaving(_server("i-1"), now=1.0, unix_ms=1)
    directory.remove("i-1", now=2.0)
    directory.expire(now=600.0)
    directory.put(_server("i-1"))
    assert _names(directory) == []


def test_servers_that_left_are_forgotten():
    """Guards against growth with each server that ever left."""
    directory = directories.Directory()
    for number in range(100):
        server = _server(f"i-{number}")
        directory.put(server)
        directory.note_leaving(server, now=float(number), unix_ms=1)
        directory.remove(server.name, now=float(number))
    directory.expire(now=700.0)
    assert directory._leaving_by_name == {}


def test_older_entry_of_a_restored_list_does_not_end_an_announcement():
    """Guards against an earlier instance's entry that a backup brings back."""
    directory = directories.Directory()
    directory.put(_server("i-1", born=2))
    directory.note_leaving(_server("i-1", born=2), now=1.0, unix_ms=2)
    directory.put(_server("i-1", born=1))
    assert _names(directory) == []
    directory.note_leaving(_server("i-1", born=1), now=2.0, unix_ms=2)
    directory.put(_server("i-1", born=2))
    assert _names(directory) == []
    directory.put(_server("i-1", born=3))
    assert _names(directory) == ["i-1"]


def test_announcement_holds_for_an_instance_that_is_listed_after_it():
    """Guards against dropping what an instance says that is not listed yet."""
    directory = directories.Directory()
    directory.put(_server("i-1", born=1000))
    directory.note_leaving(_server("i-1", born=1000), now=1.0, unix_ms=3000)
    directory.put(_server("i-1", born=2000))
    assert _names(directory) == []
    directory.put(_server("i-1", born=3001))
    assert _names(directory) == ["i-1"]
