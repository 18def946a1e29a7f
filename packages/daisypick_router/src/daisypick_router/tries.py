"""Whether a request may go to one more backend server, and what failed.

A request that surely did not run may always go elsewhere; one that may have
run only if a second run does no harm. Either way the route bounds how many
servers it reaches and the fleet's budget how many requests are sent again.
"""

import time

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.serving import outcomes as outcome_records
from daisypick_core.serving import retry_budget
from daisypick_router import context as contexts
from daisypick_router import exchange
from daisypick_router import log as logs
from daisypick_router import metrics as metric_numbers
from daisypick_router import relay

# When a caller whose request found no server may come back, in seconds: a
# server that was replaced is back within about that time.
RETRY_AFTER = 0.4

FailedTry = exchange.NotRun | exchange.Unknown | relay.Broken


class Tries:
    """Rules for tries, shared by both ways of a request."""

    def __init__(
        self,
        *,
        outcomes: outcome_records.Outcomes,
        budget: retry_budget.RetryBudget,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
    ) -> None:
        self.outcomes = outcomes
        self._budget = budget
        self._log = log
        self._metrics = metrics

    def note_request(self, service: str) -> None:
        """Count a caller's request towards the budget."""
        self._budget.note_request(service, time.monotonic())

    def may_give_up(self, context: contexts.Context, *, arrivals: int) -> bool:
        """Tell whether another server could get what a silent one has.

        Args:
            context: The request.
            arrivals: Servers that it has reached, the silent one included.
        """
        return (
            context.may_run_again
            and arrivals < context.route.max_attempts
            and self._budget.allows(context.service.name, time.monotonic())
        )

    def may_send_again(
        self, context: contexts.Context, tried: FailedTry | relay.Whole
    ) -> bool:
        """Tell whether one more server may get the request."""
        if isinstance(tried, exchange.NotRun):
            if tried.unsent:
                return False
            if not tried.arrived:
                return time.monotonic() < context.deadline
        elif not context.may_run_again:
            return False
        now = time.monotonic()
        if now >= context.deadline:
            return False
        if context.arrivals >= context.route.max_attempts:
            return False
        allowed = self._budget.take(context.service.name, now)
        if not allowed:
            self._metrics.count(
                "retry_budget_spent_total", service=context.service.name
            )
        return allowed

    def note_failed(
        self, context: contexts.Context, server: str, tried: FailedTry
    ) -> None:
        """Count and log a try that failed."""
        not_run = isinstance(tried, exchange.NotRun)
        if not not_run:
            context.may_have_run = True
        if not (not_run and tried.unsent):
            down = not_run and (tried.server_down or tried.misdirected)
            self.outcomes.note_failure(server, time.monotonic(), certain=down)
        self._metrics.count("failed_tries_total", kind=type(tried).__name__)
        self._log.write(
            "send",
            "A try failed.",
            id=context.attempt,
            server=server,
            ran="no" if not_run else "unknown",
            reason=tried.reason,
            arrivals=context.arrivals,
        )


def conclude(
    context: contexts.Context, tried: FailedTry | None
) -> failure.Failure:
    """Return what the caller is told when no try is left."""
    reason = tried.reason if tried else f"service {context.service.name}"
    if time.monotonic() >= context.deadline:
        code = codes.TIMED_OUT if context.may_have_run else codes.TOO_LATE
        return failure.Failure(code=code, reason=reason)
    if context.may_have_run:
        return failure.Failure(code=codes.ANSWER_BROKEN, reason=reason)
    if isinstance(tried, exchange.NotRun) and tried.unsent:
        return failure.Failure(
            code=codes.NO_DESCRIPTORS, reason=reason, retry_after=RETRY_AFTER
        )
    return failure.Failure(
        code=codes.NO_BACKEND_SERVER, reason=reason, retry_after=RETRY_AFTER
    )
