"""The HTTP server of the plain service.

A request with any method and path is one call, for instance
``POST /bookings``. The header ``X-Marker`` identifies it; a marker that was
counted twice ran twice. With ``X-Echo: body`` the response is the request's
body, byte for byte; otherwise it is JSON that describes the request. Paths
below ``/standin`` inject faults and report the runs.
"""

import collections
from collections.abc import Iterator

import gevent
from gevent import event
import msgspec
import xxhash

from daisypick_standins import web
from daisypick_standins.plain import faults as plain_faults

NO_MARKER = ""
_CREATED = 201


class PlainService:
    """The stand-in: its counters, its faults and its server.

    Attributes:
        runs_by_marker: How often the call of each marker ran.
        faults: The faults injected now; change them with ``set_faults``.
    """

    def __init__(self, *, port: int = 0, delay: float = 0.0) -> None:
        self.runs_by_marker: collections.Counter[str] = collections.Counter()
        self.faults = plain_faults.Faults(delay=delay)
        self._fault_change = event.Event()
        routes = web.Routes()
        routes.route("GET", "/standin/runs")(self._runs)
        routes.route("POST", "/standin/faults")(self._inject_faults)
        routes.route("*", "/.*")(self._call)
        self._server = web.Server(app=routes, port=port)

    @property
    def address(self) -> str:
        """``host:port`` of the service."""
        return self._server.address

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop and close all connections."""
        self._server.stop()

    def set_faults(self, faults: plain_faults.Faults) -> None:
        """Replace the injected faults."""
        self.faults = faults
        self._fault_change.set()
        self._fault_change = event.Event()

    def _call(self, request: web.Request) -> web.Response:
        faults = self.faults
        if faults.refuse:
            faults.refuse -= 1
            return web.json_response({"error": "refused"}, 503)
        marker = request.header("X-Marker") or NO_MARKER
        self.runs_by_marker[marker] += 1
        if faults.delay:
            gevent.sleep(faults.delay)
        return self._apply_faults(request, self._make_response(request, marker))

    def _make_response(self, request: web.Request, marker: str) -> web.Response:
        if request.header("X-Echo") == "body":
            kind = request.header("Content-Type") or "application/octet-stream"
            headers = [("Content-Type", kind), ("X-Marker", marker)]
            return web.Response(headers=headers, body=request.body)
        status = _CREATED if request.method == "POST" else 200
        response = web.json_response(
            {
                "marker": marker,
                "run": self.runs_by_marker[marker],
                "method": request.method,
                "path": request.path,
                "query": request.query,
                "headers": request.headers(),
                "body_size": len(request.body),
                "body_hash": xxhash.xxh64_hexdigest(request.body),
            },
            status,
        )
        headers = [*response.headers, ("X-Marker", marker)]
        return response._replace(headers=headers)

    def _apply_faults(
        self, request: web.Request, response: web.Response
    ) -> web.Response:
        """Apply the faults that affect a call after it has run."""
        faults = self.faults
        if faults.fail:
            faults.fail -= 1
            return web.json_response({"error": "failed"}, 500)
        if faults.lose:
            faults.lose -= 1
            request.break_connection()
        elif faults.stall:
            faults.stall -= 1
            self._fault_change.wait()
            request.break_connection()
        elif faults.half:
            faults.half -= 1
            size = ("Content-Length", str(len(response.body)))
            return response._replace(
                headers=[*response.headers, size],
                chunks=_send_half(request, response.body),
            )
        return response

    def _runs(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(self.runs_by_marker)

    def _inject_faults(self, request: web.Request) -> web.Response:
        try:
            faults = msgspec.json.decode(request.body, type=plain_faults.Faults)
        except msgspec.DecodeError as error:
            return web.json_response({"error": str(error)}, 400)
        self.set_faults(faults)
        return web.json_response(faults)


def _send_half(request: web.Request, body: bytes) -> Iterator[bytes]:
    yield body[: len(body) // 2]
    request.break_connection()
