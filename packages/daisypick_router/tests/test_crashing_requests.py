"""Requests that crash each backend server that begins to run them."""

import itertools

import fakes
import gevent
import pytest

# Time in which the fleet must have learned that a request has crashed its
# third server, and how often it may reach servers after that.
_LEARN_SECONDS = 3.0
_MAX_REPEATS = 3
_RESTART_SECONDS = 0.05


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


class _Fleet:
    """Servers of one service that crash on demand and restart soon after.

    Attributes:
        crashes: Number of crashes so far.
        arrivals: Number of requests to crash that reached a server.
    """

    def __init__(self, store, service, count=4):
        self._store = store
        self._numbers = itertools.count(count)
        self.crashes = 0
        self.arrivals = 0
        for number in range(count):
            server = fakes.FakeServer(f"i-{number}", service, self._run)
            store.put("servers", server.name, server.describe())

    def _run(self, server, connection, first, headers, body):
        if b"/crash" in first:
            self.arrivals += 1
            self.crashes += 1
            server.crash()
            gevent.spawn_later(_RESTART_SECONDS, self._restart, server)
            return "close"
        if server.service == "desk":
            gevent.sleep(0.02)
            return fakes.answer_ok(server, connection, first, headers, body)
        fakes.begin_stream(server, connection, headers)
        after = int(headers.get("last-event-id", "0"))
        for number in range(after + 1, 6):
            gevent.sleep(0.02)
            fakes.send_events(connection, [number])
        return fakes.end_stream(connection)

    def _restart(self, server):
        self._store.remove("servers", server.name)
        server.restart(f"i-{next(self._numbers)}")
        self._store.put("servers", server.name, server.describe())


_attempts = itertools.count()


def _call(router, path):
    method = "GET" if path.startswith("/look") else "POST"
    attempt = f"a-{next(_attempts)}"
    return fakes.call(router, path, attempt=attempt, method=method)


def _start_routers(store, names=("r-1", "r-2")):
    routers = [fakes.start_router(store, name) for name in names]
    for router in routers:
        fakes.wait_for(
            lambda known=router: (
                len(known.membership.member_by_name) >= len(names)
            ),
            6.0,
        )
    return routers


def _crash_three(fleet, routers, path):
    """Repeat a request at the routers in turn until three servers ended."""
    turns = itertools.cycle(routers)
    while fleet.crashes < 3:
        _call(next(turns), path)
        gevent.sleep(_RESTART_SECONDS)


def _count_repeats(fleet, routers, path):
    """Return how often a request reaches servers once routers know of it."""
    fakes.wait_for(
        lambda: (
            [_call(router, path).status for router in routers]
            == [503] * len(routers)
        ),
        _LEARN_SECONDS,
    )
    before = fleet.arrivals
    for _ in range(2 * _MAX_REPEATS):
        for router in routers:
            assert _call(router, path).status == 503
    return fleet.arrivals - before


def test_request_that_crashed_three_servers_reaches_no_more(store):
    """Guards against a request that crashes servers at each router in turn."""
    fleet = _Fleet(store, "assist")
    routers = _start_routers(store)
    _crash_three(fleet, routers, "/visit/crash")
    assert _count_repeats(fleet, routers, "/visit/crash") <= _MAX_REPEATS
