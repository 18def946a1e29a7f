"""Withdrawal of attempts that wait at busy agents while others have free slots.

A router with an empty queue may still have attempts that wait behind those of
other routers at an agent. When another agent is estimated to be free, the
oldest of them are withdrawn; the response of the agent tells whether they have
started already. Each request is moved a few times at most, and only after it
has waited for longer than a response takes, so that stale load reports cannot
move it repeatedly.
"""

import itertools

from daisypick_core.routing import actions
from daisypick_core.routing import directory
from daisypick_core.routing import sent_attempts
from daisypick_core.routing import service_view

MIN_WAIT_SECONDS = 0.02
_MAX_WITHDRAWALS = 3
_MAX_AGENTS_SCANNED = 16
_MAX_ATTEMPTS_SCANNED = 64


def withdraw_for_free_agents(
    service: service_view.ServiceView,
    agent_directory: directory.Directory,
    now: float,
) -> list[actions.Action]:
    """Return withdrawals to fill free slots when no request is queued."""
    if not len(service.free) or not service.waiting or len(service.queues):
        return []
    scanned = itertools.islice(service.free.items, _MAX_AGENTS_SCANNED)
    slots = sum(view.free for view in scanned) - service.withdrawing
    due: list[actions.Action] = []
    for sent_attempt in itertools.islice(
        service.waiting.values(), _MAX_ATTEMPTS_SCANNED
    ):
        if len(due) >= slots:
            break
        if _should_withdraw(sent_attempt, agent_directory, now):
            due.append(withdraw(service, sent_attempt, now))
    return due


def withdraw(
    service: service_view.ServiceView,
    sent_attempt: sent_attempts.SentAttempt,
    now: float,
) -> actions.Withdraw:
    """Begin the withdrawal of a waiting attempt."""
    sent_attempt.is_withdrawing = True
    sent_attempt.withdrawn_at = now
    sent_attempt.job.withdrawals += 1
    service.withdrawing += 1
    return actions.Withdraw(
        attempt=sent_attempt.attempt, agent=sent_attempt.agent
    )


def may_withdraw(sent_attempt: sent_attempts.SentAttempt) -> bool:
    """Return whether an attempt waits and was not moved too often."""
    if sent_attempt.started_at is not None or sent_attempt.is_withdrawing:
        return False
    return sent_attempt.job.withdrawals < _MAX_WITHDRAWALS


def _should_withdraw(
    sent_attempt: sent_attempts.SentAttempt,
    agent_directory: directory.Directory,
    now: float,
) -> bool:
    if not may_withdraw(sent_attempt):
        return False
    if now - sent_attempt.sent_at < MIN_WAIT_SECONDS:
        return False
    view = agent_directory.find(sent_attempt.agent)
    return view is None or view.free == 0
