"""Handles a caller's request, from its head to the end of the response.

``identify`` finds the route, the organisation and the service. Requests of
plain services are then handled by ``plain_handler`` and those of model services
by ``engine_handler``. Each request ends with a response, with a refusal that
states correctly whether it ran, or with an aborted connection; the outcome
and its reason are logged.
"""

import math
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
from daisypick_router import engine_handler
from daisypick_router import held_requests
from daisypick_router import identify
from daisypick_router import log as logs
from daisypick_router import metrics as metric_numbers
from daisypick_router import plain_handler
from daisypick_router import refusals
from daisypick_router import retry_policy as retry_policies
from daisypick_router import unexpected

# Seconds after the start of a graceful stop during which requests may still
# start. Later ones might not finish before the process is killed and would be
# cut off.
_DRAIN_START_SECONDS = 2.5
# Seconds. Another router may have the configuration that allows the request.
_RETRY_AFTER_UNCONFIRMED = 0.2
# Seconds. Another router can take the request at once, so callers only need
# the time to open a new connection.
_RETRY_AFTER_DRAINING = 0.02


class Serving:
    """Handles all callers' requests of a process."""

    def __init__(
        self,
        *,
        discovery: discoveries.Discovery,
        overload: overloads.Overload,
        plain: plain_handler.PlainHandler,
        engine: engine_handler.EngineHandler,
        retry_policy: retry_policies.RetryPolicy,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
        unexpected_errors: unexpected.UnexpectedErrors,
        held: held_requests.HeldRequests,
        rng: random.Random,
    ) -> None:
        self._held = held
        self._unexpected = unexpected_errors
        self._discovery = discovery
        self._overload = overload
        self._plain = plain
        self._engine = engine
        self._retry_policy = retry_policy
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self.stopping_since: float | None = None
        self._context_by_connection: dict[
            http_server.CallerConnection, contexts.Context | None
        ] = {}

    @property
    def running(self) -> int:
        """Number of requests being handled."""
        return len(self._context_by_connection)

    def handle(
        self,
        connection: http_server.CallerConnection,
        request: messages.Request,
    ) -> None:
        """Handle one request of a caller."""
        self._context_by_connection[connection] = None
        reason: str | None = None
        try:
            if self._closes_connections():
                connection.close_after_answer()
            reason = self._handle(connection, request)
        except OSError as error:
            reason = unexpected.show(error)
            raise
        except Exception as error:
            reason = unexpected.show(error)
            self._answer_error(connection, request, error)
        except BaseException as error:
            reason = f"{type(error).__name__}: {error}"
            raise
        finally:
            context = self._context_by_connection.pop(connection)
            if not connection.response_completed:
                self._log_unanswered(
                    connection.exchanges, request, context, reason
                )

    def _answer_error(
        self,
        connection: http_server.CallerConnection,
        request: messages.Request,
        error: Exception,
    ) -> None:
        """Refuse a request whose handling ended with an unexpected error.

        The caller would otherwise wait for its own timeout on an open
        connection.
        """
        self._unexpected.note("serve", error)
        context = self._context_by_connection[connection]
        if context is None or not context.is_sent:
            refusal = failure.Failure(
                code=codes.ERROR_BEFORE_RUN,
                reason=unexpected.show(error),
                retry_after=retry_policies.RETRY_AFTER,
            )
        else:
            refusal = failure.Failure(
                code=codes.ERROR_WITH_REQUEST, reason=unexpected.show(error)
            )
        self._refuse(connection, context, refusal, request)

    def note_dropped(self, request: messages.Request, reason: str) -> None:
        """Log a complete request that was dropped with its connection."""
        self._log_unanswered(0, request, None, reason)

    def note_stopped(self) -> None:
        """Log the requests that are cut off by the end of the process."""
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
            "Connection closed before the request was answered.",
            id=request_headers.read_caller(request.headers).attempt,
            reason=reason,
            stage=context.stage if context else "unhandled",
            exchanges=exchanges,
            route=context.route.name if context else None,
            servers=sorted(context.tried_servers) if context else [],
            seconds=round(time.monotonic() - request.began_at, 4),
        )

    def _closes_connections(self) -> bool:
        """Return whether callers should reconnect to another router."""
        return (
            self.stopping_since is not None
            or self._overload.closes_connections(time.monotonic())
        )

    def _handle(
        self,
        connection: http_server.CallerConnection,
        request: messages.Request,
    ) -> str | None:
        """Answer a request; return the reason if it failed."""
        identified = self._identify(request)
        if failure.is_failure(identified):
            self._refuse(connection, None, identified, request)
            return identified.reason
        self._context_by_connection[connection] = identified
        connection.hold.set_owner(
            identified.organisation or "", identified.decoded_bytes
        )
        refused = self._held.refuse_large_head(connection, identified)
        if refused is not None:
            self._refuse(connection, identified, refused, request)
            return refused.reason
        self._retry_policy.note_request(identified.service.name)
        quarantined = self._retry_policy.quarantine.refuse(identified)
        if quarantined is not None:
            self._refuse(connection, identified, quarantined, request)
            return quarantined.reason
        handler = (
            self._plain if identified.service.engine is None else self._engine
        )
        try:
            outcome = handler.serve(connection, identified)
        except http_server.CallerDisconnected:
            left = "caller_slow" if connection.is_too_slow else "caller_left"
            self._note_end(identified, left, reason=connection.end_reason)
            raise
        except OSError as error:
            unreachable = (
                "caller_slow"
                if connection.is_too_slow
                else "caller_unreachable"
            )
            self._note_end(identified, unreachable, reason=str(error))
            raise
        if failure.is_failure(outcome):
            self._refuse(connection, identified, outcome, request)
            return outcome.reason
        if connection.hold.is_ended:
            outcome = "caller_dropped"
        self._note_end(identified, outcome)
        return None

    def _identify(
        self, request: messages.Request
    ) -> contexts.Context | failure.Failure:
        if self._is_too_late_to_start():
            return failure.Failure(
                code=codes.DRAINING,
                reason="the process stops",
                retry_after=_RETRY_AFTER_DRAINING,
            )
        found = identify.identify(
            request, self._discovery.configuration, self._rng
        )
        if failure.is_failure(found):
            return self._check_confirmed(found)
        return found

    def refuse_head(self, head: messages.RequestHead) -> failure.Failure | None:
        """Return the refusal of a request whose body has not arrived.

        ``None`` if it depends on more than the head.
        """
        configuration = self._discovery.configuration
        if configuration is None:
            return None
        found = identify.refuse_head(head, configuration)
        if found is None:
            return None
        refusal = self._check_confirmed(found)
        self._metrics.count("refusals_total", code=str(refusal.code.number))
        self._log.write(
            "serve",
            f"{refusal.code.title}.",
            id=request_headers.read_caller(head.headers).attempt,
            code=refusal.code.number,
            status=refusal.code.status,
            reason=refusal.reason,
            stage="head",
        )
        return refusal

    def _check_confirmed(self, found: failure.Failure) -> failure.Failure:
        """Return the failure, or one to retry if a newer copy may differ."""
        if (
            found.code in (codes.NO_ROUTE, codes.UNAUTHENTICATED)
            and not self._discovery.is_configuration_confirmed
        ):
            return failure.Failure(
                code=codes.NOT_CONFIRMED,
                reason=f"{found.reason}, by a configuration not confirmed",
                retry_after=_RETRY_AFTER_UNCONFIRMED,
            )
        return found

    def _is_too_late_to_start(self) -> bool:
        if self.stopping_since is None:
            return False
        seconds_stopping = time.monotonic() - self.stopping_since
        return seconds_stopping > _DRAIN_START_SECONDS

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
            servers=sorted(context.tried_servers),
            seconds=round(seconds, 4),
            resumes=context.caller_headers.resumes or None,
            after=context.caller_headers.last_event,
        )

    def _refuse(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context | None,
        refusal: failure.Failure,
        request: messages.Request,
    ) -> None:
        """Send an error response, or abort a response that has started."""
        if context is not None:
            attempt = context.attempt
        else:
            attempt = request_headers.read_caller(request.headers).attempt
        self._metrics.count("refusals_total", code=str(refusal.code.number))
        self._log.write(
            "serve",
            f"{refusal.code.title}.",
            id=attempt,
            code=refusal.code.number,
            status=refusal.code.status,
            reason=refusal.reason,
            reason_number=_find_reason_number(context),
            retry_after=refusal.retry_after,
            cut=connection.response_started,
            route=context.route.name if context else None,
            version=context.version if context else self._find_version(),
            confirmed_seconds_ago=self._find_configuration_age(),
            servers=sorted(context.tried_servers) if context else [],
            seconds=round(time.monotonic() - request.began_at, 4),
        )
        if connection.response_started:
            connection.abort()
            return
        connection.send_whole(
            status=refusal.code.status,
            headers=refusals.write_headers(refusal),
            body=refusals.write_body(refusal),
        )

    def _find_version(self) -> int | None:
        configuration = self._discovery.configuration
        return None if configuration is None else configuration.version

    def _find_configuration_age(self) -> float | None:
        age = self._discovery.configuration_age
        return round(age, 3) if math.isfinite(age) else None


def _find_reason_number(context: contexts.Context | None) -> int | None:
    """Return the number of the scheduler's reason, if it refused a request."""
    if context is None or context.refusal_reason is None:
        return None
    return context.refusal_reason.number
