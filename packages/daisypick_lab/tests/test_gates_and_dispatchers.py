"""Gates and dispatchers under arbitrary orders of messages and faults."""

import collections
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from daisypick_core.fairness import share_order
from daisypick_core.gate import actions as gate_actions
from daisypick_core.gate import admission
from daisypick_core.gate import attempts
from daisypick_core.gate import concurrency
from daisypick_core.gate import gate as core_gate
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import actions
from daisypick_core.routing import dispatcher

AGENTS = ("a", "b", "c")
WITHDRAWN = failure_value.Failure(code=codes.WITHDRAWN, reason="withdrawn")
BROKEN = failure_value.Failure(code=codes.OUTCOME_UNKNOWN, reason="broken")
agent_names = strategies.sampled_from(AGENTS)
positions = strategies.integers(0, 1000)


class Machine(stateful.RuleBasedStateMachine):
    """One router and three agents; messages out of order or duplicated."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.ids = 0
        self.restarts = 0
        self.dispatcher = dispatcher.Dispatcher(
            router="r", rng=random.Random(1)
        )
        self.gate_by_name = {name: self.make_gate(name) for name in AGENTS}
        self.to_agents = []
        self.to_router = []
        self.running = []
        self.requests = {}
        self.starts = collections.Counter()
        self.answers = collections.Counter()
        self.reported_not_run = set()
        self.perform_router_actions(
            self.dispatcher.set_agents(
                [
                    dispatcher.AgentAddress(
                        address=name, service="desk", data_centre="sofia"
                    )
                    for name in AGENTS
                ],
                self.now,
            )
        )

        for name, gate in self.gate_by_name.items():
            self.dispatcher.record_load(name, gate.load(), self.now)

    def make_gate(self, name):
        return core_gate.Gate(
            incarnation=f"{name}{self.restarts}",
            order=share_order.ShareOrder(share_by_organisation={}),
            limit=concurrency.ConcurrencyLimit(slots=1, cold_slots=1),
        )

    def perform_router_actions(self, due):
        for action in due:
            if isinstance(action, actions.Fail):
                self.answers[action.request_id] += 1
                if action.failure.ran == codes.RAN_NO:
                    self.reported_not_run.add(action.request_id)
            else:
                self.to_agents.append(action)

    def perform_gate_actions(self, name, due):
        for action in due:
            load = self.gate_by_name[name].load()
            attempt = action.attempt
            if isinstance(action, gate_actions.Start):
                self.starts[attempt.request_id] += 1
                self.running.append((name, attempt))
                self.to_router.append((name, load, "started", attempt, ()))
            elif isinstance(action, gate_actions.Refuse):
                event = (name, load, "returned", attempt, (action.failure,))
                self.to_router.append(event)
            elif isinstance(action, gate_actions.Hint):
                hint = (action.agent, action.load)
                self.to_router.append((name, load, "hinted", attempt, hint))

    @stateful.rule(is_repeatable=strategies.booleans())
    def submit(self, is_repeatable):
        self.ids += 1
        request = dispatcher.Request(
            request_id=f"q{self.ids}",
            organisation=f"o{self.ids % 2}",
            service="desk",
            estimate=1.0,
            deadline=self.now + 30.0,
            is_repeatable=is_repeatable,
        )
        self.requests[request.request_id] = request
        self.perform_router_actions(self.dispatcher.submit(request, self.now))

    @stateful.precondition(lambda self: self.to_agents)
    @stateful.rule(count=strategies.integers(1, 4))
    def deliver_some_to_agents(self, count):
        for _ in range(min(count, len(self.to_agents))):
            self.deliver_to_agent(0, False)

    @stateful.precondition(lambda self: self.to_router)
    @stateful.rule(count=strategies.integers(1, 4))
    def deliver_some_to_router(self, count):
        for _ in range(min(count, len(self.to_router))):
            self.deliver_to_router(0, False)

    @stateful.precondition(lambda self: self.to_agents)
    @stateful.rule(position=positions, is_doubled=strategies.booleans())
    def deliver_to_agent(self, position, is_doubled):
        position %= len(self.to_agents)
        action = self.to_agents[position]
        if not is_doubled:
            del self.to_agents[position]
        gate = self.gate_by_name[action.agent]
        attempt = action.attempt
        if isinstance(action, actions.Dispatch):
            self.perform_gate_actions(
                action.agent, gate.offer(attempt, self.now)
            )
            return
        if attempt.incarnation != gate.incarnation:
            # As the sender does: a restarted agent does not know the attempt.
            event = (action.agent, gate.load(), "broken", attempt, (BROKEN,))
            self.to_router.append(event)
            return
        status, due = gate.withdraw(
            attempt.attempt_id, self.now, epoch=attempt.epoch
        )
        self.perform_gate_actions(action.agent, due)
        if status.state == attempts.BARRED:
            event = (action.agent, gate.load(), "returned", attempt)
            self.to_router.append((*event, (WITHDRAWN,)))

    @stateful.precondition(lambda self: self.to_router)
    @stateful.rule(position=positions, is_doubled=strategies.booleans())
    def deliver_to_router(self, position, is_doubled):
        position %= len(self.to_router)
        name, load, event, attempt, arguments = self.to_router[position]
        if not is_doubled:
            del self.to_router[position]
        self.perform_router_actions(
            self.dispatcher.record_load(name, load, self.now)
        )
        sent_attempts = self.dispatcher._sender.sent_attempts
        is_open = sent_attempts.find(attempt.attempt_id) is not None
        handle = getattr(self.dispatcher, event)
        due = handle(attempt.attempt_id, *arguments, self.now)
        if event == "finished" and is_open:
            self.answers[attempt.request_id] += 1
        self.perform_router_actions(due)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(position=positions, is_healthy=strategies.booleans())
    def end(self, position, is_healthy):
        name, attempt = self.running.pop(position % len(self.running))
        gate = self.gate_by_name[name]
        due = gate.finish(
            attempt.attempt_id, cost=1.0, is_healthy=is_healthy, now=self.now
        )
        event, arguments = "finished", ()
        if not is_healthy:
            event, arguments = "broken", (BROKEN,)
        self.to_router.append((name, gate.load(), event, attempt, arguments))
        self.perform_gate_actions(name, due)

    def drain(self, name):
        gate = self.gate_by_name[name]
        self.perform_gate_actions(
            name, gate.drain(admission.VM_LEAVING, self.now)
        )

    def undrain(self, name):
        gate = self.gate_by_name[name]
        self.perform_gate_actions(
            name, gate.undrain(admission.VM_LEAVING, self.now)
        )

    @stateful.rule(
        name=agent_names,
        fault=strategies.sampled_from(["drain", "undrain", "restart"]),
    )
    def disturb(self, name, fault):
        getattr(self, fault)(name)

    @stateful.rule(name=agent_names, peer=agent_names)
    def tell_idle(self, name, peer):
        load = self.gate_by_name[peer].load()
        if name != peer:
            gate = self.gate_by_name[name]
            self.perform_gate_actions(
                name, gate.note_idle(peer, load, self.now)
            )

    def restart(self, name):
        self.restarts += 1
        lost = [run for run in self.running if run[0] == name]
        self.running = [run for run in self.running if run[0] != name]
        self.gate_by_name[name] = self.make_gate(name)
        load = self.gate_by_name[name].load()
        for _, attempt in lost:
            event = (name, load, "broken", attempt, (BROKEN,))
            self.to_router.append(event)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.5, 5.0]))
    def wait(self, seconds):
        self.now += seconds
        self.perform_router_actions(self.dispatcher.tick(self.now))
        for name, gate in self.gate_by_name.items():
            self.perform_gate_actions(name, gate.tick(self.now))

    @stateful.invariant()
    def runs_at_most_once_and_answers_are_true(self):
        for request_id, request in self.requests.items():
            assert self.answers[request_id] <= 1
            if not request.is_repeatable:
                assert self.starts[request_id] <= 1
            if request_id in self.reported_not_run:
                assert self.starts[request_id] == 0

    def teardown(self):
        # When the faults stop, every request must end.
        for name in AGENTS:
            self.undrain(name)
        for _ in range(400):
            while self.to_agents:
                self.deliver_to_agent(0, False)
            while self.to_router:
                self.deliver_to_router(0, False)
            while self.running:
                self.end(0, True)
            self.wait(0.5)
            if not self.open_requests():
                break
        self.runs_at_most_once_and_answers_are_true()
        lost = self.open_requests() - self.restart_victims()
        assert lost == set()

    def open_requests(self):
        return {r for r in self.requests if not self.answers[r]}

    def restart_victims(self):
        """Return requests that waited at an agent that restarted.

        In production the broken connection reports these to the router; this
        model reports only the running ones.
        """
        if not self.restarts:
            return set()
        return {
            f.attempt.request_id
            for f in self.dispatcher._sender.sent_attempts.all()
            if f.attempt.incarnation != self.gate_by_name[f.agent].incarnation
        }


TestGatesAndDispatchers = Machine.TestCase
TestGatesAndDispatchers.settings = hypothesis.settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=60,
    deadline=None,
    database=None,
    # Shrinking takes minutes here; the first failing history suffices.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
