"""The plain service over HTTP.

Any method and path is one call, for instance ``POST /bookings``. The header
``X-Marker`` names it; a marker that was counted twice ran twice. With ``X-Echo:
body`` the answer is the request's body, byte for byte; else it is JSON that
tells what arrived. Paths below ``/standin`` command faults and tell the runs.
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
    """The stand-in: its counts, its faults and its server.

    Attributes:
        runs_by_marker: How often each marked call ran.
        faults: What goes wrong now; change it by ``set_faults``.
    """

    def __init__(self, *, port: int = 0, delay: float = 0.0) -> None:
        self.runs_by_marker: collections.Counter[str] = collections.Counter()
        self.faults = plain_faults.Faults(delay=delay)
        self._fault_change = event.Event()
        routes = web.Routes()
        routes.route("GET", "/standin/runs")(self._runs)
        routes.route("POST", "/standin/faults")(self._command)
        routes.route("*", "/.*")(self._call)
        self._server = web.Server(app=routes, port=port)

    @property
    def address(self) -> str:
        """``host:port`` of the service."""
        return self._server.address

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop, breaking all connections."""
        self._server.stop()

    def set_faults(self, faults: plain_faults.Faults) -> None:
        """Replace the state of the faults."""
        self.faults = faults
        self._fault_change.set()
        self._fault_change = event.Event()

    def _call(self, request: web.Request) -> web.Answer:
        faults = self.faults
        if faults.refuse:
            faults.refuse -= 1
            return web.json_answer({"error": "refused"}, 503)
        marker = request.header("X-Marker") or NO_MARKER
        self.runs_by_marker[marker] += 1
        if faults.delay:
            gevent.sleep(faults.delay)
        return self._spoil(request, self._answer(request, marker))

    def _answer(self, request: web.Request, marker: str) -> web.Answer:
        if request.header("X-Echo") == "body":
            kind = request.header("Content-Type") or "application/octet-stream"
            headers = [("Content-Type", kind), ("X-Marker", marker)]
            return web.Answer(headers=headers, body=request.body)
        status = _CREATED if request.method == "POST" else 200
        answer = web.json_answer(
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
        headers = [*answer.headers, ("X-Marker", marker)]
        return answer._replace(headers=headers)

    def _spoil(self, request: web.Request, answer: web.Answer) -> web.Answer:
        """Apply the faults of a call that has run."""
        faults = self.faults
        if faults.fail:
            faults.fail -= 1
            return web.json_answer({"error": "failed"}, 500)
        if faults.lose:
            faults.lose -= 1
            request.break_connection()
        elif faults.stall:
            faults.stall -= 1
            self._fault_change.wait()
            request.break_connection()
        elif faults.half:
            faults.half -= 1
            size = ("Content-Length", str(len(answer.body)))
            return answer._replace(
                headers=[*answer.headers, size],
                chunks=_half(request, answer.body),
            )
        return answer

    def _runs(self, request: web.Request) -> web.Answer:
        del request
        return web.json_answer(self.runs_by_marker)

    def _command(self, request: web.Request) -> web.Answer:
        try:
            faults = msgspec.json.decode(request.body, type=plain_faults.Faults)
        except msgspec.DecodeError as error:
            return web.json_answer({"error": str(error)}, 400)
        self.set_faults(faults)
        return web.json_answer(faults)


def _half(request: web.Request, body: bytes) -> Iterator[bytes]:
    yield body[: len(body) // 2]
    request.break_connection()
