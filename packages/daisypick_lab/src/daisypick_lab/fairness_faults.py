"""Faults of the tally nodes, scheduled on a fleet before it runs.

A plan is a function registered with ``@register`` that schedules its steps on
the virtual clock of the fleet.
"""

from collections.abc import Callable

from daisypick_lab import fairness_fleet

FAULT_AT = 60.0
FAULT_SECONDS = 60.0
DOWN_SECONDS = 5.0

Plan = Callable[[fairness_fleet.Fleet], None]

plan_by_name: dict[str, Plan] = {}


def register(name: str) -> Callable[[Plan], Plan]:
    """Register a plan under a name."""

    def _add(plan: Plan) -> Plan:
        plan_by_name[name] = plan
        return plan

    return _add


def _role_addresses(fleet: fairness_fleet.Fleet) -> set[str]:
    node = fleet.agents[0].node
    return {node.collector_address, *node.heads}


@register("collector and head die at once")
def kill_collector_and_head(fleet: fairness_fleet.Fleet) -> None:
    """Kill a collector and all heads at the same time."""

    def _kill() -> None:
        for address in _role_addresses(fleet):
            fleet.restart(address, DOWN_SECONDS)

    fleet.at(FAULT_AT, _kill)


@register("head dies twice")
def kill_head_twice(fleet: fairness_fleet.Fleet) -> None:
    """Kill the head, and again after it has restarted."""

    def _kill() -> None:
        fleet.restart(fleet.agents[0].node.heads[0], DOWN_SECONDS)

    fleet.at(FAULT_AT, _kill)
    fleet.at(FAULT_AT + FAULT_SECONDS, _kill)


@register("halves lose each other for 60 s")
def split_halves(fleet: fairness_fleet.Fleet) -> None:
    """Partition the agents of each data centre into two halves."""

    def _side(agent: fairness_fleet.Agent) -> int:
        index = fleet.agents.index(agent)
        return index // fleet.settings.data_centres % 2

    def _split() -> None:
        fleet.set_views(
            lambda agent: [
                one for one in fleet.agents if _side(one) == _side(agent)
            ]
        )

    fleet.at(FAULT_AT, _split)
    fleet.at(FAULT_AT + FAULT_SECONDS, lambda: _restore_views(fleet))


@register("two collectors and two heads for 60 s")
def duplicate_roles(fleet: fairness_fleet.Fleet) -> None:
    """Make every other agent consider the collector and heads dead."""

    def _duplicate_roles() -> None:
        holders = _role_addresses(fleet)
        others = [one for one in fleet.agents if one.address not in holders]
        fleet.set_views(
            lambda agent: (
                others if fleet.agents.index(agent) % 2 else fleet.agents
            )
        )

    fleet.at(FAULT_AT, _duplicate_roles)
    fleet.at(FAULT_AT + FAULT_SECONDS, lambda: _restore_views(fleet))


@register("every agent restarts, one in 2 s")
def restart_all(fleet: fairness_fleet.Fleet) -> None:
    """Restart the agents one after another."""
    for index in range(fleet.settings.agents):
        address = fleet.agents[index].address

        def _restart(address: str = address) -> None:
            fleet.restart(address, 1.0)

        fleet.at(FAULT_AT + 2.0 * index, _restart)


@register("half the agents join 60 s late")
def join_late(fleet: fairness_fleet.Fleet) -> None:
    """Start every other agent late and with no state."""

    def _stop() -> None:
        for agent in fleet.agents[::2]:
            fleet.restart(agent.address, FAULT_AT)

    fleet.at(0.0, _stop)


def _restore_views(fleet: fairness_fleet.Fleet) -> None:
    fleet.set_views(lambda agent: fleet.agents)
