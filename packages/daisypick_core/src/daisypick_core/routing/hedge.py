"""Failover from agents that do not respond.

An agent that hangs or is unreachable does not respond to the withdrawal of
waiting attempts. After ``HEDGE_AFTER`` a repeatable request is sent to another
agent, and a cancellation is sent to the unresponsive one in case it still
receives messages. This spends from the retry budget, so that a network
partition of one region does not double the load of the others. A request that
must not be repeated stays until its connection ends.
"""

import itertools

from daisypick_core.routing import flights
from daisypick_core.routing import retry_budget
from daisypick_core.routing import service_view

# Time without a response to a withdrawal, seconds.
HEDGE_AFTER = 1.0
_FLIGHTS_LOOKED_AT = 64


def find_silent(
    service: service_view.ServiceView,
    budget: retry_budget.RetryBudget,
    now: float,
) -> list[flights.Flight]:
    """Return attempts to fail over, each charged to the retry budget."""
    silent = []
    for flight in itertools.islice(
        service.waiting.values(), _FLIGHTS_LOOKED_AT
    ):
        if _is_silent(flight, now) and budget.try_spend():
            silent.append(flight)
    return silent


def _is_silent(flight: flights.Flight, now: float) -> bool:
    if not flight.job.request.is_repeatable or not flight.is_withdrawing:
        return False
    return now - flight.withdrawn_at >= HEDGE_AFTER
