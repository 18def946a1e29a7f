"""Servers that leave or ask for a pause in their responses."""

import itertools

import fakes
import gevent
import pytest

# Requests that reached a server this long after a notice count as later ones.
_DRAIN_SECONDS = 2.0
_PAUSE_SECONDS = 2.0
_PAUSE_GRACE_SECONDS = 0.5
_MAX_DURING_PAUSE = 2
_PATH_BY_SERVICE = {"desk": "/look/1", "assist": "/visit/1"}


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


class _Server(fakes.FakeServer):
    """A server that may leave, or reject requests and ask for a pause.

    Attributes:
        leaving: Whether it says so in each response.
        pause: Seconds for which its next rejection asks for a pause, zero if
            it rejects nothing. Afterwards it serves what arrives.
        noticed_at: When it first said either.
    """

    def __init__(self, name, service):
        super().__init__(name, service, _run)
        self.leaving = False
        self.pause = 0.0
        self.noticed_at = None

    def count_later_than(self, seconds):
        """Return the requests that arrived this long after the notice."""
        due = self.noticed_at + seconds
        return sum(at > due for at in self.times)


def _run(server, connection, first, headers, body):
    common = {"Daisypick-Attempt-Id": headers["daisypick-attempt-id"]}
    if server.leaving:
        common["Server-Leaving"] = "1"
    if server.noticed_at is None and (server.leaving or server.pause):
        server.noticed_at = server.times[-1]
    if server.pause:
        common["Daisypick-Not-Executed"] = "1"
        common["Retry-After"] = f"{server.pause:g}"
        server.pause = 0.0
        connection.sendall(fakes.write_answer(503, common, b""))
        return
    common["Daisypick-Server-Seal"] = f"seal-{server.name}"
    if server.service == "assist":
        common["Content-Type"] = "text/event-stream"
        body = b"id: 1\ndata: piece 1\n\n"
    connection.sendall(fakes.write_answer(200, common, body or b"body"))


_attempts = itertools.count()


def _call(router, service):
    path = _PATH_BY_SERVICE[service]
    method = "GET" if service == "desk" else "POST"
    number = next(_attempts)
    # A prompt of its own each time, so that no server is preferred for it.
    return fakes.call(
        router,
        path,
        attempt=f"a-{number}",
        method=method,
        Daisypick_Prompt_Prefix=f"{number:x}:100",
    )


def _start(store, service, count=2):
    servers = [_Server(f"i-{number}", service) for number in range(count)]
    for server in servers:
        store.put("servers", server.name, server.describe())
    return servers, fakes.start_router(store)


def _call_for(router, service, seconds):
    """Make requests for some time; return the responses."""
    answers = []
    with gevent.Timeout(seconds, False):
        while True:
            answers.append(_call(router, service))
            gevent.sleep(0.02)
    return answers


@pytest.mark.parametrize("service", ["desk", "assist"])
def test_server_that_leaves_gets_nothing_while_the_store_is_away(
    store, service
):
    """Guards against sending to a server of which only its answers say so."""
    (leaving, staying), router = _start(store, service)
    store.refuse()
    leaving.leaving = True
    answers = _call_for(router, service, _DRAIN_SECONDS + 0.5)
    assert leaving.noticed_at is not None
    assert leaving.count_later_than(_DRAIN_SECONDS) == 0
    assert staying.requests
    assert {answer.status for answer in answers} == {200}


def test_waiting_request_does_not_start_at_a_server_that_leaves(store):
    """Guards against a start that the host decided before the notice."""
    (first, second), router = _start(store, "assist")
    acquire = router.placing.acquire

    def _acquire(service, work):
        action = acquire(service, work)
        server = router.discovery.directory.server_by_name[action.server]
        if not chosen:
            chosen.append(action.server)
            router.discovery.note_leaving(server)
        return action

    chosen = []
    router.placing.acquire = _acquire
    assert _call(router, "assist").status == 200
    by_name = {first.name: first, second.name: second}
    assert by_name[chosen[0]].requests == []


def test_all_servers_leaving_is_refused_at_once(store):
    """Guards against holding requests that no server takes any more."""
    servers, router = _start(store, "assist")
    for server in servers:
        server.leaving = True
    _call_for(router, "assist", 0.3)
    answer = _call(router, "assist")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0.0


@pytest.mark.parametrize("service", ["desk", "assist"])
def test_server_that_asks_for_a_pause_gets_it(store, service):
    """Guards against load on a server that has asked for none for a while."""
    (full, free), router = _start(store, service)
    full.pause = _PAUSE_SECONDS
    answers = _call_for(router, service, _PAUSE_SECONDS)
    later = full.count_later_than(_PAUSE_GRACE_SECONDS)
    after_pause = full.count_later_than(_PAUSE_SECONDS)
    assert later - after_pause <= _MAX_DURING_PAUSE
    assert free.requests
    assert {answer.status for answer in answers} == {200}


def test_pause_of_all_servers_is_refused_at_once(store):
    """Guards against holding requests until their deadline in a pause."""
    servers, router = _start(store, "desk")
    for server in servers:
        server.pause = _PAUSE_SECONDS
    while not all(server.times for server in servers):
        _call(router, "desk")
    answer = _call(router, "desk")
    assert answer.status == 503
    assert 0.0 < float(answer.headers["retry-after"]) <= _PAUSE_SECONDS


def test_server_gets_requests_again_after_its_pause(store):
    """Guards against a pause that never ends."""
    (server,), router = _start(store, "assist", 1)
    server.pause = 0.3
    answer = _call(router, "assist")
    assert answer.status == 503
    assert 0.2 < float(answer.headers["retry-after"]) <= 0.3
    fakes.wait_for(lambda: _call(router, "assist").status == 200)
    assert server.times[1] >= server.times[0] + 0.3


def test_notice_of_another_server_at_the_address_is_ignored(store):
    """Guards against blaming a server for the one that uses its address now."""

    def _misdirect(server, connection, first, headers, body):
        common = {
            "Daisypick-Attempt-Id": headers["daisypick-attempt-id"],
            "Server-Leaving": "1",
        }
        connection.sendall(fakes.write_answer(421, common, b""))

    moved = fakes.FakeServer("i-1", "desk", _misdirect)
    store.put("servers", moved.name, moved.describe())
    router = fakes.start_router(store)
    _call(router, "desk")
    assert moved.requests
    (server,) = router.discovery.directory.find_ready("desk")
    assert not router.discovery.directory.is_leaving(server)
