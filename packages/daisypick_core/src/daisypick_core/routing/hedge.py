"""Giving up on agents that do not answer.

An agent that hangs, or that the network has lost, keeps what waits there: the
router asks for it back and hears nothing. A request that may be repeated goes
elsewhere after a moment, and the silent agent is told to cancel its attempt in
case it still hears. It costs a retry of the budget, so that a region that is
cut off does not double the load of the others. A request that may not be
repeated stays where it is until its connection tells.
"""

import itertools

from daisypick_core.routing import flights
from daisypick_core.routing import retry_budget
from daisypick_core.routing import service_view

# Seconds without an answer to a withdrawal.
HEDGE_AFTER = 1.0
_FLIGHTS_LOOKED_AT = 64


def find_silent(
    service: service_view.ServiceView,
    budget: retry_budget.RetryBudget,
    now: float,
) -> list[flights.Flight]:
    """Return flights to give up, each paid for from the budget."""
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
