"""Servers that read slowly or have little memory."""

import fakes
import gevent
import pytest
import slow_peers

_BODY = 400_000


@pytest.fixture
def store():
    found = slow_peers.make_store()
    yield found
    found.server.stop()


class _SmallServer:
    """A server that crashes when the bodies in it exceed its memory."""

    def __init__(self, store, name, memory):
        self.store = store
        self.memory = memory
        self.held = 0
        self.crashes = 0
        self.server = fakes.FakeServer(name, "desk", self._answer)

    def _answer(self, server, connection, first, headers, body):
        self.held += len(body)
        if self.held > self.memory:
            self.crashes += 1
            self.held = 0
            server.crash()
            gevent.spawn_later(0.2, server.restart, server.name)
            return "close"
        gevent.sleep(0.1)
        self.held = max(self.held - len(body), 0)
        fakes.answer_ok(server, connection, first, headers, body)
        return None


def _send(router, attempt, size=_BODY):
    head = fakes.write_request("/reserve/1", attempt=attempt).replace(
        b"Content-Length: 4\r\n\r\nbody",
        b"Content-Length: %d\r\n\r\n" % size,
    )
    with fakes.connect(router) as caller:
        caller.sendall(head + attempt.encode().ljust(size))
        return fakes.read_answer(caller).status


def test_server_that_rejects_a_large_body_early_has_not_run_it(store):
    """Guards against an unsafe request that is lost to an early rejection."""

    def _reject(server, connection, first, headers, body):
        connection.sendall(
            fakes.write_answer(
                503,
                {
                    "Daisypick-Attempt-Id": headers["daisypick-attempt-id"],
                    "Daisypick-Not-Executed": "1",
                    "Connection": "close",
                },
                b"",
            )
        )
        # The rest of the body is not read.
        gevent.sleep(2.0)
        return "close"

    early = fakes.FakeServer("d-1", "desk", _reject)
    early.reads_bodies = False
    other = fakes.FakeServer("d-2", "desk", fakes.answer_ok)
    for server in (early, other):
        store.put("servers", server.name, server.describe(Slots=64))
    router = fakes.start_router(
        store, memory_bytes=200_000_000, slow_peers=True
    )
    for number in range(6):
        assert _send(router, f"a-{number}", 12_000_000) == 200
    assert early.requests


def test_server_that_crashed_with_much_in_flight_gets_less(store):
    """Guards against a server that is overrun after each restart.

    Its memory holds five bodies; ten callers send one after the other. None
    of the requests is to blame.
    """
    small = _SmallServer(store, "d-1", 5 * _BODY)
    store.put("servers", "d-1", small.server.describe(Slots=64))
    router = fakes.start_router(
        store, memory_bytes=200_000_000, slow_peers=True
    )

    def _call(number):
        statuses = []
        for turn in range(12):
            statuses.append(_send(router, f"a-{number}-{turn}"))
            if statuses[-1] != 200:
                gevent.sleep(0.2)
        return statuses

    callers = [gevent.spawn(_call, number) for number in range(10)]
    gevent.joinall(callers)
    statuses = [status for caller in callers for status in caller.value]
    assert small.crashes <= 2
    assert statuses.count(200) >= 30
    assert set(statuses) <= {200, 502, 503}
    assert len(router.quarantine.ledger) == 0
