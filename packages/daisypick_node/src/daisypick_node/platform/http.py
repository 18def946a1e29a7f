"""The client of the platform's HTTP API, see ``docs/PLATFORM_API.md``.

Failures of writes distinguish "certainly not applied" from "possibly applied".
If no connection was established, nothing was sent; once a byte may have been
sent, only a response shows the outcome. ``put`` and ``delete`` therefore fail
with ``PLATFORM_UNAVAILABLE`` in the first case and with
``PLATFORM_ANSWER_LOST`` in the second.

See Also:
    ``daisypick_node.platform.interface``: the calls and their failures.
"""

from collections.abc import Mapping
import typing
import urllib.parse

import gevent
import msgspec

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.http import client as http_client
from daisypick_node.platform import budget as call_budget
from daisypick_node.platform import connections
from daisypick_node.platform import counters as call_counters
from daisypick_node.platform import interface

MAX_VALUE_BYTES = 1 << 20
MAX_WATCH_SECONDS = 60.0
DEFAULT_TIMEOUT = 2.0
_WATCH_SLACK = 2.0
# A call takes at most one timeout to connect and one to send; the third is
# for the response.
_TIMEOUTS_PER_CALL = 3


class _VmEntry(typing.TypedDict):
    address: str
    data_centre: str
    state: str


class _VmsBody(typing.TypedDict):
    vms: list[_VmEntry]


class _NamesBody(typing.TypedDict):
    names: list[str]


@interface.register("http")
class HttpPlatformClient:
    """Calls the platform over HTTP.

    Args:
        address: ``host:port`` of the platform.
        timeout: Timeout in seconds of connecting, sending and each read.
        ca_file: CA file (PEM) to verify the platform; ``None`` is plain HTTP.
        budget: The process-wide budget; a new one if not given.

    Attributes:
        counters: Counts of calls by outcome.

    Raises:
        ValueError: ``address`` has no port.
    """

    def __init__(
        self,
        *,
        address: str,
        timeout: float = DEFAULT_TIMEOUT,
        ca_file: str | None = None,
        budget: call_budget.CallBudget | None = None,
    ) -> None:
        http_client.parse_address(address)
        self._address = address
        self.counters = call_counters.CallCounters()
        self._budget = budget or call_budget.CallBudget()
        self._timeout = timeout
        self._calls = http_client.ClientPool(timeout=timeout, ca_file=ca_file)
        self._watches = http_client.ClientPool(
            timeout=MAX_WATCH_SECONDS + _WATCH_SLACK, ca_file=ca_file
        )

    def close(self) -> None:
        """Close idle connections."""
        self._calls.close()
        self._watches.close()

    def get(
        self, kind: str, name: str
    ) -> interface.StoredObject | failure_value.Failure:
        """Return an object, or a failure ``codes.NOT_FOUND``."""
        response = self._call("get", "GET", _object_path(kind, name))
        if failure_value.is_failure(response):
            return response
        return _make_stored_object(kind, name, response.etag, response.body)

    def put(
        self, kind: str, name: str, value: bytes, *, if_version: str | None
    ) -> interface.StoredObject | failure_value.Failure:
        """Write if the version matches; ``None`` creates a new object."""
        if len(value) > MAX_VALUE_BYTES:
            return failure_value.Failure(
                code=codes.BAD_VALUE,
                reason=f"value: {len(value)} bytes, over {MAX_VALUE_BYTES}",
            )
        if if_version is None:
            headers = {"If-None-Match": "*"}
        else:
            headers = {"If-Match": f'"{if_version}"'}
        response = self._call(
            "put", "PUT", _object_path(kind, name), value, headers
        )
        if failure_value.is_failure(response):
            return response
        return _make_stored_object(kind, name, response.etag, value)

    def delete(
        self, kind: str, name: str, *, if_version: str
    ) -> failure_value.Failure | None:
        """Delete if the version matches; return ``None`` on success."""
        response = self._call(
            "delete",
            "DELETE",
            _object_path(kind, name),
            headers={"If-Match": f'"{if_version}"'},
        )
        return response if failure_value.is_failure(response) else None

    def list_names(
        self, kind: str, prefix: str
    ) -> list[str] | failure_value.Failure:
        """Return the names of a kind that begin with a prefix, sorted."""
        query = urllib.parse.urlencode({"prefix": prefix})
        path = f"/v1/objects/{_quote(kind)}?{query}"
        body = self._call_json("list", "GET", path, _NamesBody)
        return body if failure_value.is_failure(body) else body["names"]

    def watch(
        self, kind: str, name: str, *, after_version: str, timeout: float
    ) -> interface.StoredObject | failure_value.Failure | None:
        """Wait for a version other than ``after_version``."""
        seconds = min(timeout, MAX_WATCH_SECONDS)
        query = urllib.parse.urlencode(
            {"after": after_version, "timeout": f"{seconds:g}"}
        )
        path = f"/v1/watch/{_quote(kind)}/{_quote(name)}?{query}"
        response = self._call("watch", "GET", path, wait=seconds + _WATCH_SLACK)
        if failure_value.is_failure(response):
            return response
        if response.status == 204:
            return None
        return _make_stored_object(kind, name, response.etag, response.body)

    def list_vms(self) -> list[interface.Vm] | failure_value.Failure:
        """Return the list of VMs, which may be stale."""
        body = self._call_json("vms", "GET", "/v1/vms", _VmsBody)
        if failure_value.is_failure(body):
            return body
        return [interface.Vm(**entry) for entry in body["vms"]]

    def _call_json(
        self, call: str, method: str, path: str, body_type: typing.Any
    ) -> typing.Any:
        response = self._call(call, method, path)
        if failure_value.is_failure(response):
            return response
        try:
            return msgspec.json.decode(response.body, type=body_type)
        except msgspec.DecodeError as error:
            return _unavailable(f"answer of {call}: {error}")

    def _call(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        wait: float | None = None,
    ) -> connections.Response | failure_value.Failure:
        """Make a call within the budget and count it."""
        result = self._call_in_budget(call, method, path, body, headers, wait)
        size = len(body)
        outcome = call_counters.OK
        if failure_value.is_failure(result):
            outcome = str(result.code.number)
        else:
            size += len(result.body)
        self.counters.add(call, outcome, size)
        return result

    def _call_in_budget(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None,
        wait: float | None,
    ) -> connections.Response | failure_value.Failure:
        if not self._budget.try_spend():
            return failure_value.Failure(
                code=codes.PLATFORM_BUDGET_SPENT,
                reason=f"call {call}: nothing was sent",
                retry_after=self._budget.seconds_until_next(),
            )
        pool = self._calls if wait is None else self._watches
        deadline = self._timeout * _TIMEOUTS_PER_CALL if wait is None else wait
        timeout = gevent.Timeout(deadline)
        try:
            with timeout:
                response = connections.exchange(
                    pool, self._address, method, path, body, headers or {}
                )
        except http_client.NotConnectedError as error:
            return _unavailable(f"call {call}: not sent, {error}")
        except http_client.CALL_ERRORS as error:
            return _response_lost(call, str(error))
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            return _response_lost(call, "no answer in time")
        return _check_status(call, response)


def _check_status(
    call: str, response: connections.Response
) -> connections.Response | failure_value.Failure:
    """Return the response if it is a success, else its failure."""
    status = response.status
    if 200 <= status < 300:
        return response
    if status == 404:
        return failure_value.Failure(
            code=codes.NOT_FOUND, reason=f"call {call}: no such object"
        )
    if status in (409, 412):
        return failure_value.Failure(
            code=codes.PLATFORM_CONFLICT,
            reason=f"call {call}: version does not match",
        )
    reason = f"call {call}: status {status}"
    if status >= 500 and status != 503:
        # A gateway's 500, 502 or 504 does not show whether the store behind
        # it applied the write; only 503 guarantees that it did not.
        return _response_lost(call, reason)
    return _unavailable(reason, response.retry_after)


def _response_lost(call: str, reason: str) -> failure_value.Failure:
    if call not in ("put", "delete"):
        return _unavailable(reason)
    return failure_value.Failure(
        code=codes.PLATFORM_ANSWER_LOST,
        reason=f"call {call}: sent, then {reason or 'connection closed'}",
    )


def _unavailable(
    reason: str, retry_after: float | None = None
) -> failure_value.Failure:
    return failure_value.Failure(
        code=codes.PLATFORM_UNAVAILABLE,
        reason=reason,
        retry_after=retry_after,
    )


def _make_stored_object(
    kind: str, name: str, version: str, value: bytes
) -> interface.StoredObject:
    return interface.StoredObject(
        kind=kind, name=name, version=version, value=value
    )


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{_quote(kind)}/{_quote(name)}"


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")
