"""The HTTP API of the router for callers.

* ``POST /v1/chat/completions``: OpenAI-compatible, streamed or not.
* ``GET /v1/models``: the model services.
* ``/services/NAME/...``: plain services, any method.

Refusals are ``application/problem+json`` with a numbered code.
"""

from collections.abc import Callable
from collections.abc import Iterator
import typing
import uuid

import msgspec

from daisypick_core.configuration import model
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.http import routes
from daisypick_node.router import driver as driver_module
from daisypick_node.router import exchange as exchange_module
from daisypick_node.router import pipeline
from daisypick_node.router import relay as relay_module
from daisypick_node.router.filters import classify

MODELS = "/v1/models"
REQUEST_ID = "X-Request-Id"
# A response that is not streamed is buffered up to this size until its end
# mark: until then the request can be retried transparently on another server.
MAX_BUFFERED_BYTES = 1_048_576
_CALLER_DISCONNECTED = failure_value.Failure(
    code=codes.CALLER_GONE, reason="caller: closed the connection"
)
_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD")


class Accounting(typing.Protocol):
    """Counts admitted and finished requests."""

    def opened(self, exchange: exchange_module.Exchange) -> None:
        """Count an admitted request."""

    def first_byte(self, exchange: exchange_module.Exchange) -> None:
        """Record the first byte of a response."""

    def closed(
        self,
        exchange: exchange_module.Exchange,
        relay: relay_module.Relay | None,
        failure: failure_value.Failure | None,
    ) -> None:
        """Count the end of a request."""


class CallerRoutes:
    """Handlers of the routes for callers."""

    def __init__(
        self,
        *,
        driver: driver_module.DispatchDriver,
        context: exchange_module.Context,
        clock: Callable[[], float],
        accounting: Accounting,
        is_draining: Callable[[], bool],
        held_bytes_limit: int,
    ) -> None:
        self._held_bytes_limit = held_bytes_limit
        self._driver = driver
        self._context = context
        self._clock = clock
        self._accounting = accounting
        self._is_draining = is_draining

    def handlers(self) -> routes.Routes:
        """Return the handlers by route."""
        table: dict[routes.Route, routes.Handler] = {
            routes.Route("POST", classify.CHAT): self._serve,
            routes.Route("GET", MODELS): self._serve_models,
        }
        for method in _METHODS:
            table[routes.Route(method, classify.SERVICES)] = self._serve
        return table

    def _serve_models(self, call: routes.Call) -> routes.Reply:
        del call
        services = self._context.configuration().services_by_name.values()
        names = [s.name for s in services if s.kind == model.MODEL]
        return routes.reply_json(
            {
                "object": "list",
                "data": [{"id": name, "object": "model"} for name in names],
            }
        )

    def _serve(self, call: routes.Call) -> routes.Reply:
        exchange = exchange_module.Exchange(
            request_id=uuid.uuid4().hex,
            call=call,
            received_at=self._clock(),
        )
        result = self._admit(exchange)
        if failure_value.is_failure(result):
            self._accounting.closed(exchange, None, result)
            return self._refuse(exchange, result)
        self._accounting.opened(result)
        relay = self._driver.submit(result)
        return self._respond(result, relay)

    def _admit(
        self, exchange: exchange_module.Exchange
    ) -> exchange_module.Exchange | failure_value.Failure:
        if self._is_draining():
            return failure_value.Failure(
                code=codes.DRAINING,
                reason="router: is shutting down",
                retry_after=1.0,
            )
        result = pipeline.run(exchange, self._context)
        if failure_value.is_failure(result):
            return result
        return self._check_memory(result)

    def _check_memory(
        self, exchange: exchange_module.Exchange
    ) -> exchange_module.Exchange | failure_value.Failure:
        """Refuse a request if the buffered bodies exceed their limit.

        A limit on the number of requests alone would let large bodies use up
        the memory of the VM.
        """
        held = self._driver.held_bytes + len(exchange.body)
        if held <= self._held_bytes_limit:
            return exchange
        return failure_value.Failure(
            code=codes.ROUTER_FULL,
            reason="the router holds as many bytes as it may",
            retry_after=1.0,
        )

    def _refuse(
        self,
        exchange: exchange_module.Exchange,
        failure: failure_value.Failure,
    ) -> routes.Reply:
        reply = routes.reply_failure(failure, request_id=exchange.request_id)
        reply.headers.append((REQUEST_ID, exchange.request_id))
        return reply

    def _respond(
        self, exchange: exchange_module.Exchange, relay: relay_module.Relay
    ) -> routes.Reply:
        """Wait for the first part of the response, then stream the rest."""
        while not _can_start_response(relay, is_stream=exchange.is_stream):
            relay.wait()
        failure = (
            _CALLER_DISCONNECTED if relay.is_caller_gone else relay.failure
        )
        # As long as nothing was sent to the caller, a broken response is
        # reported as a refusal with its reason, not as an aborted connection.
        is_unsent = not (exchange.is_stream and relay.splice.position)
        if failure is not None and is_unsent:
            self._close(exchange, relay, failure)
            return self._refuse(exchange, failure)
        assert relay.head is not None
        self._accounting.first_byte(exchange)
        headers = [tuple(header) for header in relay.head["headers"]]
        headers.append((REQUEST_ID, exchange.request_id))
        if relay.usage is not None:
            return self._reply_whole(exchange, relay, headers)
        return routes.Reply(
            status=relay.head["status"],
            headers=headers,
            body=self._stream(exchange, relay),
        )

    def _reply_whole(
        self,
        exchange: exchange_module.Exchange,
        relay: relay_module.Relay,
        headers: routes.Headers,
    ) -> routes.Reply:
        assert relay.head is not None
        body = relay.take()
        headers.append(("Content-Length", str(len(body))))
        self._close(exchange, relay, None)
        return routes.Reply(
            status=relay.head["status"], headers=headers, body=body
        )

    def _stream(
        self, exchange: exchange_module.Exchange, relay: relay_module.Relay
    ) -> Iterator[bytes]:
        failure: failure_value.Failure | None = _CALLER_DISCONNECTED
        try:
            while not (relay.is_over and not relay.pending_size):
                if relay.is_caller_gone:
                    return
                if relay.pending_size:
                    yield relay.take()
                else:
                    relay.wait()
            failure = relay.failure
            if failure is not None:
                yield from _report_truncation(exchange, failure)
        finally:
            self._close(exchange, relay, failure)

    def _close(
        self,
        exchange: exchange_module.Exchange,
        relay: relay_module.Relay,
        failure: failure_value.Failure | None,
    ) -> None:
        self._driver.release(exchange.request_id)
        self._accounting.closed(exchange, relay, failure)


def _can_start_response(relay: relay_module.Relay, *, is_stream: bool) -> bool:
    if relay.is_over or relay.is_caller_gone:
        return True
    if relay.head is None or not relay.pending_size:
        return False
    return is_stream or relay.pending_size >= MAX_BUFFERED_BYTES


def _report_truncation(
    exchange: exchange_module.Exchange, failure: failure_value.Failure
) -> Iterator[bytes]:
    """Report to the caller that the response is incomplete.

    A stream of events ends with an error event and without the end mark. For
    any other body the connection is aborted: without the last chunk, no client
    accepts the partial body as complete.
    """
    if not exchange.is_stream:
        raise ConnectionAbortedError(failure.reason)
    problem = routes.problem(failure, request_id=exchange.request_id)
    yield b"data: " + msgspec.json.encode({"error": problem}) + b"\n\n"
