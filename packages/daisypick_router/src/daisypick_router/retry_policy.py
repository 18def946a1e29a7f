"""Decides whether a failed request may be retried at another backend server.

A request that certainly did not run may always be retried; one that may have
run only if running it twice is safe. In both cases the route limits how many
servers the request reaches, and the fleet's retry budget limits the share of
requests that are retried.
"""

import time

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.serving import backend_server
from daisypick_core.serving import outcomes as outcome_records
from daisypick_core.serving import retry_budget
from daisypick_router import context as contexts
from daisypick_router import exchange
from daisypick_router import log as logs
from daisypick_router import metrics as metric_numbers
from daisypick_router import quarantine as quarantines
from daisypick_router import relay
from daisypick_router import restarts as restart_records

# Seconds after which a caller may retry if no server was available; a server
# that is being replaced is back within about that time.
RETRY_AFTER = 0.4
# A connection that broke within this time after something was received on it
# worked a moment before.
_FRESH_SECONDS = 0.1

FailedTry = exchange.NotRun | exchange.Unknown | relay.Broken


class RetryPolicy:
    """Retry policy, shared by plain and model services."""

    def __init__(
        self,
        *,
        outcomes: outcome_records.Outcomes,
        budget: retry_budget.RetryBudget,
        quarantine: quarantines.Quarantine,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
        restarts: restart_records.Restarts,
    ) -> None:
        self._restarts = restarts
        self.outcomes = outcomes
        self._budget = budget
        self.quarantine = quarantine
        self._log = log
        self._metrics = metrics

    def note_request(self, service: str) -> None:
        """Count a caller's request towards the retry budget."""
        self._budget.note_request(service, time.monotonic())

    def may_fail_over(
        self, context: contexts.Context, *, servers_reached: int
    ) -> bool:
        """Return whether a retry is allowed if the current server times out.

        Args:
            context: The request.
            servers_reached: Servers that received it, including the current
                one.
        """
        return (
            context.may_run_again
            and servers_reached < context.route.max_attempts
            and self._budget.allows(context.service.name, time.monotonic())
        )

    def may_retry(
        self, context: contexts.Context, result: FailedTry | relay.WholeResponse
    ) -> bool:
        """Return whether the request may be sent to one more server."""
        if isinstance(result, exchange.NotRun):
            if result.unsent:
                return False
            if not result.reached_server:
                return time.monotonic() < context.deadline
        elif not context.may_run_again:
            return False
        if self.quarantine.refuse(context) is not None:
            return False
        now = time.monotonic()
        if now >= context.deadline:
            return False
        if context.servers_reached >= context.route.max_attempts:
            return False
        allowed = self._budget.take(context.service.name, now)
        if allowed:
            context.retry_allowed_at = now
        else:
            self._metrics.count(
                "retry_budget_spent_total", service=context.service.name
            )
        return allowed

    def note_sent(self, context: contexts.Context) -> None:
        """Record that a request is about to be sent to a server."""
        context.received_at = 0.0
        if context.retry_allowed_at is not None:
            self._budget.note_sent(
                context.service.name,
                taken_at=context.retry_allowed_at,
                now=time.monotonic(),
            )
            context.retry_allowed_at = None

    def note_failed(
        self,
        context: contexts.Context,
        server: backend_server.BackendServer,
        result: FailedTry,
    ) -> None:
        """Count and log a failed try."""
        not_run = isinstance(result, exchange.NotRun)
        if not not_run:
            context.may_have_run = True
        caller_slow = isinstance(result, relay.Broken) and result.caller_slow
        is_blamed = not not_run or result.is_servers_fault
        if is_blamed and not caller_slow:
            if not not_run or result.server_down:
                now = time.monotonic()
                self._restarts.note_failure(
                    server,
                    is_fresh=not not_run
                    and now < context.received_at + _FRESH_SECONDS,
                )
            down = not_run and (result.server_down or result.misdirected)
            self.outcomes.note_failure(
                server.name, time.monotonic(), certain=down
            )
        self._metrics.count("failed_tries_total", kind=type(result).__name__)
        self._log.write(
            "send",
            "Request failed at a backend server.",
            id=context.attempt,
            digest=context.digest,
            server=server.name,
            ran="no" if not_run else "unknown",
            reason=result.reason,
            arrivals=context.servers_reached,
        )
        if not caller_slow:
            self.quarantine.note_failed(context, server, result)


def choose_failure(
    context: contexts.Context, result: FailedTry | None
) -> failure.Failure:
    """Return the failure to report when the request cannot be retried."""
    reason = result.reason if result else f"service {context.service.name}"
    if time.monotonic() >= context.deadline:
        code = codes.TIMED_OUT if context.may_have_run else codes.TOO_LATE
        return failure.Failure(code=code, reason=reason)
    if context.may_have_run:
        return failure.Failure(code=codes.ANSWER_BROKEN, reason=reason)
    if isinstance(result, exchange.NotRun) and result.unsent:
        return failure.Failure(
            code=codes.NO_DESCRIPTORS, reason=reason, retry_after=RETRY_AFTER
        )
    return failure.Failure(
        code=codes.NO_BACKEND_SERVER, reason=reason, retry_after=RETRY_AFTER
    )
