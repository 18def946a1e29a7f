"""The way of a request, from its head to the last byte of its answer.

``identify`` finds the route, the organisation and the service. Then the
request takes one of two ways: ``plain_way`` to a plain service, ``engine_way``
to a model service. Either ends in an answer, a refusal that is true, or a cut
connection; a log line tells which and why.
"""

import random
import time

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.serving import overload as overloads
from daisypick_http import messages
from daisypick_http import server as http_server
from daisypick_platform import request_headers
from daisypick_router import context as contexts
from daisypick_router import discovery as discoveries
from daisypick_router import engine_way
from daisypick_router import identify
from daisypick_router import log as logs
from daisypick_router import metrics as metric_numbers
from daisypick_router import plain_way
from daisypick_router import tries as try_rules

# A process that stops begins nothing after this many seconds: what begins
# later might not end before the process is killed, and would be cut.
_BEGIN_SECONDS = 2.5
# Another router takes the request at once; this is a connection's time.
_RETRY_AFTER_STOPPING = 0.02


class Serving:
    """Serves requests; one object a process."""

    def __init__(
        self,
        *,
        discovery: discoveries.Discovery,
        overload: overloads.Overload,
        plain: plain_way.PlainWay,
        engine: engine_way.EngineWay,
        tries: try_rules.Tries,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
        rng: random.Random,
    ) -> None:
        self._discovery = discovery
        self._overload = overload
        self._plain = plain
        self._engine = engine
        self._tries = tries
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self.stopping_since: float | None = None
        self._context_by_connection: dict[
            http_server.CallerConnection, contexts.Context | None
        ] = {}

    @property
    def running(self) -> int:
        """How many requests are handled."""
        return len(self._context_by_connection)

    def handle(
        self,
        connection: http_server.CallerConnection,
        request: messages.Request,
    ) -> None:
        """Serve one request of a caller."""
        self._context_by_connection[connection] = None
        reason: str | None = None
        try:
            if self._ends_connections():
                connection.close_after_answer()
            reason = self._handle(connection, request)
        except BaseException as error:
            reason = f"{type(error).__name__}: {error}"
            raise
        finally:
            context = self._context_by_connection.pop(connection)
            if not connection.answer_ended:
                self._log_unanswered(
                    connection.exchanges, request, context, reason
                )

    def note_dropped(self, request: messages.Request, reason: str) -> None:
        """Log a whole request that ended with its connection, unhandled."""
        self._log_unanswered(0, request, None, reason)

    def note_stopped(self) -> None:
        """Log the requests that end with the process."""
        for connection, context in self._context_by_connection.items():
            if context is not None:
                self._log_unanswered(
                    connection.exchanges,
                    context.request,
                    context,
                    "the process stops",
                )

    def _log_unanswered(
        self,
        exchanges: int,
        request: messages.Request,
        context: contexts.Context | None,
        reason: str | None,
    ) -> None:
        self._metrics.count("requests_unanswered_total")
        self._log.write(
            "connection",
            "Closed with a request unanswered.",
            id=request_headers.read_caller(request.headers).attempt,
            reason=reason,
            stage=context.stage if context else "unhandled",
            exchanges=exchanges,
            route=context.route.name if context else None,
            servers=sorted(context.tried) if context else [],
            seconds=round(time.monotonic() - request.began_at, 4),
        )

    def _ends_connections(self) -> bool:
        """Tell whether callers should go on at another router."""
        return (
            self.stopping_since is not None
            or self._overload.ends_connections(time.monotonic())
        )

    def _handle(
        self,
        connection: http_server.CallerConnection,
        request: messages.Request,
    ) -> str | None:
        """Answer a request; return why it failed, if it did."""
        found = self._identify(request)
        if failure.is_failure(found):
            self._refuse(connection, None, found, request)
            return found.reason
        self._context_by_connection[connection] = found
        self._tries.note_request(found.service.name)
        way = self._plain if found.service.engine is None else self._engine
        try:
            outcome = way.serve(connection, found)
        except http_server.CallerLeft:
            self._note_end(found, "caller_left")
            raise
        except OSError as error:
            self._note_end(found, "caller_unreachable", reason=str(error))
            raise
        if failure.is_failure(outcome):
            self._refuse(connection, found, outcome, request)
            return outcome.reason
        self._note_end(found, outcome)
        return None

    def _identify(
        self, request: messages.Request
    ) -> contexts.Context | failure.Failure:
        if self._is_too_late_to_begin():
            return failure.Failure(
                code=codes.DRAINING,
                reason="the process stops",
                retry_after=_RETRY_AFTER_STOPPING,
            )
        return identify.identify(
            request, self._discovery.configuration, self._rng
        )

    def _is_too_late_to_begin(self) -> bool:
        if self.stopping_since is None:
            return False
        stopping = time.monotonic() - self.stopping_since
        return stopping > _BEGIN_SECONDS

    def _note_end(
        self,
        context: contexts.Context,
        outcome: str,
        reason: str | None = None,
    ) -> None:
        seconds = time.monotonic() - context.request.began_at
        self._metrics.count("requests_total", outcome=outcome)
        self._metrics.observe("request_seconds", seconds, outcome=outcome)
        self._log.write(
            "serve",
            "Request ended.",
            id=context.attempt,
            outcome=outcome,
            reason=reason,
            route=context.route.name,
            version=context.version,
            organisation=context.organisation,
            servers=sorted(context.tried),
            seconds=round(seconds, 4),
        )

    def _refuse(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context | None,
        trouble: failure.Failure,
        request: messages.Request,
    ) -> None:
        """Answer with a failure; cut an answer that has begun."""
        if context is not None:
            attempt = context.attempt
        else:
            attempt = request_headers.read_caller(request.headers).attempt
        self._metrics.count("refusals_total", code=str(trouble.code.number))
        self._log.write(
            "serve",
            f"{trouble.code.title}.",
            id=attempt,
            code=trouble.code.number,
            status=trouble.code.status,
            reason=trouble.reason,
            retry_after=trouble.retry_after,
            cut=connection.answer_begun,
            route=context.route.name if context else None,
            version=context.version if context else None,
            servers=sorted(context.tried) if context else [],
            seconds=round(time.monotonic() - request.began_at, 4),
        )
        if connection.answer_begun:
            connection.abort()
            return
        connection.send_whole(
            status=trouble.code.status,
            headers=_write_headers(trouble),
            body=_write_body(trouble),
        )


def _write_headers(trouble: failure.Failure) -> list[tuple[bytes, bytes]]:
    headers = [(b"Content-Type", b"application/problem+json")]
    if trouble.retry_after is not None:
        headers.append((b"Retry-After", b"%.2f" % trouble.retry_after))
    return headers


def _write_body(trouble: failure.Failure) -> bytes:
    code = trouble.code
    return b'{"code": %d, "title": "%b", "ran": "%b"}' % (
        code.number,
        code.title.encode(),
        code.ran.encode(),
    )
