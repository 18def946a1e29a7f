"""Caller connections and file descriptors of one router, with stand-ins."""

import time

import descriptors
import fakes
import gevent
import pytest

from daisypick_http import server as http_server


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


def _serve(store, *servers, most_files=4096):
    for server in servers:
        store.put("servers", server.name, server.describe())
    router = fakes.make_router(store, most_files=most_files)
    router.start()
    fakes.wait_for(lambda: router.is_ready)
    return router


def _desk(script, name="d-1"):
    return fakes.FakeServer(name, "desk", script)


def _assist(script, name="e-1"):
    return fakes.FakeServer(name, "assist", script)


def _hang(server, connection, first, headers, body):
    gevent.sleep(10.0)


def _note_unanswered(router):
    """Return a list that collects log lines of requests without a response."""
    lines = []
    write = router.log.write

    def _write(part, text, **fields):
        if part == "connection":
            lines.append(fields)
        write(part, text, **fields)

    router.log.write = _write
    return lines


def test_request_whose_stream_is_cut_is_logged(store):
    """Guards against truncated responses that are not logged (LOST)."""

    def _break_off(server, connection, first, headers, body):
        fakes.begin_stream(server, connection, headers)
        fakes.send_events(connection, [1])
        return "close"

    router = _serve(store, _assist(_break_off))
    lines = _note_unanswered(router)
    assert not fakes.call(router, "/ask/1").whole
    (line,) = lines
    assert line["id"] == "a-1"
    assert line["stage"] == "streaming"
    assert line["reason"] == "connection ended within the answer"
    assert line["servers"] == ["e-1"]


def test_requests_that_end_with_the_process_are_logged(store):
    """Guards against requests ended by a stop that are not logged (LOST)."""
    router = _serve(store, _assist(_hang))
    lines = _note_unanswered(router)
    with fakes.connect(router) as caller:
        caller.sendall(fakes.write_request("/ask/1", patience="9000"))
        fakes.wait_for(lambda: router.serving.running == 1)
        gevent.sleep(0.05)
        router.serving.note_stopped()
        (line,) = lines
        assert (line["id"], line["stage"]) == ("a-1", "sent")
        assert line["reason"] == "the process stops"


def test_request_that_never_began_is_logged(store):
    """Guards against unlogged requests dropped with their connection."""
    router = _serve(store, _desk(fakes.answer_ok))
    lines = _note_unanswered(router)
    router._intake.add = lambda handler, request: None
    with fakes.connect(router) as caller:
        caller.sendall(fakes.write_request("/look/1"))
        gevent.sleep(0.05)
    fakes.wait_for(lambda: lines)
    (line,) = lines
    assert (line["id"], line["stage"]) == ("a-1", "unhandled")
    assert line["reason"] == "closed by the caller"


@pytest.mark.parametrize("path", ["/look/1", "/reserve/1", "/ask/1"])
def test_request_is_refused_when_descriptors_run_out(store, path):
    """Guards against connections closed for lack of descriptors (LOST)."""
    desk, engine = _desk(fakes.answer_ok), _assist(fakes.stream_five)
    router = _serve(store, desk, engine)
    with fakes.connect(router) as caller:
        fakes.wait_for(lambda: router._connections)
        with descriptors.exhaust():
            caller.sendall(fakes.write_request(path))
            answer = fakes.read_answer(caller)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0.0
            assert b'"ran": "no"' in answer.body
        assert desk.requests == engine.requests == []
        caller.sendall(fakes.write_request(path, attempt="a-2"))
        assert fakes.read_answer(caller).status == 200


def test_idle_connections_do_not_take_all_descriptors(store):
    """Guards against idle connections that lock out new callers.

    Callers open a connection for each request and leave it idle. When their
    fraction of the file descriptors is used up, the connections idle for the
    longest time are closed.
    """
    router = _serve(store, _desk(fakes.answer_ok), most_files=100)
    idle = []
    for number in range(60):
        connection = fakes.connect(router)
        connection.sendall(
            fakes.write_request("/look/1", attempt=f"a-{number}")
        )
        assert fakes.read_answer(connection).served
        idle.append(connection)
    closed = 0
    for connection in idle[:10]:
        with gevent.Timeout(1.0, False):
            closed += connection.recv(1) == b""
    assert closed == 10
    idle[-1].sendall(fakes.write_request("/look/1", attempt="a-99"))
    assert fakes.read_answer(idle[-1]).served


def test_cost_of_accepting_does_not_grow_with_open_connections(
    store, monkeypatch
):
    """Guards against a VM that only searches for idle connections (FAIR)."""
    checked = []
    is_idle = http_server.CallerConnection.is_idle.fget

    def _count(connection):
        checked.append(connection)
        return is_idle(connection)

    monkeypatch.setattr(
        http_server.CallerConnection, "is_idle", property(_count)
    )
    manifest = fakes.make_manifest()
    manifest["Limits"]["HeaderTimeoutMs"] = 10_000
    store.put("config", "main", manifest)
    router = _serve(store, _desk(fakes.answer_ok), most_files=100)
    half = fakes.write_request("/look/1")[:-4]
    callers = []
    for _ in range(90):
        callers.append(fakes.connect(router))
        callers[-1].sendall(half)
    fakes.wait_for(lambda: len(router._connections) == len(callers))
    checked.clear()
    late = [fakes.connect(router) for _ in range(10)]
    fakes.wait_for(lambda: checked)
    gevent.sleep(0.1)
    assert len(checked) <= 16 * len(late)


def test_ended_connection_is_removed(store):
    """Guards against a memory leak when callers disconnect early."""
    router = _serve(store, _assist(_hang))
    with fakes.connect(router) as caller:
        caller.sendall(fakes.write_request("/ask/1"))
        fakes.wait_for(lambda: router.serving.running == 1)
    fakes.wait_for(lambda: not router._connections)
    gevent.sleep(0.05)
    assert len(router._idle) == 0


def test_idle_connection_with_an_unread_request_is_not_closed(store):
    """Guards against closing a connection that holds an unread request.

    The router is busy and reads late when it runs out of file descriptors, and
    a caller has already sent its next request on an idle connection. The next
    idle connection is closed instead.
    """
    router = _serve(store, _desk(fakes.answer_ok), most_files=100)
    idle = []
    for number in range(44):
        connection = fakes.connect(router)
        connection.sendall(
            fakes.write_request("/look/1", attempt=f"a-{number}")
        )
        assert fakes.read_answer(connection).served
        idle.append(connection)
    # No greenlet switch between the request and the check of idle connections,
    # as on a VM that was busy with something else.
    plain = idle[0]._sock
    plain.sendall(fakes.write_request("/look/1", attempt="a-98"))
    time.sleep(0.05)
    router._close_idle()
    assert fakes.read_answer(idle[0]).served
    with gevent.Timeout(1.0):
        assert idle[1].recv(1) == b""
