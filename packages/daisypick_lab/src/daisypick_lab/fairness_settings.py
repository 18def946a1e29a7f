"""Settings of a run of the fairness measurement."""

import typing

from daisypick_core.fairness import share_order

SERVICE = "desk"
ONE_QUEUE = "everyone"
# Modes: how gates and routers order waiting attempts.
BY_ORDER = "by_order"  # Gates use their share order.
FIRST_COME = "first_come"  # Gates use the order of arrival.
ROUTER_FAIR = "router_fair"  # The same, but each router is fair by itself.
ROUTERS = 6
ROUTER_WINDOW = 4
NETWORK_DELAY = 0.003
CALL_TIMEOUT = 1.0
PARETO_SHAPE = 1.5
MIN_COST = 50
MAX_COST = 4000
HINT_ERROR = 8.0


class Tenant(typing.NamedTuple):
    """An organisation of the measurement.

    Attributes:
        name: Name of the organisation.
        share: Its share of capacity.
        reach: Fraction of the agents that it reaches, above 0 up to 1.
        depth: Attempts that it keeps waiting at each of them.
        routers: Routers that it calls; only ``ROUTER_FAIR`` distinguishes
            them.
        off_from: Time at which it stops sending, seconds.
        off_until: Time at which it resumes sending, seconds.
    """

    name: str
    share: float
    reach: float = 1.0
    depth: int = 2
    routers: tuple[int, ...] = tuple(range(ROUTERS))
    off_from: float = float("inf")
    off_until: float = float("inf")


class Faults(typing.NamedTuple):
    """Probabilities of network faults that affect reports.

    Attributes:
        lost: The report or its response is lost; drawn for each.
        duplicated: The report arrives twice.
        late: The report arrives up to 3 periods late and out of order.
    """

    lost: float = 0.0
    duplicated: float = 0.0
    late: float = 0.0


class FleetSettings(typing.NamedTuple):
    """Settings of one run.

    Attributes:
        tenants: The organisations.
        agents: Number of agents, distributed evenly over the data centres.
        data_centres: Number of data centres.
        slots: Slots per backend server.
        speeds: Tokens per second and slot, assigned to the agents in turn.
        policy: Order policy of the gates.
        gain: Gain of the policy.
        has_tally: Whether agents exchange reports.
        mode: ``BY_ORDER``, ``FIRST_COME`` or ``ROUTER_FAIR``.
        estimator: Name of the cost estimator.
        period: Seconds between reports.
        faults: Faults of the network.
        seed: Seed of the random numbers.
    """

    tenants: tuple[Tenant, ...]
    agents: int = 60
    data_centres: int = 3
    slots: int = 8
    speeds: tuple[float, ...] = (50.0,)
    policy: str = share_order.DEFAULT_POLICY
    gain: float = share_order.DEFAULT_GAIN
    has_tally: bool = True
    mode: str = BY_ORDER
    estimator: str = share_order.DEFAULT_ESTIMATOR
    period: float = 1.0
    faults: Faults = Faults()
    seed: int = 1
