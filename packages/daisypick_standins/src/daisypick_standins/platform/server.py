"""The platform's object API over HTTP, as ``docs/PLATFORM_API.md`` has it.

Paths below ``/standin`` are no part of the API: they command faults, set the
list of VMs and tell the counts of calls.
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
    """The stand-in: what it holds, its faults and its server.

    Attributes:
        store: The objects.
        vms: The list of VMs.
        faults: What goes wrong now; change it by ``set_faults``.
        calls_by_kind: Counts of calls, a waiting watch as one.
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
        """Watches that wait now."""
        return self._watchers_by_key.total()

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening; objects are kept for the next start."""
        self._server.stop()

    def set_faults(self, faults: faults_value.Faults) -> None:
        """Replace the state of the faults."""
        self.faults = faults
        self._fault_change.set()
        self._fault_change = event.Event()

    def _routes(self) -> web.Routes:
        routes = web.Routes()
        api = [
            ("GET", _OBJECT, "get", self._get),
            ("PUT", _OBJECT, "put", self._write(self._put)),
            ("DELETE", _OBJECT, "delete", self._write(self._delete)),
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
            routes.route(method, pattern)(self._call(kind, handler))
        routes.route("GET", "/standin/calls")(self._calls)
        routes.route("POST", "/standin/faults")(self._command)
        routes.route("POST", "/standin/vms")(self._set_vm)
        return routes

    def _call(self, kind: str, handler: web.Handler) -> web.Handler:
        """Count a call and apply the faults that hold for all."""

        def _handle(request: web.Request, **arguments: str) -> web.Answer:
            self.calls_by_kind[kind] += 1
            if self.faults.delay:
                gevent.sleep(self.faults.delay)
            if self.faults.outage == faults_value.UNAVAILABLE:
                return web.json_answer({"error": "outage"}, 503)
            if self.faults.outage == faults_value.SILENT:
                return self._hold(request)
            return handler(request, **arguments)

        return _handle

    def _write(self, handler: web.Handler) -> web.Handler:
        """Apply the faults that hold for writes."""

        def _handle(request: web.Request, **arguments: str) -> web.Answer:
            faults = self.faults
            if faults.abort_writes:
                faults.abort_writes -= 1
                return web.json_answer({"error": "aborted"}, 409)
            answer = handler(request, **arguments)
            if faults.lose_answers:
                faults.lose_answers -= 1
                request.break_connection()
            elif faults.lose_silently:
                faults.lose_silently -= 1
                return self._hold(request)
            elif faults.server_errors:
                faults.server_errors -= 1
                return web.json_answer({"error": "internal"}, 500)
            return answer

        return _handle

    def _hold(self, request: web.Request) -> web.Answer:
        """Say nothing until the faults change, then break off."""
        self._fault_change.wait()
        request.break_connection()
        return web.Answer(status=503)

    def _get(self, request: web.Request, kind: str, name: str) -> web.Answer:
        del request
        item = self.store.get(kind, name)
        if item is None:
            return web.json_answer({"error": "not found"}, 404)
        return _item_answer(item)

    def _put(self, request: web.Request, kind: str, name: str) -> web.Answer:
        if request.header("If-None-Match") == "*":
            version = None
        elif request.header("If-Match"):
            version = request.header("If-Match").strip('"')
        else:
            return web.json_answer({"error": "no condition"}, 428)
        result = self.store.put(kind, name, request.body, if_version=version)
        if isinstance(result, object_store.Refusal):
            return _refusal_answer(result)
        return _item_answer(result)._replace(body=b"")

    def _delete(self, request: web.Request, kind: str, name: str) -> web.Answer:
        version = request.header("If-Match")
        if version is None:
            return web.json_answer({"error": "no condition"}, 428)
        result = self.store.delete(kind, name, if_version=version.strip('"'))
        if result is not None:
            return _refusal_answer(result)
        return web.Answer(status=204)

    def _list(self, request: web.Request, kind: str) -> web.Answer:
        names = self.store.list_names(kind, request.query.get("prefix", ""))
        return web.json_answer({"names": names})

    def _watch(self, request: web.Request, kind: str, name: str) -> web.Answer:
        """Answer when the version differs from ``after``, or with 204."""
        after = request.query.get("after", "")
        try:
            seconds = float(request.query.get("timeout", "0"))
        except ValueError:
            return web.json_answer({"error": "timeout: no number"}, 400)
        deadline = self._clock() + min(seconds, MAX_WATCH_SECONDS)
        key = (kind, name)
        self._watchers_by_key[key] += 1
        try:
            while True:
                item = self.store.get(kind, name)
                if item is not None and item.version != after:
                    return _item_answer(item)
                left = deadline - self._clock()
                if left <= 0:
                    return web.Answer(status=204)
                self._event_by_key.setdefault(key, event.Event()).wait(left)
        finally:
            self._watchers_by_key[key] -= 1

    def _wake(self, kind: str, name: str) -> None:
        waiting = self._event_by_key.pop((kind, name), None)
        if waiting is not None:
            waiting.set()

    def _vms(self, request: web.Request) -> web.Answer:
        del request
        entries = self.vms.list(self._clock())
        return web.json_answer({"vms": [entry._asdict() for entry in entries]})

    def _calls(self, request: web.Request) -> web.Answer:
        del request
        return web.json_answer(self.calls_by_kind)

    def _command(self, request: web.Request) -> web.Answer:
        try:
            faults = msgspec.json.decode(request.body, type=faults_value.Faults)
        except msgspec.DecodeError as error:
            return web.json_answer({"error": str(error)}, 400)
        self.set_faults(faults)
        return web.json_answer(faults)

    def _set_vm(self, request: web.Request) -> web.Answer:
        vm = msgspec.json.decode(request.body, type=dict[str, str])
        self.vms.set(vm_list.Vm(**vm), self._clock())
        return web.Answer(status=204)


def _item_answer(item: object_store.Item) -> web.Answer:
    headers = [
        ("ETag", f'"{item.version}"'),
        ("Content-Type", "application/octet-stream"),
    ]
    return web.Answer(headers=headers, body=item.value)


def _refusal_answer(refusal: object_store.Refusal) -> web.Answer:
    status = _STATUS_BY_REFUSAL[refusal]
    return web.json_answer({"error": refusal.value}, status)
