"""The small HTTP server that the stand-ins share.

A stand-in has a table of routes: each has a method, a pattern of the path
and a function from ``Request`` to ``Response``. A handler can also break its
connection, which simulates a lost response.

Examples:
    >>> routes = Routes()
    >>> @routes.route("GET", "/hello/(?P<name>.+)")
    ... def hello(request, name):
    ...     return Response(body=name.encode())
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
    """A request as passed to a handler.

    Attributes:
        method: The method in upper case.
        path: Decoded path.
        query: Decoded query; of equal names the last one is kept.
        environ: The WSGI environment.
        body: The whole body.
    """

    method: str
    path: str
    query: dict[str, str]
    environ: dict[str, typing.Any]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the value of a header, or ``None``."""
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
        """Close the connection at once, so that the response is lost."""
        with contextlib.suppress(OSError):  # The peer has closed it already.
            self.environ["standin.socket"].shutdown(socket.SHUT_RDWR)


class Response(typing.NamedTuple):
    """A response; a stream has ``chunks`` instead of ``body``."""

    status: int = 200
    headers: Headers = []  # noqa: RUF012 (never mutated)
    body: bytes = b""
    chunks: Iterable[bytes] | None = None


Handler = Callable[..., Response]


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(
        status=status,
        headers=[("Content-Type", "application/json")],
        body=msgspec.json.encode(value),
    )


class Routes:
    """Handlers by method and path pattern; the first match is used."""

    def __init__(self) -> None:
        self._entries: list[tuple[str, re.Pattern[str], Handler]] = []

    def route(self, method: str, pattern: str) -> Callable[[Handler], Handler]:
        """Register a handler; ``"*"`` matches any method."""

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
            response = json_response({"error": "no such path"}, 404)
        else:
            handler, arguments = found
            response = handler(request, **arguments)
        status = f"{response.status} {_phrase(response.status)}"
        headers = list(response.headers)
        if response.chunks is not None:
            start_response(status, headers)
            return response.chunks
        if response.status not in (204, 304):
            headers.append(("Content-Length", str(len(response.body))))
        start_response(status, headers)
        return [response.body] if response.body else []


class _Handler(pywsgi.WSGIHandler):
    """Passes the socket to the application, which may break it."""

    def handle(self) -> None:
        # With Nagle's algorithm a small chunk waits for the acknowledgement
        # of the one before, which the peer delays by up to 40 ms.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, typing.Any]:
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        return environ


class Server:
    """An HTTP server on the loopback interface."""

    def __init__(self, *, app: Callable, port: int = 0) -> None:
        self._app = app
        self._port = port
        self._server: pywsgi.WSGIServer | None = None

    @property
    def address(self) -> str:
        """``host:port``; the port is known once it has started."""
        return f"127.0.0.1:{self._port}"

    def start(self) -> None:
        """Start listening; a port chosen for port 0 is kept for restarts."""
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
        """Stop listening and close all connections."""
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
