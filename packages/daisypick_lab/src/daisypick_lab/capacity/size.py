"""The size to design for, and the budgets of a node.

Source: the operators' plan for the next two years.
"""

import typing


class Size(typing.NamedTuple):
    """What the fleet shall carry; rates are a second."""

    nodes: int = 690
    replicas: int = 3300
    requests: float = 52_000.0
    tokens: float = 14_000_000.0
    organisations: int = 22_000
    backlogged: int = 2_200
    models: int = 12
    data_centres: int = 12
    changes: float = 12_000 / 86_400

    @property
    def agents_per_service(self) -> int:
        """Agents of one model."""
        return round(self.replicas / self.models)

    @property
    def agents_per_collector(self) -> int:
        """Agents of one model in one data centre."""
        return round(self.agents_per_service / self.data_centres)

    @property
    def backlogged_per_service(self) -> int:
        """Backlogged organisations of one model."""
        return round(self.backlogged / self.models)

    @property
    def processes(self) -> int:
        """Routers and agents."""
        return self.nodes + self.replicas


class Budget(typing.NamedTuple):
    """What a node may spend for control, and the platform in all."""

    core: float = 0.03
    memory: float = 256e6
    bytes: float = 27_000.0
    platform_writes: float = 300.0
    platform_reads: float = 2_000.0


SIZE = Size()
BUDGET = Budget()
