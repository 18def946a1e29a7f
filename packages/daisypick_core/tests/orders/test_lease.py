import random

import hypothesis
from hypothesis import strategies

from daisypick_core.orders import actions
from daisypick_core.orders import lease
from daisypick_core.orders import order_gate
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

DURATION = 10.0
LONGEST = 4.0
LOST = failure_value.Failure(code=codes.PLATFORM_ANSWER_LOST, reason="lost")
CONFLICT = failure_value.Failure(code=codes.PLATFORM_CONFLICT, reason="raced")
DOWN = failure_value.Failure(code=codes.PLATFORM_UNAVAILABLE, reason="down")


class Store:
    """One object with versions; answers can be lost after the write."""

    def __init__(self):
        self.record = None
        self.version = 0

    def write(self, action):
        if action.if_version != (str(self.version) if self.version else None):
            return False
        self.record = action.record
        self.version += 1
        return True


class Process:
    """A lease, its gate and a clock of its own speed."""

    def __init__(self, name, store, speed):
        self.lease = lease.Lease(
            holder=name, duration=DURATION, longest_order=LONGEST
        )
        self.gate = order_gate.OrderGate(lease=self.lease)
        self.store = store
        self.speed = speed
        self.submitted = None

    def step(self, now, mood, rng):
        due = self.lease.tick(now * self.speed)
        while due:
            action = due.pop()
            if isinstance(action, actions.ReadLease):
                version = str(self.store.version) or None
                if mood != "down":
                    due += self.lease.read(
                        self.store.record,
                        version if self.store.record else None,
                        now * self.speed,
                    )
                continue
            due += self.write(action, now * self.speed, mood)

    def write(self, action, now, mood):
        if mood == "down":
            self.lease.failed(DOWN, now)
            return []
        if not self.store.write(action):
            self.lease.failed(CONFLICT, now)
            return []
        if mood == "lost":
            self.lease.failed(LOST, now)
            return []
        self.lease.written(str(self.store.version), now)
        return []


@hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"),
            strategies.sampled_from(["", "", "lost", "down", "pause"]),
            strategies.floats(0.1, 8.0),
        ),
        min_size=20,
        max_size=80,
    ),
)
def test_orders_of_two_holders_never_overlap(seed, steps):
    # Three agents want to order the same engine, which ignores fencing
    # numbers. They are paused between taking an order and sending it, writes
    # lose their answers, the store goes down, and their clocks differ. Two
    # orders of different holders at work together would spoil the engine.
    rng = random.Random(seed)
    store = Store()
    processes = {
        name: Process(name, store, rng.uniform(0.98, 1.02)) for name in "abc"
    }
    now = 0.0
    last_end, last_holder, last_fencing = 0.0, "", 0
    for name, mood, gap in steps:
        now += gap
        process = processes[name]
        clock = now * process.speed
        if process.submitted and mood != "pause":
            order_id = process.submitted
            process.submitted = None
            if process.gate.may_send(order_id, clock) is None:
                assert now >= last_end or name == last_holder
                assert process.lease.fencing >= last_fencing
                last_end, last_holder = now + LONGEST, name
                last_fencing = process.lease.fencing
            process.gate.ended(order_id, is_certain=False, now=clock)
        process.step(now, mood, rng)
        if not process.submitted:
            order = actions.Order(order_id=str(now), kind="load", name="m")
            (due,) = process.gate.submit(order, clock)
            if isinstance(due, actions.SendOrder):
                process.submitted = order.order_id


def test_successor_waits_for_lease_and_longest_order():
    # The holder dies. Its successor sees the record for the first time at
    # 100 and must not order before the lease and the longest order are over.
    store = Store()
    old = Process("a", store, 1.0)
    old.step(0.0, "", None)
    old.step(0.1, "", None)
    assert old.lease.is_held(1.0)
    new = Process("b", store, 1.0)
    taken_at = None
    for tenth in range(1000, 1300):
        new.step(tenth / 10, "", None)
        if taken_at is None and new.lease.is_held(tenth / 10):
            taken_at = tenth / 10
    assert 100.0 + (DURATION + LONGEST) <= taken_at < 117.0
    assert (old.lease.fencing, new.lease.fencing) == (1, 2)


def test_paused_holder_finds_its_lease_lapsed():
    # The holder takes an order, is paused for a minute, and wakes up with
    # the order ready to be written. It must not be written.
    store = Store()
    process = Process("a", store, 1.0)
    process.step(0.0, "", None)
    order = actions.Order(order_id="o", kind="load", name="m")
    (due,) = process.gate.submit(order, 1.0)
    assert (due.fencing, due.timeout) == (1, LONGEST)
    failure = process.gate.may_send("o", 61.0)
    assert failure.code == codes.LEASE_NOT_HELD
    process.step(61.0, "", None)
    assert process.lease.is_held(61.1)


def test_order_without_an_answer_blocks_the_next():
    store = Store()
    process = Process("a", store, 1.0)
    process.step(0.0, "", None)
    order = actions.Order(order_id="o", kind="load", name="m")
    process.gate.submit(order, 1.0)
    assert process.gate.may_send("o", 1.0) is None
    process.gate.ended("o", is_certain=False, now=2.0)
    (due,) = process.gate.submit(order._replace(order_id="p"), 3.0)
    assert due.failure.code == codes.ORDER_IN_PROGRESS
    assert due.failure.retry_after == 2.0
    assert process.gate.is_quiet(5.0)


def test_released_lease_is_taken_at_once():
    store = Store()
    old, new = Process("a", store, 1.0), Process("b", store, 1.0)
    old.step(0.0, "", None)
    (write,) = old.lease.release(1.0)
    assert store.write(write)
    assert not old.lease.is_held(1.0)
    new.step(1.1, "", None)
    assert new.lease.is_held(1.2)
    assert new.lease.fencing == 2
