"""Gates and tally nodes under a virtual clock, for the fairness measurement.

Gates, share orders and tally nodes are the production code of the core. The
rest is simulated: backend servers generate tokens at a constant rate, the
network has a delay, and routers keep a number of attempts waiting at each
agent that they reach, as a dispatcher with an unlimited backlog does.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
import typing

from daisypick_core.fairness import reports
from daisypick_core.fairness import share_order
from daisypick_core.fairness import tally_node
from daisypick_core.gate import actions
from daisypick_core.gate import concurrency
from daisypick_core.gate import gate as gate_module
from daisypick_core.messages import attempt as attempt_message
from daisypick_lab import fairness_settings


class _Running(typing.NamedTuple):
    tenant: str
    attempt: attempt_message.Attempt
    started_at: float
    cost: int
    speed: float


class Agent:
    """An agent with its backend server."""

    def __init__(
        self,
        settings: fairness_settings.FleetSettings,
        index: int,
        start: int,
        now: float,
    ) -> None:
        shares = {tenant.name: tenant.share for tenant in settings.tenants}
        self.address = f"10.0.{index // 250}.{index % 250}:80"
        self.data_centre = f"dc{index % settings.data_centres}"
        self.incarnation = f"a{index}.{start}"
        self.speed = settings.speeds[index % len(settings.speeds)]
        self.is_alive = True
        self.order = share_order.ShareOrder(
            share_by_organisation=shares,
            policy=settings.policy,
            gain=settings.gain,
            estimator=settings.estimator,
        )
        self.gate = gate_module.Gate(
            incarnation=self.incarnation,
            order=self.order,
            limit=concurrency.ConcurrencyLimit(
                slots=settings.slots, cold_slots=settings.slots
            ),
            limits=gate_module.GateLimits(
                waiting_per_organisation=100_000, waiting_in_all=100_000
            ),
        )
        self.node = tally_node.TallyNode(
            address=self.address,
            data_centre=self.data_centre,
            service=fairness_settings.SERVICE,
            incarnation=self.incarnation,
            order=self.order,
            share_by_organisation=shares,
            period=settings.period,
            first_report_in=random.Random(f"{index}").random()
            * settings.period,
        )
        self.running_by_id: dict[str, _Running] = {}


class Fleet:
    """Agents, fake routers and a virtual clock.

    Attributes:
        now: Virtual time, seconds.
        agents: The agents; a restarted one replaces its predecessor.
        finished_by_tenant: Tokens generated for requests that ended.
        longest_pause_by_tenant: Longest time without a start in the whole
            fleet, seconds.
        messages: Reports sent between different agents.
    """

    def __init__(self, settings: fairness_settings.FleetSettings) -> None:
        self.now = 0.0
        self.settings = settings
        self.agents = [
            Agent(settings, index, 0, 0.0) for index in range(settings.agents)
        ]
        self.finished_by_tenant: collections.Counter[str] = (
            collections.Counter()
        )
        self.longest_pause_by_tenant: dict[str, float] = {}
        self._started_at_by_tenant: dict[str, float] = {}
        self.messages = 0
        self._sent_by_router = [
            collections.Counter[str]() for _ in range(fairness_settings.ROUTERS)
        ]
        self._tenant_by_name = {one.name: one for one in settings.tenants}
        self._rng = random.Random(settings.seed)
        self._ids = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._offer_by_id: dict[str, tuple[str, int]] = {}
        self._index_by_address = {
            agent.address: index for index, agent in enumerate(self.agents)
        }
        self.set_views(lambda agent: self.agents)
        for index in range(settings.agents):
            self._start_agent(index)

    def run_until(self, end: float) -> None:
        """Advance the virtual clock."""
        while self._events and self._events[0][0] <= end:
            self.now, _, step = heapq.heappop(self._events)
            step()
        self.now = end

    def at(self, moment: float, step: Callable[[], None]) -> None:
        """Schedule a step at a time of the virtual clock."""
        heapq.heappush(self._events, (moment, next(self._ids), step))

    def served_by_tenant(self) -> dict[str, float]:
        """Return the number of tokens generated for each organisation."""
        served = {
            tenant.name: float(self.finished_by_tenant[tenant.name])
            for tenant in self.settings.tenants
        }
        for agent in self.agents:
            for run in agent.running_by_id.values():
                served[run.tenant] += self._generated(run)
        return served

    def set_views(self, view: Callable[[Agent], list[Agent]]) -> None:
        """Set which agents each agent considers alive."""
        for agent in self.agents:
            agent.node.set_agents(
                tally_node.TallyAgent(
                    address=one.address, data_centre=one.data_centre
                )
                for one in view(agent)
            )

    def restart(self, address: str, down_seconds: float) -> None:
        """Kill an agent and its running attempts; restart it with no state."""
        index = self._index_by_address[address]
        agent = self.agents[index]
        agent.is_alive = False
        for run in agent.running_by_id.values():
            self.finished_by_tenant[run.tenant] += int(self._generated(run))
        agent.running_by_id = {}
        self.at(self.now + down_seconds, lambda: self._start_successor(index))

    def _start_successor(self, index: int) -> None:
        start = int(self.now * 1000)
        self.agents[index] = Agent(self.settings, index, start, self.now)
        self.set_views(lambda agent: self.agents)
        self._start_agent(index)

    def _start_agent(self, index: int) -> None:
        agent = self.agents[index]
        self._tick(agent)
        moment = self.now + fairness_settings.NETWORK_DELAY
        if self.settings.mode == fairness_settings.ROUTER_FAIR:
            for router in range(fairness_settings.ROUTERS):
                for _ in range(fairness_settings.ROUTER_WINDOW):
                    self._offer_next(agent, router, moment)
            return
        for tenant in self.settings.tenants:
            if self._reaches(tenant, agent):
                for _ in range(tenant.depth):
                    self._schedule_offer(agent, tenant, moment)

    def _reaches(self, tenant: fairness_settings.Tenant, agent: Agent) -> bool:
        index = self._index_by_address[agent.address]
        return index < tenant.reach * self.settings.agents

    def _offer_next(self, agent: Agent, router: int, moment: float) -> None:
        """Offer an attempt of the organisation that a router serves next."""
        sent = self._sent_by_router[router]
        tenant = min(
            (
                one
                for one in self.settings.tenants
                if router in one.routers and self._reaches(one, agent)
            ),
            key=lambda one: sent[one.name] / one.share,
        )
        sent[tenant.name] += 1
        self._schedule_offer(agent, tenant, moment, router=router)

    def _schedule_offer(
        self,
        agent: Agent,
        tenant: fairness_settings.Tenant,
        moment: float,
        router: int = 0,
    ) -> None:
        self.at(moment, lambda: self._offer(agent, tenant, router))

    def _offer(
        self, agent: Agent, tenant: fairness_settings.Tenant, router: int
    ) -> None:
        if not agent.is_alive:
            return
        if tenant.off_from <= self.now < tenant.off_until:
            self._schedule_offer(agent, tenant, tenant.off_until, router)
            return
        cost = min(
            fairness_settings.MAX_COST,
            int(
                fairness_settings.MIN_COST
                * self._rng.paretovariate(fairness_settings.PARETO_SHAPE)
            ),
        )
        hint = cost * fairness_settings.HINT_ERROR ** self._rng.uniform(
            -1.0, 1.0
        )
        attempt_id = str(next(self._ids))
        self._offer_by_id[attempt_id] = (tenant.name, cost)
        is_by_order = self.settings.mode == fairness_settings.BY_ORDER
        attempt = attempt_message.Attempt(
            attempt_id=attempt_id,
            request_id=attempt_id,
            organisation=tenant.name
            if is_by_order
            else fairness_settings.ONE_QUEUE,
            service=fairness_settings.SERVICE,
            estimate=hint,
            deadline=float("inf"),
            incarnation=agent.incarnation,
            epoch=0,
            router=str(router),
        )
        self._perform(agent, agent.gate.offer(attempt, self.now))

    def _perform(self, agent: Agent, actions_due: list[actions.Action]) -> None:
        for action in actions_due:
            if isinstance(action, actions.Start):
                self._run(agent, action.attempt)

    def _run(self, agent: Agent, attempt: attempt_message.Attempt) -> None:
        name, cost = self._offer_by_id.pop(attempt.attempt_id)
        self._record_start(name)
        agent.running_by_id[attempt.attempt_id] = _Running(
            tenant=name,
            attempt=attempt,
            started_at=self.now,
            cost=cost,
            speed=agent.speed,
        )
        moment = self.now + 2 * fairness_settings.NETWORK_DELAY
        router = int(attempt.router)
        if self.settings.mode == fairness_settings.ROUTER_FAIR:
            self._offer_next(agent, router, moment)
        else:
            tenant = self._tenant_by_name[name]
            self._schedule_offer(agent, tenant, moment)
        self.at(
            self.now + cost / agent.speed,
            lambda: self._finish(agent, attempt.attempt_id),
        )

    def _record_start(self, name: str) -> None:
        before = self._started_at_by_tenant.get(name, 0.0)
        longest = self.longest_pause_by_tenant.get(name, 0.0)
        self.longest_pause_by_tenant[name] = max(longest, self.now - before)
        self._started_at_by_tenant[name] = self.now

    def _finish(self, agent: Agent, attempt_id: str) -> None:
        if not agent.is_alive:
            return
        run = agent.running_by_id.pop(attempt_id)
        self.finished_by_tenant[run.tenant] += run.cost
        self._perform(
            agent,
            agent.gate.finish(
                attempt_id, cost=run.cost, is_healthy=True, now=self.now
            ),
        )

    def _generated(self, run: _Running) -> float:
        return min(run.cost, (self.now - run.started_at) * run.speed)

    def _tick(self, agent: Agent) -> None:
        if not agent.is_alive:
            return
        for attempt_id, run in agent.running_by_id.items():
            agent.gate.progress(attempt_id, int(self._generated(run)), self.now)
        if self.settings.has_tally:
            for send in agent.node.tick(self.now):
                self._send_report(agent, send)
        self.at(self.now + self.settings.period / 4, lambda: self._tick(agent))

    def _send_report(self, sender: Agent, send: tally_node.Send) -> None:
        """Send a report over the network, subject to its faults."""
        self.messages += 1
        faults = self.settings.faults
        if self._rng.random() < faults.lost:
            self._schedule_failure(sender, send.address)
            return
        delay = fairness_settings.NETWORK_DELAY
        if self._rng.random() < faults.late:
            delay += self._rng.uniform(0.0, 3.0 * self.settings.period)
        copies = 2 if self._rng.random() < faults.duplicated else 1
        for _ in range(copies):
            self.at(
                self.now + delay, lambda: self._deliver_report(sender, send)
            )

    def _deliver_report(self, sender: Agent, send: tally_node.Send) -> None:
        receiver = self.agents[self._index_by_address[send.address]]
        if not receiver.is_alive:
            self._schedule_failure(sender, send.address)
            return
        response = receiver.node.receive(send.report, self.now)
        if self._rng.random() < self.settings.faults.lost:
            self._schedule_failure(sender, send.address)
            return
        self.at(
            self.now + fairness_settings.NETWORK_DELAY,
            lambda: self._receive_response(sender, send.address, response),
        )

    def _receive_response(
        self, sender: Agent, address: str, response: reports.Response
    ) -> None:
        if sender.is_alive:
            sender.node.answered(address, response, self.now)

    def _schedule_failure(self, sender: Agent, address: str) -> None:
        self.at(
            self.now + fairness_settings.CALL_TIMEOUT,
            lambda: sender.node.failed(address, self.now),
        )
