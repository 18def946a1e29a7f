"""What a run of the fairness measurement consists of."""

import typing

from daisypick_core.fairness import share_order

SERVICE = "desk"
ONE_QUEUE = "everyone"
# How gates and routers order what waits.
BY_ORDER = "by_order"  # The gate's share order.
FIRST_COME = "first_come"  # The gate in the order of arrival.
ROUTER_FAIR = "router_fair"  # That, behind routers that are fair each.
ROUTERS = 6
ROUTER_WINDOW = 4
NETWORK_DELAY = 0.003
CALL_TIMEOUT = 1.0
PARETO_SHAPE = 1.5
LEAST_COST = 50
LARGEST_COST = 4000
HINT_ERROR = 8.0


class Tenant(typing.NamedTuple):
    """An organisation of the measurement.

    Attributes:
        name: Its name.
        share: Its share.
        reach: Part of the agents that it reaches, above 0 up to 1.
        depth: Attempts that it keeps waiting at each of them.
        routers: Routers that it calls; only ``ROUTER_FAIR`` tells them
            apart.
        off_from: When it stops sending, seconds.
        off_until: When it sends again.
    """

    name: str
    share: float
    reach: float = 1.0
    depth: int = 2
    routers: tuple[int, ...] = tuple(range(ROUTERS))
    off_from: float = float("inf")
    off_until: float = float("inf")


class Faults(typing.NamedTuple):
    """What the network does to reports, as probabilities.

    Attributes:
        lost: The report or its answer is lost.
        doubled: The report arrives twice.
        late: The report arrives up to 3 periods late, crossing others.
    """

    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0


class FleetSettings(typing.NamedTuple):
    """One run.

    Attributes:
        tenants: The organisations.
        agents: Agents, in equal parts in the data centres.
        data_centres: Data centres.
        slots: Slots of a backend server.
        speeds: Tokens a second and slot, repeated over the agents.
        policy: Order policy of the gates.
        gain: Its gain.
        has_tally: Whether agents exchange reports.
        mode: ``BY_ORDER``, ``FIRST_COME`` or ``ROUTER_FAIR``.
        estimator: Name of the cost estimator.
        period: Seconds between reports.
        faults: What the network does.
        seed: Seed of all randomness.
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
