"""Real gates and dispatchers under a virtual clock.

The decisions are made by the production code; only sockets, servers and time
are simulated. The model answers questions about queueing: how much capacity
is idle while a router has queued requests, how draining a data centre affects
requests, and where a pick policy sends them. It covers one service and no
platform, so it is not a simulator of a cluster.
"""

import collections
import random
import types
import typing

from daisypick_core.configuration import model
from daisypick_core.fairness import share_order
from daisypick_core.gate import actions as gate_actions
from daisypick_core.gate import attempts
from daisypick_core.gate import concurrency
from daisypick_core.gate import drain_state
from daisypick_core.gate import gate as core_gate
from daisypick_core.gate import idle_peers
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import actions as routing_actions
from daisypick_core.routing import dispatcher as core_dispatcher
from daisypick_lab import server_model
from daisypick_lab import virtual_clock

SERVICE = "assistant"
TICK = 0.1
DELAY = 0.0015


class Sizes(typing.NamedTuple):
    """Sizes of the modelled fleet.

    Attributes:
        routers: Number of routers.
        agents: Number of agents, each in front of one server.
        slots: Slots per server.
        data_centres: Data centres, with agents distributed evenly.
    """

    routers: int = 4
    agents: int = 12
    slots: int = 8
    data_centres: int = 3


class FleetMetrics:
    """Metrics of the whole model.

    Attributes:
        queued: Requests accepted by a router that are not running.
        running: Running attempts.
        limit: Total concurrency limit of the open gates.
        idle_while_queued: Idle slot-seconds while any request was queued.
        slot_seconds_while_queued: Available slot-seconds in that time.
        attempts: Attempts sent by routers.
        submitted: Submitted requests.
        finished: Requests with a complete response.
        failures: Failures returned to callers.
        broken_count: Truncated responses.
        first_tokens: Seconds from arrival to first token.
        starts: Time and agent of each start.
        not_run_by_title: Attempts returned as "not run", by code title.
        announcements: Idle announcements of agents to peers.
        usable_idle_slot_seconds: Idle slot-seconds that queued requests could
            have used.
    """

    def __init__(self, *, clock: virtual_clock.VirtualClock) -> None:
        self.queued = 0
        self.running = 0
        self.limit = 0
        self.idle_while_queued = 0.0
        self.slot_seconds_while_queued = 0.0
        self.attempts = 0
        self.submitted = 0
        self.finished = 0
        self.failures: list[failure_value.Failure] = []
        self.broken_count = 0
        self.first_tokens: list[float] = []
        self.starts: list[tuple[float, str]] = []
        self.not_run_by_title: collections.Counter[str] = collections.Counter()
        self.usable_idle_slot_seconds = 0.0
        self.announcements = 0
        self._clock = clock
        self._since = 0.0

    def record(
        self, *, queued: int = 0, running: int = 0, limit: int = 0
    ) -> None:
        """Account for the time since the last change; apply the changes."""
        now = self._clock.now
        if self.queued > 0:
            span = now - self._since
            self.slot_seconds_while_queued += span * self.limit
            idle = max(0, self.limit - self.running)
            self.idle_while_queued += span * idle
            self.usable_idle_slot_seconds += span * min(idle, self.queued)
        self._since = now
        self.queued += queued
        self.running += running
        self.limit += limit

    def clear(self) -> None:
        """Reset the queueing metrics, for instance after a warm-up."""
        self.record()
        self.idle_while_queued = 0.0
        self.usable_idle_slot_seconds = 0.0
        self.slot_seconds_while_queued = 0.0
        self.attempts = 0
        self.announcements = 0
        self.not_run_by_title.clear()
        self.first_tokens.clear()
        self.starts.clear()

    @property
    def utilisation(self) -> float:
        """Used fraction of the slots that queued requests could fill."""
        if not self.slot_seconds_while_queued:
            return 1.0
        return (
            1.0 - self.usable_idle_slot_seconds / self.slot_seconds_while_queued
        )

    def percentile(self, percent: float) -> float:
        """Return a percentile of the time to first token in seconds."""
        times = sorted(self.first_tokens)
        position = min(len(times) - 1, int(len(times) * percent / 100.0))
        return times[position]


class AgentModel:
    """Drives a real gate; responses go to routers over the network."""

    def __init__(self, *, fleet: "Fleet", name: str, data_centre: str) -> None:
        slots = fleet.sizes.slots
        self.name = name
        self.data_centre = data_centre
        self.gate = core_gate.Gate(
            incarnation=f"{name}-1",
            order=share_order.ShareOrder(share_by_organisation={}),
            limit=concurrency.ConcurrencyLimit(
                slots=slots, cold_slots=fleet.cold_slots
            ),
        )
        self.server = server_model.ServerModel(
            clock=fleet.clock, times=fleet.times
        )
        self.idle_announcer = idle_peers.IdleAnnouncer(
            rng=random.Random(f"{fleet.seed} {name}")
        )
        self._fleet = fleet
        self._limit = 0
        fleet.clock.every(TICK, self._tick)

    def offer(self, attempt: attempt_message.Attempt) -> None:
        """Offer an attempt to the gate."""
        self.perform(self.gate.offer(attempt, self._fleet.clock.now))

    def withdraw(self, attempt: attempt_message.Attempt) -> None:
        """Withdraw an attempt; a waiting one is refused on its stream."""
        status, due = self.gate.withdraw(
            attempt.attempt_id, self._fleet.clock.now, epoch=attempt.epoch
        )
        self.perform(due)
        if status.state == attempts.BARRED and not due:
            self._notify_router(attempt, "returned", _WITHDRAWN)

    def announce_idle(self) -> None:
        """Announce idle slots to some peers if an announcement is due."""
        now = self._fleet.clock.now
        load = self.gate.load()
        if not self._fleet.announces_idle or not self.idle_announcer.is_due(
            free=load.free, waiting=load.waiting, now=now
        ):
            return
        self.idle_announcer.record_announced(now)
        for _ in range(idle_peers.PEERS_PER_ANNOUNCEMENT):
            peer = self._fleet.rng.choice(self._fleet.agents)
            self._fleet.metrics.announcements += 1
            self._fleet.network.send(
                self.name, peer.name, peer.receive_idle, self.name, load
            )

    def receive_idle(self, peer: str, load: load_message.Load) -> None:
        """Receive the announcement of an idle peer."""
        now = self._fleet.clock.now
        if peer != self.name:
            self.perform(self.gate.note_idle(peer, load, now))

    def configure(self, configuration: model.Configuration) -> None:
        """Apply a configuration, which may arrive late or out of order."""
        state = drain_state.derive(configuration, self.name)
        now = self._fleet.clock.now
        self.perform(self.gate.apply_drain_state(state, now))

    def drain(self, reason: str) -> None:
        """Drain the gate for a reason internal to the process."""
        self.perform(self.gate.drain(reason, self._fleet.clock.now))

    def perform(self, due: list[gate_actions.Action]) -> None:
        """Carry actions out."""
        for action in due:
            if isinstance(action, gate_actions.Start):
                self._start(action.attempt)
            elif isinstance(action, gate_actions.Refuse):
                self._notify_router(action.attempt, "returned", action.failure)
            elif isinstance(action, gate_actions.Hint):
                self._notify_router(
                    action.attempt, "hinted", action.agent, action.load
                )
        limit = self.gate.limit.limit if self.gate.admission.is_open else 0
        self._fleet.metrics.record(limit=limit - self._limit)
        self._limit = limit

    def _tick(self) -> None:
        self.perform(self.gate.tick(self._fleet.clock.now))
        self.announce_idle()

    def _start(self, attempt: attempt_message.Attempt) -> None:
        metrics = self._fleet.metrics
        metrics.record(queued=-1, running=1)
        metrics.starts.append((self._fleet.clock.now, self.name))
        self._notify_router(attempt, "started")
        self.server.start(
            attempt.attempt_id,
            self._fleet.tokens_by_request[attempt.request_id],
            attempt.prefix,
            lambda: self._first_token(attempt),
            lambda outcome: self._end(attempt, outcome),
        )

    def _first_token(self, attempt: attempt_message.Attempt) -> None:
        self.gate.progress(attempt.attempt_id, 1, self._fleet.clock.now)
        self._notify_router(attempt, "first_token")

    def _end(
        self,
        attempt: attempt_message.Attempt,
        outcome: server_model.Outcome,
    ) -> None:
        self._fleet.metrics.record(running=-1)
        due = self.gate.finish(
            attempt.attempt_id,
            cost=float(outcome.tokens),
            is_healthy=outcome.is_healthy,
            now=self._fleet.clock.now,
        )
        if outcome.is_healthy:
            self._notify_router(attempt, "finished")
        else:
            self._notify_router(attempt, "broken", _ENGINE_FAILED)
        self.perform(due)
        self.announce_idle()

    def _notify_router(
        self,
        attempt: attempt_message.Attempt,
        event: str,
        *arguments: typing.Any,
    ) -> None:
        router = self._fleet.router_by_name[attempt.router]
        self._fleet.network.send(
            self.name,
            router.name,
            router.answered,
            self.name,
            self.gate.load(),
            event,
            attempt.attempt_id,
            *arguments,
        )


class RouterModel:
    """Drives a real dispatcher."""

    def __init__(self, *, fleet: "Fleet", name: str, policy: str) -> None:
        self.name = name
        self.dispatcher = core_dispatcher.Dispatcher(
            router=name,
            rng=random.Random(f"{fleet.seed} {name}"),
            policy=policy,
            limits=core_dispatcher.DispatcherLimits(
                queued_per_organisation=1_000_000, queued_in_all=1_000_000
            ),
        )
        self._fleet = fleet
        self._sent_at_by_request: dict[str, float] = {}
        fleet.clock.every(TICK, self._tick)

    def submit(self, request: core_dispatcher.Request) -> None:
        """Submit a caller's request to the dispatcher."""
        metrics = self._fleet.metrics
        metrics.record(queued=1)
        metrics.submitted += 1
        now = self._fleet.clock.now
        self._sent_at_by_request[request.request_id] = now
        self.perform(self.dispatcher.submit(request, now))

    def answered(
        self,
        agent: str,
        load: load_message.Load,
        event: str,
        attempt_id: str,
        *arguments: typing.Any,
    ) -> None:
        """Receive an event of an attempt and the load sent with it."""
        now = self._fleet.clock.now
        request_id = attempt_id.rpartition(".")[0]
        if event == "first_token":
            sent_at = self._sent_at_by_request.pop(request_id, None)
            if sent_at is not None:
                self._fleet.metrics.first_tokens.append(now - sent_at)
        elif event == "returned":
            title = arguments[0].code.title
            self._fleet.metrics.not_run_by_title[title] += 1
        elif event == "finished":
            self._fleet.metrics.finished += 1
        elif event == "broken":
            self._fleet.metrics.broken_count += 1
            self._fleet.metrics.record(queued=1)
        self.perform(self.dispatcher.record_load(agent, load, now))
        due = getattr(self.dispatcher, event)(attempt_id, *arguments, now)
        self.perform(due or [])

    def record_load(self, agent: str, load: load_message.Load) -> None:
        """Record the load of an agent."""
        now = self._fleet.clock.now
        self.perform(self.dispatcher.record_load(agent, load, now))

    def configure(self, configuration: model.Configuration) -> None:
        """Apply a configuration."""
        addresses = [
            core_dispatcher.AgentAddress(
                address=server.agent,
                service=server.service,
                data_centre=server.data_centre,
                is_in=configuration.data_centres_by_name[
                    server.data_centre
                ].is_in,
            )
            for server in configuration.backend_servers_by_name.values()
        ]
        now = self._fleet.clock.now
        self.perform(self.dispatcher.set_agents(addresses, now))

    def perform(self, due: list[routing_actions.Action]) -> None:
        """Carry actions out."""
        for action in due:
            if isinstance(action, routing_actions.Fail):
                self._fleet.metrics.record(queued=-1)
                self._fleet.metrics.failures.append(action.failure)
            elif isinstance(action, routing_actions.Dispatch):
                self._fleet.metrics.attempts += 1
                agent = self._fleet.agent_by_name[action.agent]
                self._send(agent, agent.offer, action.attempt)
            elif isinstance(action, routing_actions.Withdraw):
                agent = self._fleet.agent_by_name[action.agent]
                self._send(agent, agent.withdraw, action.attempt)

    def _send(
        self,
        agent: AgentModel,
        handler: typing.Callable,
        attempt: attempt_message.Attempt,
    ) -> None:
        self._fleet.network.send(self.name, agent.name, handler, attempt)

    def _tick(self) -> None:
        self.perform(self.dispatcher.tick(self._fleet.clock.now))


class Fleet:
    """Routers, agents and servers of one service."""

    def __init__(
        self,
        *,
        sizes: Sizes = Sizes(),  # noqa: B008 (immutable)
        times: server_model.ServerTimes = server_model.ServerTimes(),  # noqa: B008
        policy: str = "least_of_two",
        cold_slots: int = 1,
        announces_idle: bool = True,
        seed: int = 1,
    ) -> None:
        self.sizes = sizes
        self.times = times
        self.cold_slots = cold_slots
        self.announces_idle = announces_idle
        self.rng = random.Random(f"{seed} peers")
        self.seed = seed
        self.clock = virtual_clock.VirtualClock()
        self.network = virtual_clock.Network(clock=self.clock, delay=DELAY)
        self.metrics = FleetMetrics(clock=self.clock)
        self.tokens_by_request: dict[str, int] = {}
        self.agent_by_name = {
            f"agent-{n}": AgentModel(
                fleet=self,
                name=f"agent-{n}",
                data_centre=f"dc-{n % sizes.data_centres}",
            )
            for n in range(sizes.agents)
        }
        self.agents = list(self.agent_by_name.values())
        self.router_by_name = {
            f"router-{n}": RouterModel(
                fleet=self, name=f"router-{n}", policy=policy
            )
            for n in range(sizes.routers)
        }
        self.publish(self.configuration(1))

    def configuration(
        self, generation: int, *, out: tuple[str, ...] = ()
    ) -> model.Configuration:
        """Return a configuration with some data centres out of service."""
        return model.EMPTY._replace(
            generation=generation,
            backend_servers_by_name=types.MappingProxyType(
                {
                    agent.name: model.BackendServer(
                        name=agent.name,
                        service=SERVICE,
                        data_centre=agent.data_centre,
                        address=agent.name,
                        agent=agent.name,
                        slots=self.sizes.slots,
                    )
                    for agent in self.agent_by_name.values()
                }
            ),
            data_centres_by_name=types.MappingProxyType(
                {
                    f"dc-{n}": model.DataCentre(
                        name=f"dc-{n}", is_in=f"dc-{n}" not in out
                    )
                    for n in range(self.sizes.data_centres)
                }
            ),
        )

    def publish(self, configuration: model.Configuration) -> None:
        """Apply a configuration at all agents and routers at once."""
        for agent in self.agent_by_name.values():
            agent.configure(configuration)
        for router in self.router_by_name.values():
            router.configure(configuration)

    def report_loads(self) -> None:
        """Report the load of each agent to each router once.

        Routers of a fleet that has run for a while know all agents.
        """
        for router in self.router_by_name.values():
            for agent in self.agents:
                router.record_load(agent.name, agent.gate.load())

    def submit(
        self,
        router: str,
        organisation: str,
        tokens: int,
        *,
        prefix: str = "",
        timeout: float = 60.0,
    ) -> None:
        """Submit a request of a caller to a router."""
        request_id = f"q{len(self.tokens_by_request)}"
        self.tokens_by_request[request_id] = tokens
        self.router_by_name[router].submit(
            core_dispatcher.Request(
                request_id=request_id,
                organisation=organisation,
                service=SERVICE,
                estimate=float(tokens),
                deadline=self.clock.now + timeout,
                prefix=prefix,
                is_stream=True,
            )
        )


_WITHDRAWN = failure_value.Failure(
    code=codes.WITHDRAWN, reason="withdrawn by the router"
)
_ENGINE_FAILED = failure_value.Failure(
    code=codes.ENGINE_FAILED, reason="server crashed"
)
