"""Typed calls and replies, and handlers by route.

A component of a process has ``handlers()``, which returns a mapping from
``Route`` to handler. A route that ends in ``/`` matches every path below it.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import typing

import gevent.socket
import msgspec

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

JSON = "application/json"
PROBLEM = "application/problem+json"
FRAMES = "application/x-ndjson"
Headers = list[tuple[str, str]]


class Call(typing.NamedTuple):
    """A received HTTP request.

    Attributes:
        method: HTTP method.
        path: Path without the query, not decoded.
        query: The query, without ``?``.
        headers: Headers by lower-case name.
        read_body: Reads the body; a failure if it is too large or slow.
        sock: The socket of the connection.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    read_body: Callable[[], bytes | failure_value.Failure]
    sock: gevent.socket.socket | None


class Reply(typing.NamedTuple):
    """An HTTP response; the body is whole or an iterable of parts."""

    status: int
    headers: Headers
    body: bytes | Iterable[bytes] = b""


class Route(typing.NamedTuple):
    """A method and a path; a path ending in ``/`` is a prefix."""

    method: str
    path: str


Handler = Callable[[Call], Reply]
Routes = Mapping[Route, Handler]


class Problem(typing.TypedDict):
    """Problem details of a refusal (RFC 9457)."""

    type: str
    code: int
    title: str
    detail: str
    ran: str
    request_id: str


def reply_json(value: object, *, status: int = 200) -> Reply:
    """Return a reply with a JSON body."""
    body = msgspec.json.encode(value)
    return Reply(
        status=status,
        headers=[("Content-Type", JSON), ("Content-Length", str(len(body)))],
        body=body,
    )


def problem(failure: failure_value.Failure, *, request_id: str = "") -> Problem:
    """Return the problem details of a failure."""
    return Problem(
        type=f"urn:daisypick:code:{failure.code.number}",
        code=failure.code.number,
        title=failure.code.title,
        detail=failure.reason,
        ran=failure.ran,
        request_id=request_id,
    )


def reply_failure(
    failure: failure_value.Failure, *, request_id: str = ""
) -> Reply:
    """Return the problem response for a failure."""
    body = msgspec.json.encode(problem(failure, request_id=request_id))
    headers = [
        ("Content-Type", PROBLEM),
        ("Content-Length", str(len(body))),
    ]
    if failure.retry_after is not None:
        seconds = max(1, round(failure.retry_after))
        headers.append(("Retry-After", str(seconds)))
    return Reply(status=failure.code.status, headers=headers, body=body)


def find(table: Routes, method: str, path: str) -> Handler | None:
    """Return the handler of the exact path, else of the longest prefix.

    Examples:
        >>> table = {Route("GET", "/a/"): len, Route("GET", "/a/b"): abs}
        >>> find(table, "GET", "/a/b") is abs, find(table, "GET", "/a/x") is len
        (True, True)
        >>> find(table, "POST", "/a/b") is None
        True
    """
    exact = table.get(Route(method=method, path=path))
    if exact is not None:
        return exact
    parent = path
    while parent:
        parent = parent[: parent.rstrip("/").rfind("/") + 1]
        handler = table.get(Route(method=method, path=parent))
        if handler is not None:
            return handler
        if parent == "/":
            return None
    return None


def not_found(call: Call) -> Reply:
    """Return the response to a call that no route matches."""
    return reply_failure(
        failure_value.Failure(
            code=codes.NOT_FOUND, reason=f"path: {call.path} is not served"
        )
    )
