"""The little HTTP server that the stand-ins share.

A stand-in is a table of routes: each names a method, a pattern of the path
and a function from ``Request`` to ``Answer``. A handler can also break its
connection, which is how answers get lost.

Examples:
    >>> routes = Routes()
    >>> @routes.route("GET", "/hello/(?P<name>.+)")
    ... def hello(request, name):
    ...     return Answer(body=name.encode())
    >>> handler, arguments = routes.find("GET", "/hello/farm")
    >>> handler(None, **arguments).body
    b'farm'
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import http
import re
import socket
import typing
import urllib.parse

from gevent import pool
from gevent import pywsgi
import msgspec

Headers = list[tuple[str, str]]


class Request(typing.NamedTuple):
    """A request as a handler sees it.

    Attributes:
        method: Upper case.
        path: Decoded path.
        query: Decoded query; the last of equal names counts.
        environ: The WSGI environment.
        body: The whole body.
    """

    method: str
    path: str
    query: dict[str, str]
    environ: dict[str, typing.Any]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return a header, or ``None``."""
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return self.environ.get(key)
        return self.environ.get(f"HTTP_{key}")

    def headers(self) -> Headers:
        """Return all headers of the request, names in lower case."""
        names = [key for key in self.environ if key.startswith("HTTP_")]
        pairs = [(key[5:], self.environ[key]) for key in names]
        if self.environ.get("CONTENT_TYPE"):
            pairs.append(("CONTENT_TYPE", self.environ["CONTENT_TYPE"]))
        return [(n.lower().replace("_", "-"), v) for n, v in sorted(pairs)]

    def break_connection(self) -> None:
        """Close the connection at once, so that the answer is lost."""
        with contextlib.suppress(OSError):  # The other end was faster.
            self.environ["standin.socket"].shutdown(socket.SHUT_RDWR)


class Answer(typing.NamedTuple):
    """An answer; ``chunks`` goes in place of ``body`` for a stream."""

    status: int = 200
    headers: Headers = []  # noqa: RUF012 (never changed)
    body: bytes = b""
    chunks: Iterable[bytes] | None = None


Handler = Callable[..., Answer]


def json_answer(value: object, status: int = 200) -> Answer:
    """Return a JSON answer."""
    return Answer(
        status=status,
        headers=[("Content-Type", "application/json")],
        body=msgspec.json.encode(value),
    )


class Routes:
    """Handlers by method and pattern of the path, first match first."""

    def __init__(self) -> None:
        self._entries: list[tuple[str, re.Pattern[str], Handler]] = []

    def route(self, method: str, pattern: str) -> Callable[[Handler], Handler]:
        """Register a handler; ``"*"`` stands for any method."""

        def _add(handler: Handler) -> Handler:
            self._entries.append((method, re.compile(pattern), handler))
            return handler

        return _add

    def find(
        self, method: str, path: str
    ) -> tuple[Handler, dict[str, str]] | None:
        """Return the handler of a request and its named arguments."""
        for wanted, pattern, handler in self._entries:
            match = pattern.fullmatch(path)
            if match and wanted in ("*", method):
                return handler, match.groupdict()
        return None

    def __call__(
        self, environ: dict[str, typing.Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Serve one request (WSGI)."""
        request = _read_request(environ)
        found = self.find(request.method, request.path)
        if found is None:
            answer = json_answer({"error": "no such path"}, 404)
        else:
            handler, arguments = found
            answer = handler(request, **arguments)
        status = f"{answer.status} {_phrase(answer.status)}"
        headers = list(answer.headers)
        if answer.chunks is not None:
            start_response(status, headers)
            return answer.chunks
        if answer.status not in (204, 304):
            headers.append(("Content-Length", str(len(answer.body))))
        start_response(status, headers)
        return [answer.body] if answer.body else []


class _Handler(pywsgi.WSGIHandler):
    """Gives the application its connection, so that it can break it."""

    def handle(self) -> None:
        # With Nagle's algorithm a small chunk waits for the acknowledgement
        # of the one before, which the other end delays by up to 40 ms.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, typing.Any]:
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        return environ


class Server:
    """A stand-in that listens on loopback."""

    def __init__(self, *, app: Callable, port: int = 0) -> None:
        self._app = app
        self._port = port
        self._server: pywsgi.WSGIServer | None = None

    @property
    def address(self) -> str:
        """``host:port``; the port is known once it has started."""
        return f"127.0.0.1:{self._port}"

    def start(self) -> None:
        """Listen; with port 0 the system chooses one, kept for restarts."""
        self._server = pywsgi.WSGIServer(
            ("127.0.0.1", self._port),
            self._app,
            handler_class=_Handler,
            spawn=pool.Pool(),
            log=None,
            error_log=None,
        )
        self._server.start()
        self._port = self._server.server_port

    def stop(self) -> None:
        """Stop listening and break all connections."""
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None


def _read_request(environ: dict[str, typing.Any]) -> Request:
    raw_path = environ["PATH_INFO"].encode("latin-1")
    return Request(
        method=environ["REQUEST_METHOD"],
        path=raw_path.decode("utf-8", "replace"),
        query=dict(urllib.parse.parse_qsl(environ["QUERY_STRING"])),
        environ=environ,
        body=environ["wsgi.input"].read(),
    )


def _phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"
