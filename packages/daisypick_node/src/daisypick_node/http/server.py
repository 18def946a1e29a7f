"""The HTTP server of a process.

Paths below ``/internal/`` and ``/metrics`` require a fleet key; an operator key
gives access to ``/metrics`` and some internal paths. All other requests go to
the handlers without a check of keys.
"""

from collections.abc import Callable
from collections.abc import Iterable
import typing

import gevent
from gevent import pywsgi
import gevent.pool
import gevent.socket

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.http import client
from daisypick_node.http import keys as keys_module
from daisypick_node.http import routes as routes_module

INTERNAL = "/internal/"
METRICS = "/metrics"
_OPERATOR_PATHS = (
    "/internal/configuration/",
    "/internal/dump",
    "/internal/explain/",
    "/internal/status",
    METRICS,
)
_SOCKET_KEY = "daisypick.socket"
_TARGET_KEY = "daisypick.target"
_READ_SIZE = 65536
# When a router leaves, all its callers reconnect to the others at once. With
# the library's default of 256, connections of such a burst time out.
_BACKLOG = 4096

StartResponse = Callable[[str, list[tuple[str, str]]], object]

_REASON_BY_STATUS = {
    200: "OK",
    201: "Created",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    409: "Conflict",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class ServerLimits(typing.NamedTuple):
    """Limits on the resources of connections.

    Attributes:
        header_bytes: Maximum size of all headers together.
        body_bytes: Maximum size of a body.
        body_seconds: Deadline for the whole body to arrive.
        connections: Maximum number of concurrent connections.
    """

    header_bytes: int = 32_768
    body_bytes: int = 8_388_608
    body_seconds: float = 20.0
    connections: int = 20_000


class _Handler(pywsgi.WSGIHandler):
    """Passes the socket to the application and sets ``TCP_NODELAY``."""

    def get_environ(self) -> dict[str, typing.Any]:
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        environ[_TARGET_KEY] = self.path
        return environ

    def handle(self) -> None:
        self.socket.setsockopt(
            gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1
        )
        super().handle()


class Server:
    """Serves handlers by route on one address."""

    def __init__(
        self,
        *,
        listen: str,
        routes: routes_module.Routes,
        keys: keys_module.Keys,
        limits: ServerLimits = ServerLimits(),  # noqa: B008 (immutable)
        tls_files: tuple[str, str] | None = None,
        count_control: Callable[[int], None] = lambda _: None,
    ) -> None:
        self._count_control = count_control
        self._routes = dict(routes)
        self._keys = keys
        self._limits = limits
        host, port = client.parse_address(listen)
        options: dict[str, typing.Any] = {}
        if tls_files is not None:
            options = {"certfile": tls_files[0], "keyfile": tls_files[1]}
        self._server = pywsgi.WSGIServer(
            (host, port),
            self._serve,
            handler_class=_Handler,
            backlog=_BACKLOG,
            spawn=gevent.pool.Pool(limits.connections),
            log=None,
            **options,
        )

    @property
    def address(self) -> str:
        """``host:port`` that the server listens on."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self, timeout: float) -> None:
        """Stop accepting; close open connections after ``timeout`` seconds."""
        self._server.stop(timeout=timeout)

    def _serve(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        call = self._make_call(environ)
        reply = self._check(call, environ) or self._handle(call)
        if call.path.startswith(INTERNAL) and isinstance(reply.body, bytes):
            # Streamed responses are service traffic; all else is control.
            received = int(environ.get("CONTENT_LENGTH") or 0)
            self._count_control(received + len(reply.body))
        reason = _REASON_BY_STATUS.get(reply.status, "Answer")
        start_response(f"{reply.status} {reason}", reply.headers)
        if isinstance(reply.body, bytes):
            return [reply.body]
        return reply.body

    def _make_call(self, environ: dict[str, typing.Any]) -> routes_module.Call:
        headers = {
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        content_type = environ.get("CONTENT_TYPE")
        if content_type:
            headers["content-type"] = content_type
        return routes_module.Call(
            method=environ["REQUEST_METHOD"],
            path=environ[_TARGET_KEY].partition("?")[0],
            query=environ.get("QUERY_STRING", ""),
            headers=headers,
            read_body=lambda: self._read_body(environ),
            sock=environ[_SOCKET_KEY],
        )

    def _check(
        self, call: routes_module.Call, environ: dict[str, typing.Any]
    ) -> routes_module.Reply | None:
        size = sum(len(k) + len(v) for k, v in call.headers.items())
        if size > self._limits.header_bytes and not call.path.startswith(
            INTERNAL
        ):
            return _refuse(codes.HEADERS_TOO_LARGE, f"headers: {size} bytes")
        if int(environ.get("CONTENT_LENGTH") or 0) > self._limits.body_bytes:
            return _refuse(codes.BODY_TOO_LARGE, "body: over the limit")
        return self._check_key(call)

    def _check_key(
        self, call: routes_module.Call
    ) -> routes_module.Reply | None:
        if not call.path.startswith((INTERNAL, METRICS)):
            return None
        authorization = call.headers.get("authorization", "")
        roles = keys_module.roles(self._keys, authorization)
        if keys_module.FLEET in roles:
            return None
        if keys_module.OPERATOR in roles and call.path.startswith(
            _OPERATOR_PATHS
        ):
            return None
        return _refuse(codes.NOT_A_PEER, "authorization: key is not accepted")

    def _handle(self, call: routes_module.Call) -> routes_module.Reply:
        handler = routes_module.find(self._routes, call.method, call.path)
        if handler is None:
            return routes_module.not_found(call)
        return handler(call)

    def _read_body(
        self, environ: dict[str, typing.Any]
    ) -> bytes | failure_value.Failure:
        """Read a body; the size limit also applies to chunked bodies."""
        parts: list[bytes] = []
        size = 0
        with gevent.Timeout(self._limits.body_seconds, False):
            while True:
                part = environ["wsgi.input"].read(_READ_SIZE)
                if not part:
                    return b"".join(parts)
                parts.append(part)
                size += len(part)
                if size > self._limits.body_bytes:
                    return failure_value.Failure(
                        code=codes.BODY_TOO_LARGE, reason="body: over the limit"
                    )
        return failure_value.Failure(
            code=codes.SLOW_SENDER, reason="body: did not arrive in time"
        )


def _refuse(code: codes.Code, reason: str) -> routes_module.Reply:
    return routes_module.reply_failure(
        failure_value.Failure(code=code, reason=reason)
    )
