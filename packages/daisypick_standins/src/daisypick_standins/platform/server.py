"""The platform's HTTP API, as described in ``docs/PLATFORM_API.md``.

Paths below ``/standin`` are not part of the API: they inject faults, set the
list of VMs and report the counts of calls.
"""

import collections
from collections.abc import Callable
import time

import gevent
from gevent import event
import msgspec

from daisypick_standins import web
from daisypick_standins.platform import faults as faults_value
from daisypick_standins.platform import store as object_store
from daisypick_standins.platform import vms as vm_list

MAX_WATCH_SECONDS = 60.0
_STATUS_BY_REFUSAL = {
    object_store.CONFLICT: 412,
    object_store.NOT_FOUND: 404,
    object_store.TOO_LARGE: 413,
}
_OBJECT = "/v1/objects/(?P<kind>[^/]+)/(?P<name>.+)"


class Platform:
    """The stand-in: its objects, its VMs, its faults and its server.

    Attributes:
        store: The objects.
        vms: The list of VMs.
        faults: The faults injected now; change them with ``set_faults``.
        calls_by_kind: Counts of calls; a watch counts once, when it begins.
    """

    def __init__(
        self,
        *,
        port: int = 0,
        vm_lag: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.store = object_store.ObjectStore()
        self.vms = vm_list.VmList(lag=vm_lag)
        self.faults = faults_value.Faults()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._fault_change = event.Event()
        self._event_by_key: dict[tuple[str, str], event.Event] = {}
        self._watchers_by_key: collections.Counter = collections.Counter()
        self.store.on_change(self._wake)
        self._server = web.Server(app=self._routes(), port=port)

    @property
    def address(self) -> str:
        """``host:port`` of the API."""
        return self._server.address

    @property
    def waiting_watches(self) -> int:
        """Number of watches that wait now."""
        return self._watchers_by_key.total()

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening; objects are kept for the next start."""
        self._server.stop()

    def set_faults(self, faults: faults_value.Faults) -> None:
        """Replace the injected faults."""
        self.faults = faults
        self._fault_change.set()
        self._fault_change = event.Event()

    def _routes(self) -> web.Routes:
        routes = web.Routes()
        api = [
            ("GET", _OBJECT, "get", self._get),
            ("PUT", _OBJECT, "put", self._write_with_faults(self._put)),
            (
                "DELETE",
                _OBJECT,
                "delete",
                self._write_with_faults(self._delete),
            ),
            ("GET", "/v1/objects/(?P<kind>[^/]+)", "list", self._list),
            (
                "GET",
                "/v1/watch/(?P<kind>[^/]+)/(?P<name>.+)",
                "watch",
                self._watch,
            ),
            ("GET", "/v1/vms", "vms", self._vms),
        ]
        for method, pattern, kind, handler in api:
            routes.route(method, pattern)(self._count_call(kind, handler))
        routes.route("GET", "/standin/calls")(self._calls)
        routes.route("POST", "/standin/faults")(self._inject_faults)
        routes.route("POST", "/standin/vms")(self._set_vm)
        return routes

    def _count_call(self, kind: str, handler: web.Handler) -> web.Handler:
        """Wrap a handler: count the call and apply the faults of all calls."""

        def _handle(request: web.Request, **arguments: str) -> web.Response:
            self.calls_by_kind[kind] += 1
            if self.faults.delay:
                gevent.sleep(self.faults.delay)
            if self.faults.outage == faults_value.UNAVAILABLE:
                return web.json_response({"error": "outage"}, 503)
            if self.faults.outage == faults_value.SILENT:
                return self._block(request)
            return handler(request, **arguments)

        return _handle

    def _write_with_faults(self, handler: web.Handler) -> web.Handler:
        """Wrap a handler: apply the faults of writes."""

        def _handle(request: web.Request, **arguments: str) -> web.Response:
            faults = self.faults
            if faults.abort_writes:
                faults.abort_writes -= 1
                return web.json_response({"error": "aborted"}, 409)
            response = handler(request, **arguments)
            if faults.lose_answers:
                faults.lose_answers -= 1
                request.break_connection()
            elif faults.lose_silently:
                faults.lose_silently -= 1
                return self._block(request)
            elif faults.server_errors:
                faults.server_errors -= 1
                return web.json_response({"error": "internal"}, 500)
            return response

        return _handle

    def _block(self, request: web.Request) -> web.Response:
        """Block until the faults change, then break the connection."""
        self._fault_change.wait()
        request.break_connection()
        return web.Response(status=503)

    def _get(self, request: web.Request, kind: str, name: str) -> web.Response:
        del request
        item = self.store.get(kind, name)
        if item is None:
            return web.json_response({"error": "not found"}, 404)
        return _item_response(item)

    def _put(self, request: web.Request, kind: str, name: str) -> web.Response:
        if request.header("If-None-Match") == "*":
            version = None
        elif request.header("If-Match"):
            version = request.header("If-Match").strip('"')
        else:
            return web.json_response({"error": "no condition"}, 428)
        result = self.store.put(kind, name, request.body, if_version=version)
        if isinstance(result, object_store.Refusal):
            return _refusal_response(result)
        return _item_response(result)._replace(body=b"")

    def _delete(
        self, request: web.Request, kind: str, name: str
    ) -> web.Response:
        version = request.header("If-Match")
        if version is None:
            return web.json_response({"error": "no condition"}, 428)
        result = self.store.delete(kind, name, if_version=version.strip('"'))
        if result is not None:
            return _refusal_response(result)
        return web.Response(status=204)

    def _list(self, request: web.Request, kind: str) -> web.Response:
        names = self.store.list_names(kind, request.query.get("prefix", ""))
        return web.json_response({"names": names})

    def _watch(
        self, request: web.Request, kind: str, name: str
    ) -> web.Response:
        """Respond when the version differs from ``after``, else with 204."""
        after = request.query.get("after", "")
        try:
            seconds = float(request.query.get("timeout", "0"))
        except ValueError:
            return web.json_response({"error": "timeout: no number"}, 400)
        deadline = self._clock() + min(seconds, MAX_WATCH_SECONDS)
        key = (kind, name)
        self._watchers_by_key[key] += 1
        try:
            while True:
                item = self.store.get(kind, name)
                if item is not None and item.version != after:
                    return _item_response(item)
                left = deadline - self._clock()
                if left <= 0:
                    return web.Response(status=204)
                self._event_by_key.setdefault(key, event.Event()).wait(left)
        finally:
            self._watchers_by_key[key] -= 1

    def _wake(self, kind: str, name: str) -> None:
        waiting = self._event_by_key.pop((kind, name), None)
        if waiting is not None:
            waiting.set()

    def _vms(self, request: web.Request) -> web.Response:
        del request
        entries = self.vms.list(self._clock())
        return web.json_response(
            {"vms": [entry._asdict() for entry in entries]}
        )

    def _calls(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(self.calls_by_kind)

    def _inject_faults(self, request: web.Request) -> web.Response:
        try:
            faults = msgspec.json.decode(request.body, type=faults_value.Faults)
        except msgspec.DecodeError as error:
            return web.json_response({"error": str(error)}, 400)
        self.set_faults(faults)
        return web.json_response(faults)

    def _set_vm(self, request: web.Request) -> web.Response:
        vm = msgspec.json.decode(request.body, type=dict[str, str])
        self.vms.set(vm_list.Vm(**vm), self._clock())
        return web.Response(status=204)


def _item_response(item: object_store.Item) -> web.Response:
    headers = [
        ("ETag", f'"{item.version}"'),
        ("Content-Type", "application/octet-stream"),
    ]
    return web.Response(headers=headers, body=item.value)


def _refusal_response(refusal: object_store.Refusal) -> web.Response:
    status = _STATUS_BY_REFUSAL[refusal]
    return web.json_response({"error": refusal.value}, status)
