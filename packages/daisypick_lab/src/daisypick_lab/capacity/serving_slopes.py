"""Gate and dispatcher: time and memory of their decisions."""

import random

from daisypick_core.fairness import share_order
from daisypick_core.gate import admission
from daisypick_core.gate import concurrency
from daisypick_core.gate import gate as core_gate
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.messages import load as load_message
from daisypick_core.routing import dispatcher as core_dispatcher
from daisypick_lab.capacity import slopes

_SLOTS = 16
_ROUNDS = 400


def _make_attempt(number: int, organisations: int) -> attempt_message.Attempt:
    return attempt_message.Attempt(
        attempt_id=f"a{number}",
        request_id=f"r{number}",
        organisation=f"organisation-{number % organisations:05d}",
        service="model-1",
        estimate=300.0,
        deadline=1e9,
        incarnation="g",
        epoch=0,
        router="10.0.0.1:80",
    )


def _make_gate() -> core_gate.Gate:
    gate = core_gate.Gate(
        incarnation="g",
        order=share_order.ShareOrder(share_by_organisation={}),
        limit=concurrency.ConcurrencyLimit(slots=_SLOTS, cold_slots=_SLOTS),
        limits=core_gate.GateLimits(
            waiting_per_organisation=1_000_000, waiting_in_all=1_000_000
        ),
    )
    gate.undrain(admission.REMOVED, 0.0)
    return gate


@slopes.register(
    "gate_cpu",
    unit="seconds a request",
    against="organisations that wait at the gate",
    points=(25, 50, 100, 200, 400),
)
def gate_cpu(organisations: int) -> float:
    """Processor time to offer, start and finish an attempt."""
    gate = _make_gate()
    number = 0
    running: list[str] = []
    for number in range(2 * organisations + _SLOTS):
        due = gate.offer(_make_attempt(number, organisations), 0.0)
        running += [action.attempt.attempt_id for action in due]

    def _serve() -> None:
        nonlocal number
        for _ in range(_ROUNDS):
            number += 1
            due = gate.offer(_make_attempt(number, organisations), 1.0)
            due += gate.finish(
                running.pop(0), cost=300.0, is_healthy=True, now=1.0
            )
            running.extend(action.attempt.attempt_id for action in due)

    return slopes.cpu_seconds(_serve, count=_ROUNDS)


@slopes.register(
    "gate_memory",
    unit="bytes",
    against="attempts that wait at the gate",
    points=(500, 1_000, 2_000, 4_000),
)
def gate_memory(attempts: int) -> float:
    """Memory of waiting attempts, without their bodies."""

    def _fill() -> core_gate.Gate:
        gate = _make_gate()
        for number in range(attempts):
            gate.offer(_make_attempt(number, 200), 0.0)
        return gate

    return slopes.memory_bytes(_fill)


def _make_load(**fields: int) -> load_message.Load:
    values = {"running": 0, "waiting": 0, **fields}
    return load_message.Load(
        incarnation="g",
        epoch=0,
        generation=1,
        limit=_SLOTS,
        running=values["running"],
        waiting=values["waiting"],
        is_draining=False,
    )


def _make_dispatcher(agents: int) -> core_dispatcher.Dispatcher:
    dispatcher = core_dispatcher.Dispatcher(
        router="10.0.0.1:80",
        rng=random.Random(1),
        limits=core_dispatcher.DispatcherLimits(
            queued_per_organisation=1_000_000, queued_in_all=1_000_000
        ),
    )
    addresses = [
        core_dispatcher.AgentAddress(
            address=f"10.1.{n // 250}.{n % 250}:80",
            service="model-1",
            data_centre=f"dc-{n % 12}",
        )
        for n in range(agents)
    ]
    dispatcher.set_agents(addresses, 0.0)
    for entry in addresses:
        dispatcher.hear(entry.address, _make_load(), 0.0)
    return dispatcher


def _make_request(number: int, organisations: int) -> core_dispatcher.Request:
    return core_dispatcher.Request(
        request_id=f"r{number}",
        organisation=f"organisation-{number % organisations:05d}",
        service="model-1",
        estimate=300.0,
        deadline=1e9,
        prefix=f"{number % organisations:016x}",
    )


def _serve_requests(
    dispatcher: core_dispatcher.Dispatcher, organisations: int, first: int
) -> None:
    """Submit requests and carry each through at once."""
    for number in range(first, first + _ROUNDS):
        due = dispatcher.submit(_make_request(number, organisations), 1.0)
        for action in due:
            attempt_id = action.attempt.attempt_id
            dispatcher.hear(action.agent, _make_load(running=1), 1.0)
            dispatcher.started(attempt_id, 1.0)
            dispatcher.first_token(attempt_id, 1.0)
            dispatcher.hear(action.agent, _make_load(), 1.0)
            dispatcher.finished(attempt_id, 1.0)


@slopes.register(
    "dispatcher_cpu",
    unit="seconds a request",
    against="agents of the service",
    points=(23, 69, 138, 275),
)
def dispatcher_cpu(agents: int) -> float:
    """Processor time of a request that finds a free agent."""
    dispatcher = _make_dispatcher(agents)
    firsts = iter(range(0, 10**9, _ROUNDS))
    return slopes.cpu_seconds(
        lambda: _serve_requests(dispatcher, 50, next(firsts)), count=_ROUNDS
    )


@slopes.register(
    "dispatcher_backlog_cpu",
    unit="seconds a request",
    against="organisations with a backlog at the router",
    points=(25, 50, 100, 200),
)
def dispatcher_backlog_cpu(organisations: int) -> float:
    """Processor time of a request at a router with a backlog."""
    dispatcher = _make_dispatcher(23)
    out = []
    number = 0
    for number in range(organisations * 60):
        out += dispatcher.submit(_make_request(number, organisations), 0.0)

    def _serve() -> None:
        nonlocal number
        for _ in range(_ROUNDS):
            number += 1
            action = out.pop(0)
            attempt_id = action.attempt.attempt_id
            busy = _make_load(running=_SLOTS, waiting=4)
            due = dispatcher.started(attempt_id, 1.0)
            due += dispatcher.hear(action.agent, busy, 1.0)
            due += dispatcher.finished(attempt_id, 1.0)
            due += dispatcher.submit(_make_request(number, organisations), 1.0)
            out.extend(one for one in due if hasattr(one, "agent"))

    return slopes.cpu_seconds(_serve, count=_ROUNDS)
