"""The exchange of service, by all agents of one service at once.

Every agent of a service is a real ``TallyNode``; reports and answers go
through the codec as on the wire, on a virtual clock. What each node sends,
receives and spends is counted. Every organisation waits at every agent, which
is the worst case for the rows of a report.
"""

import functools
import random
import statistics
import time
import typing

import msgspec

from daisypick_core.fairness import reports
from daisypick_core.fairness import share_order
from daisypick_core.fairness import tally_node
from daisypick_lab.capacity import size as size_module
from daisypick_lab.capacity import slopes

_AGENT_POINTS = (46, 92, 184, 275)
_ORGANISATION_POINTS = (23, 46, 92, 183)
_ORGANISATIONS = size_module.SIZE.backlogged_per_service
_FEWER_AGENTS = 92
_REQUESTS = size_module.SIZE.requests / size_module.SIZE.replicas
_TOKENS = size_module.SIZE.tokens / size_module.SIZE.requests
_STEP = 0.25
_WARM_SECONDS = 20.0
_SECONDS = 20.0

_MESSAGES: dict[type, type] = {
    reports.AgentReport: reports.AgentAnswer,
    reports.RelayReport: reports.RelayAnswer,
}


class Spent(typing.NamedTuple):
    """What nodes spend a second on the exchange.

    Attributes:
        bytes_median: Bytes of the median node, both directions.
        bytes_most: Bytes of the node that has most.
        cpu_median: Processor time of the median node, without HTTP.
        cpu_most: Processor time of the node that spends most.
        exchanges_most: Exchanges of the node that has most.
    """

    bytes_median: float
    bytes_most: float
    cpu_median: float
    cpu_most: float
    exchanges_most: float


class _Node:
    """One agent's node, and what it has spent."""

    def __init__(self, *, number: int, organisations: int) -> None:
        data_centre = f"dc-{number % size_module.SIZE.data_centres}"
        self.member = tally_node.TallyAgent(
            f"10.1.{number // 250}.{number % 250}:19000", data_centre
        )
        self.order = share_order.ShareOrder(share_by_organisation={})
        self.organisations = [
            f"organisation-{n:05d}" for n in range(organisations)
        ]
        self.rng = random.Random(number)
        self.node = tally_node.TallyNode(
            address=self.member.address,
            data_centre=data_centre,
            service="model-1",
            incarnation=f"{number:032x}",
            order=self.order,
            share_by_organisation={},
            first_report_in=self.rng.random(),
        )
        for organisation in self.organisations:
            self.order.arrive(organisation, 0.0)
        self.reset()

    def reset(self) -> None:
        """Start counting."""
        self.bytes = 0
        self.cpu = 0.0
        self.exchanges = 0

    def serve(self, seconds: float) -> None:
        """Charge what the agent serves in some time."""
        for _ in range(round(_REQUESTS * seconds)):
            self.order.charge(self.rng.choice(self.organisations), _TOKENS)


class _Service:
    """All nodes of a service and the clock between them."""

    def __init__(self, *, agents: int, organisations: int) -> None:
        self.nodes = [
            _Node(number=n, organisations=organisations) for n in range(agents)
        ]
        self._node_by_address = {
            node.member.address: node for node in self.nodes
        }
        members = [node.member for node in self.nodes]
        for node in self.nodes:
            node.node.set_agents(members)
        self._now = 0.0

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self._now + seconds
        while self._now < end:
            self._now += _STEP
            for node in self.nodes:
                node.serve(_STEP)
                began = time.process_time()
                sends = node.node.tick(self._now)
                node.cpu += time.process_time() - began
                for send in sends:
                    self._exchange(node, send)

    def _exchange(self, sender: _Node, send: tally_node.Send) -> None:
        receiver = self._node_by_address[send.address]
        began = time.process_time()
        data = msgspec.json.encode(send.report)
        sent = time.process_time()
        report = msgspec.json.decode(data, type=type(send.report))
        answer = msgspec.json.encode(receiver.node.receive(report, self._now))
        answered = time.process_time()
        decoded = msgspec.json.decode(answer, type=_MESSAGES[type(send.report)])
        sender.node.answered(send.address, decoded, self._now)
        sender.cpu += sent - began + time.process_time() - answered
        receiver.cpu += answered - sent
        for node in (sender, receiver):
            node.bytes += len(data) + len(answer)
            node.exchanges += 1


@functools.cache
def measure_service(agents: int, organisations: int) -> Spent:
    """Return what the nodes of one service spend a second."""
    service = _Service(agents=agents, organisations=organisations)
    service.run(_WARM_SECONDS)
    for node in service.nodes:
        node.reset()
    service.run(_SECONDS)
    sizes = [node.bytes / _SECONDS for node in service.nodes]
    times = [node.cpu / _SECONDS for node in service.nodes]
    return Spent(
        bytes_median=statistics.median(sizes),
        bytes_most=max(sizes),
        cpu_median=statistics.median(times),
        cpu_most=max(times),
        exchanges_most=max(n.exchanges for n in service.nodes) / _SECONDS,
    )


def _against_agents(name: str, unit: str) -> None:
    """Register one figure against agents and against organisations."""

    @slopes.register(
        f"tally_{name}",
        unit=unit,
        against=f"agents of a service, {_ORGANISATIONS} organisations wait",
        points=_AGENT_POINTS,
    )
    def _by_agents(agents: int) -> float:
        return getattr(measure_service(agents, _ORGANISATIONS), name)

    @slopes.register(
        f"tally_{name}_by_organisation",
        unit=unit,
        against=f"organisations that wait, {_FEWER_AGENTS} agents",
        points=_ORGANISATION_POINTS,
    )
    def _by_organisations(organisations: int) -> float:
        return getattr(measure_service(_FEWER_AGENTS, organisations), name)


_against_agents("bytes_median", "bytes a second")
_against_agents("bytes_most", "bytes a second")
_against_agents("cpu_median", "seconds a second")
_against_agents("cpu_most", "seconds a second")
_against_agents("exchanges_most", "exchanges a second")
