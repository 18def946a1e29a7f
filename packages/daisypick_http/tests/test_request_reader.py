"""A caller's bytes must not become part of another request."""

import tracemalloc

import pytest

from daisypick_http import request_reader


def _read(*pieces, header_bytes=2000, body_bytes=100):
    reader = request_reader.RequestReader(
        header_bytes=header_bytes, body_bytes=body_bytes
    )
    for piece in pieces:
        reader.feed(piece, 1.0)
    return reader


_HEAD = b"POST /a/ HTTP/1.1\r\nHost: h\r\n"


def test_body_is_the_same_by_length_and_by_chunks():
    by_length = _read(_HEAD + b"Content-Length: 4\r\n\r\nbody")
    by_chunks = _read(
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n",
    )
    assert by_length.requests[0].body == by_chunks.requests[0].body == b"body"


def test_request_is_released_only_when_complete():
    reader = _read(_HEAD + b"Content-Length: 4\r\n\r\nbod")
    assert reader.requests == []
    reader.feed(b"y", 2.0)
    assert len(reader.requests) == 1


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"Content-Length : 4\r\n",
        b"Host: other\r\n",
    ],
)
def test_ambiguous_framing_or_hosts_are_rejected(lines):
    """Guards against request smuggling: parsers may frame them differently."""
    reader = _read(_HEAD + lines + b"\r\nGET /b/ HTTP/1.1\r\nHost: h\r\n\r\n")
    assert reader.requests == []
    assert reader.refusal.status == 400


def test_requests_over_a_limit_are_rejected_with_its_status():
    big_head = _read(_HEAD + b"X: " + b"x" * 3000)
    assert big_head.refusal.status == 431
    declared = _read(_HEAD + b"Content-Length: 101\r\n\r\n")
    assert declared.refusal.status == 413
    chunked = _read(
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"65\r\n" + b"x" * 101 + b"\r\n",
    )
    assert chunked.refusal.status == 413


def test_pipelined_requests_are_read_in_order():
    one = b"GET /%d/ HTTP/1.1\r\nHost: h\r\n\r\n"
    reader = _read(one % 1 + one % 2)
    assert [found.target for found in reader.requests] == [b"/1/", b"/2/"]


@pytest.mark.parametrize("pieces", [1, 2, 7])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("body", [b"", b"four"])
def test_offer_to_upgrade_is_declined_by_the_usual_response(
    body, chunked, pieces
):
    """Guards against a second response, which the next request gets (MIXED)."""
    framed = b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    if chunked:
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        framed = b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
    offer = (
        b"POST /a/ HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, X\r\n"
        b"Upgrade: h2c\r\nX: AA\r\n" + framed
    )
    data = (offer + b"GET /b/ HTTP/1.1\r\nHost: h\r\n\r\n") * 2
    size = -(-len(data) // pieces)
    reader = _read(*(data[at : at + size] for at in range(0, len(data), size)))
    assert reader.refusal is None
    found = [(request.target, request.body) for request in reader.requests]
    assert found == [(b"/a/", body), (b"/b/", b"")] * 2
    assert all(request.keep_alive for request in reader.requests)


@pytest.mark.parametrize(
    ("lines", "status"),
    [
        (b"Host: other\r\n", 400),
        (b"Content-Length: 101\r\n", 413),
        (b"X: " + b"x" * 3000 + b"\r\n", 431),
    ],
)
def test_offer_to_upgrade_does_not_avoid_the_limits(lines, status):
    """Guards against requests that are not validated."""
    offer = b"Connection: upgrade\r\nUpgrade: websocket\r\n"
    reader = _read(_HEAD + offer + lines + b"\r\n")
    assert (reader.requests, reader.refusal.status) == ([], status)


def test_tunnel_is_rejected_and_not_released():
    """Guards against a request that is both run and refused."""
    reader = _read(b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1")
    assert reader.requests == []
    assert reader.refusal.status == 400


_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"


def test_trailers_are_no_headers():
    """Guards against a header that is added behind a body, past the checks."""
    reader = _read(_CHUNKED + b"0\r\n", b"X-Api-Key: k\r\nHost: b\r\n", b"\r\n")
    (request,) = reader.requests
    assert [name for name, _ in request.headers] == [
        b"Host",
        b"Transfer-Encoding",
    ]


@pytest.mark.parametrize(
    "piece",
    [b"X: " + b"y" * 90 + b"\r\n", b"X" * 100],
    ids=["trailers", "one_trailer"],
)
def test_trailers_without_end_are_refused(piece):
    """Guards against memory that the end of a body may take without a limit."""
    reader = _read(_CHUNKED + b"0\r\n", *([piece] * 25))
    assert (reader.requests, reader.refusal.status) == ([], 431)


def test_extensions_of_chunks_without_end_are_refused():
    """Guards against a body that never grows and never ends."""
    extension = b"1;" + b"e" * 100 + b"\r\na\r\n"
    reader = _read(_CHUNKED, *([extension] * 40))
    assert reader.refusal.status == 431


def test_body_in_chunks_of_one_byte_is_read():
    """Guards against a refusal of a body that is sent slowly."""
    reader = _read(_CHUNKED, *([b"1\r\na\r\n"] * 99), b"0\r\n\r\n")
    (request,) = reader.requests
    assert request.body == b"a" * 100


_CHUNKED_HEAD = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_TINY = b"GET / HTTP/1.1\r\nHost:h\r\n\r\n"


def _feed_all(data, piece, reader=None):
    reader = reader or request_reader.RequestReader(
        header_bytes=16_384, body_bytes=1 << 20
    )
    for at in range(0, len(data), piece):
        reader.feed(data[at : at + piece], 1.0)
        while reader.has_unparsed:
            reader.resume()
    return reader


@pytest.mark.parametrize("piece", [65_536, 700])
@pytest.mark.parametrize(
    "data",
    [
        _HEAD + b"a:\r\n" * 3500,
        _HEAD + b"n:" + b"v" * 14_000,
        _HEAD + b"Content-Length: 9\r\n" + b"ab:c\r\n" * 2300 + b"\r\n12345678",
        _CHUNKED_HEAD + b"1\r\nx\r\n" * 100_000,
        _CHUNKED_HEAD + b"2\r\nxx\r\n" * 100_000,
        _CHUNKED_HEAD + (b"ea60\r\n" + b"x" * 60_000 + b"\r\n") * 15,
        _HEAD + b"Content-Length: 900001\r\n\r\n" + b"x" * 900_000,
        _TINY * 2000,
    ],
)
def test_count_follows_what_is_kept(data, piece):
    """Guards against bytes that take more memory than is counted for them."""
    tracemalloc.start()
    try:
        reader = _feed_all(data, piece)
        kept, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert reader.refusal is None
    assert kept < 1.3 * reader.held_bytes + 16_384


def test_refused_request_is_dropped_at_once():
    """Guards against memory of refused requests while callers stay."""
    for data in (_CHUNKED_HEAD + b"x", _HEAD + b"a:\r\n" * 5000):
        assert _feed_all(data, 700).held_bytes < 2048
    reader = _read(_CHUNKED_HEAD, b"4\r\nbody\r\n")
    reader.refuse(request_reader.Refusal(status=408, reason="slow"))
    reader.feed(b"4\r\nbody\r\n", 2.0)
    assert reader.held_bytes < 2048


def test_head_of_short_lines_is_accepted_up_to_the_limit():
    """Guards against bytes that are counted though they were not sent."""
    head = _HEAD + b"a:\r\n" * ((16_384 - len(_HEAD) - 2) // 4) + b"\r\n"
    assert _feed_all(head, 65_536).refusal is None
    assert _feed_all(head, 700).refusal is None


def test_trailers_are_bounded_like_a_head():
    """Guards against a trailer that the parser keeps until it is complete."""
    reader = _feed_all(_CHUNKED_HEAD + b"4\r\nbody\r\n" * 5000, 65_536)
    reader.feed(b"0\r\nt: ", 1.0)
    for _ in range(20):
        reader.feed(b"v" * 1000, 1.0)
    assert reader.refusal.status == 431


def test_pipelined_requests_are_parsed_as_they_are_taken():
    """Guards against thousands of requests that are parsed in advance."""
    reader = request_reader.RequestReader(header_bytes=2000, body_bytes=100)
    data = b"".join(
        b"GET /%d HTTP/1.1\r\nHost:h\r\n\r\n" % number for number in range(1500)
    )
    reader.feed(data, 1.0)
    found = []
    while reader.requests:
        assert len(reader.requests) < 100
        found.append(int(reader.take().target[1:]))
        while reader.has_unparsed:
            reader.resume()
    assert found == list(range(1500))


def test_work_of_one_step_is_bounded():
    """Guards against 64 KB that keep the event loop busy."""
    reader = request_reader.RequestReader(
        header_bytes=16_384, body_bytes=1 << 20
    )
    reader.feed(_CHUNKED_HEAD, 1.0)
    reader.feed(b"1\r\nx\r\n" * 10_000, 1.0)
    assert reader.body_bytes < 1000
    while reader.has_unparsed:
        before = reader.body_bytes
        reader.resume()
        assert 0 < reader.body_bytes - before < 1000
    assert reader.body_bytes == 10_000
