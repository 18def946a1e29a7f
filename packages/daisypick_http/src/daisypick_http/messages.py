r"""Requests and responses as values, and their serialisation.

Header names are kept as received; ``find_header`` compares them
case-insensitively.

Examples:
    >>> headers = ((b"Host", b"a.example"), (b"X-Key", b"k"))
    >>> find_header(headers, b"x-key")
    b'k'
    >>> write_request(method=b"GET", target=b"/a/", headers=headers, body=b"")
    b'GET /a/ HTTP/1.1\r\nHost: a.example\r\nX-Key: k\r\n\r\n'
"""

from collections.abc import Iterable
import typing

from daisypick_http import bodies
from daisypick_http import header_block

Headers = tuple[tuple[bytes, bytes], ...] | header_block.HeaderBlock

# Hop-by-hop headers (RFC 9110, section 7.6.1), and the headers of the framing,
# which each side sets for its own connection.
HOP_BY_HOP_NAMES = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

_REASON_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class RequestHead(typing.NamedTuple):
    """The head of a request whose body has not arrived.

    Attributes:
        method: Method as received.
        target: Path and query as received.
        headers: Headers as received, in their order.
    """

    method: bytes
    target: bytes
    headers: Headers


class Request(typing.NamedTuple):
    """A complete request of a caller.

    Attributes:
        method: Method as received.
        target: Path and query as received.
        headers: Headers as received, in their order.
        body: Complete body without its transfer coding.
        keep_alive: Whether the caller wants to keep the connection open.
        began_at: Monotonic time in seconds at which its first byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bodies.Body
    keep_alive: bool
    began_at: float


class ResponseHead(typing.NamedTuple):
    """Status code and headers of a response."""

    status: int
    headers: Headers


def find_header(headers: Headers, lower_name: bytes) -> bytes | None:
    """Return the first value of a header, or ``None``."""
    if isinstance(headers, header_block.HeaderBlock):
        return headers.find(lower_name)
    for name, value in headers:
        if name.lower() == lower_name:
            return value
    return None


def has_body(method: bytes, status: int) -> bool:
    """Return whether a response has a body, whatever its headers say.

    Source: RFC 9112, section 6.3.

    Examples:
        >>> has_body(b"HEAD", 200), has_body(b"GET", 204), has_body(b"GET", 200)
        (False, False, True)
    """
    return method != b"HEAD" and status >= 200 and status not in (204, 304)


def drop_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers that may be forwarded to another connection.

    Headers listed in ``Connection`` are hop-by-hop too.
    """
    pairs = list(headers)
    dropped = set(HOP_BY_HOP_NAMES)
    for name, value in pairs:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def _write_lines(
    first: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> list[bytes]:
    lines = [first]
    lines.extend(b"%b: %b" % (name, value) for name, value in headers)
    return lines


def write_request(
    *,
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Return the bytes of a request, framed by ``Content-Length``."""
    head = write_request_head(
        method=method, target=target, headers=headers, length=len(body)
    )
    return head + body


def write_request_head(
    *,
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    length: int,
) -> bytes:
    """Return the bytes of a request's head, with the length of its body."""
    lines = _write_lines(b"%b %b HTTP/1.1" % (method, target), headers)
    if length or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def write_head(*, status: int, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the bytes of a status line and headers."""
    reason = _REASON_BY_STATUS.get(status, b"Status")
    lines = _write_lines(b"HTTP/1.1 %d %b" % (status, reason), headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def write_chunk(data: bytes) -> bytes:
    """Return the bytes of one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
