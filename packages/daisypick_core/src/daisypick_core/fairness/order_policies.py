"""The registered policies that order organisations at a gate.

A policy maps the gate's state of an organisation to a key; the lowest key is
served next. Keys are compared only within one decision at one gate. A new
policy is a new function under ``@register``.

Ordering by the fleet's totals alone makes all ``N`` agents serve the same
lagging organisation until the next report, ``T`` seconds later. It overshoots
by the work of ``N`` agents, so the gap grows with ``T``. With a *damped* key
each agent therefore corrects only its part, ``gain / N`` of the lag, and is
fair in its own service since the last report. Production uses a damped key.

Examples:
    >>> state = OrganisationState(
    ...     own_total=7.0, since_report=3.0, fleet_lag=-40.0, agents=20,
    ...     reach=5, gain=2.0)
    >>> by_name["own_service"](state), by_name["fleet_totals"](state)
    (7.0, -37.0)
    >>> by_name["damped"](state), by_name["damped_by_reach"](state)
    (-1.0, -13.0)
"""

from collections.abc import Callable
import typing


class OrganisationState(typing.NamedTuple):
    """State of one organisation as input of a policy.

    Attributes:
        own_total: Total virtual service at this gate, tokens per share.
        since_report: Virtual service at this gate that the fleet's virtual
            service does not include yet, tokens per share.
        fleet_lag: Virtual service across the fleet minus the fleet's virtual
            time; negative when the organisation is behind; 0 if unknown.
        agents: Agents of the service, at least 1.
        reach: Agents at which the organisation waits, at least 1.
        gain: Fraction of the lag that all agents together correct per report.
    """

    own_total: float
    since_report: float
    fleet_lag: float
    agents: int
    reach: int
    gain: float


Policy = Callable[[OrganisationState], float]

by_name: dict[str, Policy] = {}


def register(name: str) -> Callable[[Policy], Policy]:
    """Register an order policy under a name."""

    def _add(policy: Policy) -> Policy:
        by_name[name] = policy
        return policy

    return _add


@register("own_service")
def own_service_key(state: OrganisationState) -> float:
    """Order by the service of this gate only."""
    return state.own_total


@register("fleet_totals")
def fleet_totals_key(state: OrganisationState) -> float:
    """Order by the fleet's totals without damping."""
    return state.since_report + state.fleet_lag


@register("damped")
def damped_key(state: OrganisationState) -> float:
    """Correct an equal fraction of the lag at each agent of the service."""
    return state.since_report + state.gain * state.fleet_lag / state.agents


@register("damped_by_reach")
def damped_by_reach_key(state: OrganisationState) -> float:
    """Correct the lag only at the agents where the organisation waits."""
    return state.since_report + state.gain * state.fleet_lag / state.reach
