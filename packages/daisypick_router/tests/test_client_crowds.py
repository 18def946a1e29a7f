"""Crowds of clients that send requests of legal size in unusual shapes."""

import crowds
import fakes
import gevent
import pytest

_MISSING_BYTE = 1
_CHUNKED = b"Transfer-Encoding: chunked"
_MAX_FILES = 4096


def _check(result):
    assert result.lives
    assert result.peak_mb < crowds.MEMORY_MB
    assert result.peak_files < _MAX_FILES
    assert result.after == 200
    assert 200 in result.beside


def _write_body(size, *lines, key=fakes.KEY):
    """Return a request whose body lacks a byte."""
    length = b"Content-Length: %d" % size
    head = crowds.write_head(length, *lines, key=key)
    return head + b"\r\n" + b"x" * (size - _MISSING_BYTE)


def _write_chunked(size, chunk, *, rest=b"", lines=(), key=fakes.KEY):
    head = crowds.write_head(_CHUNKED, *lines, key=key)
    return head + b"\r\n" + crowds.write_chunks(size, chunk) + rest


_HEADS = {
    "empty_lines": crowds.fill_head(b"a:"),
    "short_lines": crowds.fill_head(b"ab:c"),
    "odd_lines": crowds.fill_head(b"A1!#$: \t, ;=~"),
    "distinct_lines": b"".join(b"n%d:%d\r\n" % (n, n) for n in range(1200)),
    "one_long_name": b"n" * 14_000 + b":v\r\n",
    "one_long_value": b"n:" + b"v" * 14_000 + b"\r\n",
}


@pytest.mark.parametrize("piece", [65_536, 700])
@pytest.mark.parametrize("lines", _HEADS)
def test_heads_that_stay_incomplete_are_bounded(lines, piece):
    """Guards against header lines that take many times what was sent."""
    head = crowds.write_head() + _HEADS[lines]
    crowd = crowds.Crowd(600, lambda number: head, piece)
    _check(crowds.play(crowd))


@pytest.mark.parametrize("key", [fakes.KEY, "unknown-{}", "key-{}"])
def test_heads_kept_while_their_bodies_arrive_are_bounded(key):
    """Guards against small bodies whose heads no limit counts."""
    lines = _HEADS["empty_lines"].removesuffix(b"\r\n")
    crowd = crowds.Crowd(
        800,
        lambda number: _write_body(900, lines, key=key.format(number % 64)),
    )
    _check(crowds.play(crowd))


@pytest.mark.parametrize("pressure", [False, True])
@pytest.mark.parametrize("chunk", [1, 2, 17, 700])
def test_bodies_in_tiny_chunks_are_bounded(chunk, pressure):
    """Guards against chunks each of which is kept as an object."""
    sent = _write_chunked(min(chunk * 250_000, 2_000_000), chunk)
    crowd = crowds.Crowd(60, lambda number: sent)
    _check(crowds.play(crowd, pressure=pressure))


@pytest.mark.parametrize("pressure", [False, True])
@pytest.mark.parametrize("piece", [65_536, 700])
def test_bodies_in_large_chunks_are_bounded(piece, pressure):
    """Guards against bodies admitted by what is held as they begin."""
    sent = _write_chunked(crowds.BODY_BYTES, 60_000)
    crowd = crowds.Crowd(100, lambda number: sent, piece)
    _check(crowds.play(crowd, pressure=pressure))


def test_chunk_extensions_and_trailers_are_bounded():
    """Guards against framing that the parser keeps until it is complete."""
    trailer = b"0\r\nt: " + b"v" * 3_000_000
    sent = _write_chunked(400_000, 4_000, rest=trailer)
    crowd = crowds.Crowd(60, lambda number: sent)
    _check(crowds.play(crowd))


@pytest.mark.parametrize("pressure", [False, True])
@pytest.mark.parametrize("piece", [65_536, 700])
@pytest.mark.parametrize("key", [fakes.KEY, "unknown-{}", "key-{}"])
def test_large_bodies_of_known_length_are_bounded(key, piece, pressure):
    """Guards against bodies that were admitted together and all go on."""
    length = b"Content-Length: %d" % crowds.BODY_BYTES

    def _write(number):
        return crowds.write_head(length, key=key.format(number % 64)) + b"\r\n"

    body = b"x" * (crowds.BODY_BYTES - _MISSING_BYTE)
    crowd = crowds.Crowd(100, _write, piece, body)
    _check(crowds.play(crowd, pressure=pressure))


def _answer_late(server, connection, first, headers, body):
    if b"/small" not in first:
        gevent.sleep(4.0)
    fakes.answer_ok(server, connection, first, headers, body)


def test_whole_bodies_at_slow_servers_are_bounded():
    """Guards against requests that are kept for another try."""
    body = b"x" * crowds.BODY_BYTES
    length = b"Content-Length: %d" % len(body)
    sent = crowds.write_head(length) + b"\r\n" + body
    crowd = crowds.Crowd(100, lambda number: sent)
    _check(crowds.play(crowd, script=_answer_late))


def test_whole_heads_at_slow_servers_are_bounded():
    """Guards against the heads of running requests."""
    length = b"Content-Length: 0"
    head = crowds.write_head(length) + _HEADS["empty_lines"] + b"\r\n"
    crowd = crowds.Crowd(800, lambda number: head)
    _check(crowds.play(crowd, script=_answer_late))


def test_pipelined_requests_are_bounded():
    """Guards against requests that wait behind a running one."""
    small = fakes.write_request("/look/1", method="GET", patience="9000")
    tiny = f"GET /a HTTP/1.1\r\nHost:{fakes.HOST}\r\n\r\n".encode()
    sent = small + tiny * (1_000_000 // len(tiny))
    crowd = crowds.Crowd(300, lambda number: sent)
    _check(crowds.play(crowd, script=_answer_late))


def test_prompts_of_many_parts_are_bounded():
    """Guards against parts of prompts that a request may name freely."""

    def _write(number):
        parts = b",".join(b"%d-%d" % (number, n) for n in range(1600))
        head = crowds.write_head(
            b"Daisypick-Model: m",
            b"Daisypick-Prompt-Prefix: " + parts,
            b"Content-Length: 0",
            path="/ask/1",
        )
        return head + b"\r\n"

    crowd = crowds.Crowd(800, _write)
    result = crowds.play(
        crowd, script=_answer_late, services=("desk", "assist")
    )
    _check(result)


def test_ids_of_the_largest_size_are_bounded():
    """Guards against ids and hosts that are kept in log lines and records."""
    value = b"i" * 7_000
    head = crowds.write_head(
        b"Daisypick-Model: " + value,
        b"Daisypick-Attempt-Id: " + value,
        b"Content-Length: 0",
    )
    unrouted = head.replace(fakes.HOST.encode(), value[:1000])
    crowd = crowds.Crowd(
        800,
        lambda number: (unrouted + b"\r\n") if number % 2 else head + b"\r\n",
    )
    _check(crowds.play(crowd, script=_answer_late))


def test_connections_that_send_nothing_leave_descriptors():
    """Guards against clients that take all descriptors."""
    crowd = crowds.Crowd(4_400, lambda number: b"")
    _check(crowds.play(crowd))


def test_started_heads_leave_descriptors():
    """Guards against clients that begin a request and take all descriptors."""
    head = crowds.write_head()
    crowd = crowds.Crowd(4_400, lambda number: head)
    _check(crowds.play(crowd))


def test_started_bodies_leave_descriptors():
    """Guards against clients that begin a body and take all descriptors."""
    crowd = crowds.Crowd(
        4_400, lambda number: _write_body(900, key=f"key-{number % 64}")
    )
    _check(crowds.play(crowd))


_LARGEST = {
    "by_length": crowds.write_head(b"Content-Length: %d" % crowds.BODY_BYTES)
    + b"\r\n"
    + b"x" * crowds.BODY_BYTES,
    **{
        f"chunks_of_{chunk}": _write_chunked(
            crowds.BODY_BYTES, chunk, rest=b"0\r\n\r\n"
        )
        for chunk in (1, 2, 4096, crowds.BODY_BYTES)
    },
    **{
        f"head_of_{name}": crowds.write_head(b"Content-Length: 0")
        + lines
        + b"\r\n"
        for name, lines in _HEADS.items()
    },
}


@pytest.mark.parametrize("piece", [65_536, 700])
@pytest.mark.parametrize("shape", _LARGEST)
def test_largest_request_is_served_in_calm_twice(shape, piece):
    """Guards against limits that a single legal request meets."""
    store = crowds.make_store()
    manifest = dict(store.objects["config"]["main"]["Spec"])
    manifest["Limits"] = {**manifest["Limits"], "HeaderTimeoutMs": 60_000}
    for route in manifest["Routes"]:
        route["TimeoutMs"] = 60_000
    store.put("config", "main", manifest)
    server = fakes.FakeServer("d-1", "desk", fakes.answer_ok)
    store.put("servers", "d-1", server.describe())
    request = _LARGEST[shape].replace(b"9000", b"60000", 1)
    with crowds.run_router(store) as (address, pid):
        for _ in range(2):
            assert crowds.send_in_pieces(address, request, piece) == 200
        assert crowds.find_peak_resident_mb(pid) < crowds.MEMORY_MB
    store.server.stop()
    server.server.stop()
