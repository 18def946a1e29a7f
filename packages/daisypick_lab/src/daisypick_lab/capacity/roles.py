"""Each role's state, messages, time and memory at the size to design for.

A role is a function under ``@role`` that gets the measured slopes and returns
its rows. Every figure is either measured here or computed from such by the
formula that stands beside it.
"""

from collections.abc import Callable
from collections.abc import Mapping
import typing

from daisypick_core.claims import batcher
from daisypick_core.claims import entry as claim_entry
from daisypick_core.configuration import rounds
from daisypick_lab.capacity import size as size_module
from daisypick_lab.capacity import slopes
from daisypick_node import configuration_service

_HEADER_BYTES = 330.0
# Requests that may not be repeated and carry a key, as a part of all. The
# plan does not say; this is an assumption.
_KEYED_PART = 0.02
_WATCHERS_PER_ROLE = 2
_WATCH_SECONDS = 25.0


class Row(typing.NamedTuple):
    """One figure of a role.

    Attributes:
        what: What is counted.
        value: The figure.
        unit: Its unit.
        budget: What it may be, ``None`` if there is no budget.
        how: Formula, with its inputs.
    """

    what: str
    value: float
    unit: str
    budget: float | None
    how: str

    @property
    def is_missed(self) -> bool:
        """Whether the figure is over its budget."""
        return self.budget is not None and self.value > self.budget


class Inputs(typing.NamedTuple):
    """What a role is computed from."""

    size: size_module.Size
    budget: size_module.Budget
    by_name: Mapping[str, slopes.Measured]

    def at(self, name: str, x: float) -> float:
        """Return a measured slope's value at ``x``."""
        return self.by_name[name].line.at(x)

    @property
    def exchange(self) -> float:
        """Processor time of one end of a control exchange, seconds."""
        return self.at("exchange_cpu", 1_000) / 2


Role = Callable[[Inputs], list[Row]]

by_name: dict[str, Role] = {}


def role(name: str) -> Callable[[Role], Role]:
    """Register the computation of a role."""

    def _add(compute: Role) -> Role:
        by_name[name] = compute
        return compute

    return _add


class _Share(typing.NamedTuple):
    """A part of a node's control."""

    cpu: float
    bytes: float


def _follow_configuration(inputs: Inputs) -> _Share:
    """Return what following the configuration costs any process."""
    limits = rounds.DEFAULT_LIMITS
    changes = inputs.size.changes
    idle = 2.0 / limits.exchange_seconds
    notices = 2.0 * limits.notice_fanout * changes
    fetches = 2.0 * changes
    taken = inputs.at("configuration_change_cpu", inputs.size.organisations)
    change = inputs.at("configuration_change_bytes", inputs.size.organisations)
    notice = inputs.at("notice_bytes", configuration_service.MEMBERS_TOLD)
    return _Share(
        cpu=(idle + notices + fetches) * inputs.exchange + changes * taken,
        bytes=(idle + notices) * (notice + _HEADER_BYTES)
        + fetches * (change + _HEADER_BYTES),
    )


def _tally(inputs: Inputs, which: str, exchanges: float) -> _Share:
    """Return what the exchange of service costs an agent.

    ``which`` is ``"median"`` or ``"most"``; HTTP comes on top of what was
    measured, for each exchange.
    """
    agents = inputs.size.agents_per_service
    return _Share(
        cpu=inputs.at(f"tally_cpu_{which}", agents)
        + exchanges * inputs.exchange,
        bytes=inputs.at(f"tally_bytes_{which}", agents)
        + exchanges * _HEADER_BYTES,
    )


def _budgeted(
    inputs: Inputs, parts: Mapping[str, _Share], memory: float, how: str
) -> list[Row]:
    """Return the rows that have a budget."""
    cpu = sum(part.cpu for part in parts.values())
    sent = sum(part.bytes for part in parts.values())
    names = " + ".join(parts)
    return [
        Row("control: time", cpu, "cores", inputs.budget.core, names),
        Row("control: bytes", sent, "bytes/s", inputs.budget.bytes, names),
        Row("memory of state", memory, "bytes", inputs.budget.memory, how),
    ]


@role("router")
def compute_router(inputs: Inputs) -> list[Row]:
    """Return the rows of a router node."""
    requests = inputs.size.requests / inputs.size.nodes
    tokens = inputs.size.tokens / inputs.size.nodes
    decide = requests * inputs.at(
        "dispatcher_cpu", inputs.size.agents_per_service
    )
    memory = inputs.at("configuration_memory", inputs.size.organisations)
    return [
        Row("requests", requests, "1/s", None, "requests / nodes"),
        Row("tokens", tokens, "1/s", None, "tokens / nodes"),
        Row(
            "decisions: time",
            decide,
            "cores",
            None,
            "requests x dispatcher_cpu(agents of a service)",
        ),
        *_budgeted(
            inputs,
            {"configuration": _follow_configuration(inputs)},
            memory,
            "configuration_memory(organisations)",
        ),
    ]


@role("agent")
def compute_agent(inputs: Inputs) -> list[Row]:
    """Return the rows of an agent."""
    requests = inputs.size.requests / inputs.size.replicas
    waiting = inputs.size.backlogged_per_service
    decide = requests * inputs.at("gate_cpu", waiting)
    memory = inputs.at("configuration_memory", inputs.size.organisations)
    memory += inputs.at("gate_memory", 1_024)
    return [
        Row("requests", requests, "1/s", None, "requests / replicas"),
        Row(
            "decisions: time",
            decide,
            "cores",
            None,
            "requests x gate_cpu(backlogged of a service)",
        ),
        *_budgeted(
            inputs,
            {
                "configuration": _follow_configuration(inputs),
                "tally": _tally(inputs, "median", 1.0),
            },
            memory,
            "configuration_memory + gate_memory(1,024 waiting)",
        ),
    ]


@role("busiest agent of a service")
def compute_busiest(inputs: Inputs) -> list[Row]:
    """Return the rows of the agent that collects, or is a head, most."""
    agents = inputs.size.agents_per_service
    exchanges = inputs.at("tally_exchanges_most", agents)
    memory = inputs.at("configuration_memory", inputs.size.organisations)
    parts = {
        "configuration": _follow_configuration(inputs),
        "tally": _tally(inputs, "most", exchanges),
    }
    return [
        Row(
            "agents of the service",
            agents,
            "",
            None,
            "replicas / models",
        ),
        Row(
            "tally exchanges",
            exchanges,
            "1/s",
            None,
            "tally_exchanges_most(agents)",
        ),
        *_budgeted(inputs, parts, memory, "configuration_memory"),
    ]


@role("claim batcher")
def compute_batcher(inputs: Inputs) -> list[Row]:
    """Return the rows of all batchers together, and of the store."""
    claims = inputs.size.requests * _KEYED_PART
    interval = batcher.BatcherLimits().write_interval
    writes = min(claims, claim_entry.SHARD_COUNT / interval)
    batch = claims / writes
    size = inputs.at("claim_write_bytes", batch)
    return [
        Row(
            "claims",
            claims,
            "1/s",
            None,
            f"requests x {_KEYED_PART} (assumed)",
        ),
        Row(
            "platform writes",
            writes,
            "1/s",
            inputs.budget.platform_writes,
            "min(claims, shards / write interval)",
        ),
        Row("bytes a write", size, "bytes", 1e6, "claim_write_bytes(batch)"),
        Row(
            "time of a write",
            inputs.at("claim_cpu", batch),
            "core seconds",
            None,
            "claim_cpu(batch)",
        ),
    ]


@role("configuration watcher")
def compute_watcher(inputs: Inputs) -> list[Row]:
    """Return the rows of the processes that watch the store."""
    watchers = 2 * _WATCHERS_PER_ROLE * inputs.size.data_centres
    changes = inputs.size.changes
    reads = watchers * (changes * 2 + 1 / _WATCH_SECONDS)
    return [
        Row(
            "watchers",
            watchers,
            "",
            None,
            "2 roles x 2 x data centres",
        ),
        Row(
            "platform calls",
            reads,
            "1/s",
            inputs.budget.platform_reads,
            "watchers x (2 x changes + 1 / watch time)",
        ),
    ]
