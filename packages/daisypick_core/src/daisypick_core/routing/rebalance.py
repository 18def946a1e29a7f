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
from daisypick_core.routing import flights
from daisypick_core.routing import service_view

SHORTEST_WAIT = 0.02
_MOST_WITHDRAWALS = 3
_AGENTS_LOOKED_AT = 16
_FLIGHTS_LOOKED_AT = 64


def withdraw_for_free_agents(
    service: service_view.ServiceView,
    known: directory.Directory,
    now: float,
) -> list[actions.Action]:
    """Return withdrawals to fill free slots when no request is queued."""
    if not len(service.free) or not service.waiting or len(service.queues):
        return []
    looked_at = itertools.islice(service.free.items, _AGENTS_LOOKED_AT)
    slots = sum(view.free for view in looked_at) - service.withdrawing
    due: list[actions.Action] = []
    for flight in itertools.islice(
        service.waiting.values(), _FLIGHTS_LOOKED_AT
    ):
        if len(due) >= slots:
            break
        if _is_worth_it(flight, known, now):
            due.append(withdraw(service, flight, now))
    return due


def withdraw(
    service: service_view.ServiceView, flight: flights.Flight, now: float
) -> actions.Withdraw:
    """Begin the withdrawal of a waiting attempt."""
    flight.is_withdrawing = True
    flight.withdrawn_at = now
    flight.job.withdrawals += 1
    service.withdrawing += 1
    return actions.Withdraw(attempt=flight.attempt, agent=flight.agent)


def may_withdraw(flight: flights.Flight) -> bool:
    """Return whether an attempt waits and was not moved too often."""
    if flight.started_at is not None or flight.is_withdrawing:
        return False
    return flight.job.withdrawals < _MOST_WITHDRAWALS


def _is_worth_it(
    flight: flights.Flight, known: directory.Directory, now: float
) -> bool:
    if not may_withdraw(flight):
        return False
    if now - flight.sent_at < SHORTEST_WAIT:
        return False
    view = known.find(flight.agent)
    return view is None or view.free == 0
