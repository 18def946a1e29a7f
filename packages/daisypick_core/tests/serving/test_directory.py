"""Backend servers through the outages of the list that names them."""

from daisypick_core.serving import backend_server
from daisypick_core.serving import directory as directories


def _server(name, **changes):
    words = {
        "service": "s",
        "address": ("10.0.0.1", 80),
        "data_centre": "a",
        "slots": 1,
        "draining": False,
        "cold_until": 0.0,
        "born": 1,
        **changes,
    }
    return backend_server.BackendServer(name=name, **words)


def _names(directory):
    return [server.name for server in directory.find_ready("s")]


def test_entry_that_goes_in_calm_times_is_gone_at_once():
    directory = directories.Directory()
    directory.replace_all([_server("i-1"), _server("i-2")], now=10.0)
    directory.remove("i-1", now=11.0)
    assert _names(directory) == ["i-2"]


def test_entries_that_lapsed_with_the_store_stay_until_they_may_be_back():
    """The store is away for five seconds and forgets every server.

    They live and announce themselves again within two seconds; callers in
    between must not find an empty list.
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


def test_nothing_expires_while_the_store_is_away():
    directory = directories.Directory()
    directory.replace_all([_server("i-1")], now=0.0)
    directory.note_outage(now=1.0)
    directory.remove("i-1", now=2.0)
    assert directory.expire(now=100.0) == []
    assert _names(directory) == ["i-1"]


def test_draining_and_taken_out_servers_get_no_work():
    directory = directories.Directory()
    directory.replace_all(
        [
            _server("i-1", draining=True),
            _server("i-2", data_centre="b"),
            _server("i-3"),
        ],
        now=0.0,
    )
    directory.set_out({"b"}, now=1.0)
    assert _names(directory) == ["i-3"]
    assert directory.find_closed("s") == ["i-1", "i-2"]


def test_servers_of_a_data_centre_that_is_back_are_taken_for_cold():
    """A data centre is taken out and back; its servers have turned cold.

    Their entries say so a second later. Requests that rush back in that
    second would be more than cold servers bear.
    """
    directory = directories.Directory()
    back, other = _server("i-1", data_centre="b"), _server("i-2")
    directory.replace_all([back, other], now=0.0)
    directory.set_out({"b"}, now=1.0)
    directory.set_out((), now=6.0)
    assert directory.find_cold_until(back, 3.0) == 9.0
    assert directory.find_cold_until(other, 3.0) == 0.0
    late = back._replace(cold_until=11.0)
    assert directory.find_cold_until(late, 3.0) == 11.0
