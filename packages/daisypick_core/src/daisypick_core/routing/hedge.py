"""Failover from agents that do not respond.

An agent that hangs or is unreachable does not respond to the withdrawal of
waiting attempts. After ``HEDGE_AFTER`` a repeatable request is sent to another
agent, and a cancellation is sent to the unresponsive one in case it still
receives messages. This spends from the retry budget, so that a network
partition of one region does not double the load of the others. A request that
must not be repeated stays until its connection ends.
"""

import itertools

from daisypick_core.routing import retry_budget
from daisypick_core.routing import sent_attempts
from daisypick_core.routing import service_view

# Time without a response to a withdrawal, seconds.
HEDGE_AFTER = 1.0
_MAX_ATTEMPTS_SCANNED = 64


def find_unresponsive(
    service: service_view.ServiceView,
    budget: retry_budget.RetryBudget,
    now: float,
) -> list[sent_attempts.SentAttempt]:
    """Return attempts to fail over, each charged to the retry budget."""
    unresponsive = []
    for sent_attempt in itertools.islice(
        service.waiting.values(), _MAX_ATTEMPTS_SCANNED
    ):
        if _is_unresponsive(sent_attempt, now) and budget.try_spend():
            unresponsive.append(sent_attempt)
    return unresponsive


def _is_unresponsive(
    sent_attempt: sent_attempts.SentAttempt, now: float
) -> bool:
    if (
        not sent_attempt.job.request.is_repeatable
        or not sent_attempt.is_withdrawing
    ):
        return False
    return now - sent_attempt.withdrawn_at >= HEDGE_AFTER
