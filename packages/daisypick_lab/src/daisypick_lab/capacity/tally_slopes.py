"""The exchange of service: bytes and time of reports and their answers."""

import random

from daisypick_core.fairness import collector as collector_module
from daisypick_core.fairness import head as head_module
from daisypick_core.fairness import reports
import msgspec

from daisypick_lab.capacity import slopes

_ROWS = (50, 100, 200, 400)
_AGENTS = 23


def make_report(agent: int, rows: int, sequence: int) -> reports.AgentReport:
    """Return the report of one agent."""
    rng = random.Random(agent * 1_000 + sequence)
    return reports.AgentReport(
        incarnation=f"{agent:032x}",
        sequence=sequence,
        service="model-1",
        largest=8_000.0,
        rows=[
            reports.AgentRow(
                organisation=f"organisation-{n:05d}",
                served=float(sequence * 1_000 + rng.randrange(999)),
                included=float((sequence - 1) * 1_000),
                is_waiting=True,
            )
            for n in range(rows)
        ],
    )


class _Exchange:
    """A collector with its head, by direct calls."""

    def __init__(self, rows: int) -> None:
        self._rows = rows
        self.sequence = 0
        self.collector = collector_module.Collector(
            incarnation="c", service="model-1"
        )
        self.head = head_module.Head(incarnation="h", share_by_organisation={})

    def run_round(self) -> list[int]:
        """Let every agent report and the collector relay; return sizes."""
        self.sequence += 1
        now = float(self.sequence)
        sizes = []
        for agent in range(_AGENTS):
            report = make_report(agent, self._rows, self.sequence)
            answer = self.collector.receive(report, now)
            sizes.append(_size(report) + _size(answer))
        return sizes

    def relay(self) -> int:
        """Relay to the head once; return the size of the exchange."""
        size = 0
        now = float(self.sequence)
        for address, relay in self.collector.make_relays(
            lambda _: "head", ["head"], now
        ):
            answer = self.head.receive(relay, now)
            self.collector.answered(address, answer, now)
            size += _size(relay) + _size(answer)
        return size


def _size(message: object) -> int:
    return len(msgspec.json.encode(message))


def _warm(rows: int) -> _Exchange:
    exchange = _Exchange(rows)
    for _ in range(3):
        exchange.run_round()
        exchange.relay()
    return exchange


@slopes.register(
    "report_bytes",
    unit="bytes a report and its answer",
    against="organisations in the report",
    points=_ROWS,
)
def report_bytes(rows: int) -> float:
    """Bytes of an agent's report and its answer."""
    return float(max(_warm(rows).run_round()))


@slopes.register(
    "relay_bytes",
    unit="bytes a relay and its answer",
    against="organisations",
    points=_ROWS,
)
def relay_bytes(rows: int) -> float:
    """Bytes of a collector's relay of 23 agents and its answer."""
    exchange = _warm(rows)
    exchange.run_round()
    return float(exchange.relay())


@slopes.register(
    "collect_cpu",
    unit="seconds a report",
    against="organisations in the report",
    points=_ROWS,
)
def collect_cpu(rows: int) -> float:
    """Time of a collector to take in a report, codec included."""
    exchange = _warm(rows)
    encoded = [
        msgspec.json.encode(make_report(agent, rows, exchange.sequence + 1))
        for agent in range(_AGENTS)
    ]
    now = float(exchange.sequence + 1)

    def _collect() -> None:
        for data in encoded:
            report = msgspec.json.decode(data, type=reports.AgentReport)
            msgspec.json.encode(exchange.collector.receive(report, now))

    return slopes.cpu_seconds(_collect, count=_AGENTS)


@slopes.register(
    "relay_cpu",
    unit="seconds a relay",
    against="organisations",
    points=_ROWS,
)
def relay_cpu(rows: int) -> float:
    """Time of collector and head together for one relay of 23 agents."""
    best = float("inf")
    exchange = _warm(rows)
    for _ in range(slopes.REPEATS):
        exchange.run_round()
        once = slopes.time.process_time()
        exchange.relay()
        best = min(best, slopes.time.process_time() - once)
    return best
