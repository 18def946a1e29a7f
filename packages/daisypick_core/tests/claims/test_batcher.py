import random

from daisypick_core.claims import actions
from daisypick_core.claims import batcher
from daisypick_core.claims import entry as claim_entry
from daisypick_core.claims import outcomes
from daisypick_core.claims import shard
from daisypick_core.claims import shard_view
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_lab import memory_store


def make_claim(attempt_id, key="k", replaces=None, **fields):
    values = {
        "digest": claim_entry.digest_of("union", key),
        "fingerprint": "f",
        "attempt_id": attempt_id,
        "agent": "10.0.0.1:80",
        "incarnation": "a1",
        "epoch": 0,
    } | fields
    entry = claim_entry.Entry(**values)
    return outcomes.Claim(entry=entry, replaces=replaces)


def make_batcher():
    return batcher.Batcher(rng=random.Random(1))


class BatcherDriver:
    """Performs a batcher's calls on a store and records its outcomes."""

    def __init__(self, store, subject=None):
        self.store = store
        self.subject = subject or make_batcher()
        self.now = 0.0
        self.outcome_by_ticket = {}
        self.pending = []

    def submit(self, ticket, claim):
        self.run(self.subject.submit(ticket, claim, self.now))

    def tick(self, seconds=1.0):
        self.now += seconds
        self.run(self.subject.tick(self.now))

    def run(self, due):
        due = list(due)
        while due:
            action = due.pop(0)
            if isinstance(action, actions.Settle):
                assert action.ticket not in self.outcome_by_ticket
                self.outcome_by_ticket[action.ticket] = action.outcome
                continue
            result = self.store.carry_out(action)
            due += self.subject.done(action, result, self.now)

    def claim(self, claim):
        ticket = len(self.outcome_by_ticket)
        self.submit(ticket, claim)
        for _ in range(9):
            if ticket not in self.outcome_by_ticket:
                self.tick(0.2)
        return self.outcome_by_ticket[ticket]


def test_first_claim_is_granted_and_others_receive_its_holder():
    driver = BatcherDriver(memory_store.MemoryStore())
    first = make_claim("x")
    assert driver.claim(first) == outcomes.Granted(entry=first.entry)
    assert driver.claim(first) == outcomes.Granted(entry=first.entry)
    assert driver.claim(make_claim("y")) == outcomes.Held(holder=first.entry)
    reused = driver.claim(make_claim("z", fingerprint="g"))
    assert reused == outcomes.KeyReused(holder=first.entry)
    assert isinstance(driver.claim(make_claim("w", key="l")), outcomes.Granted)
    assert driver.store.writes == 2


def test_claim_is_taken_over_only_from_the_attempt_that_never_ran():
    driver = BatcherDriver(memory_store.MemoryStore())
    driver.claim(make_claim("x"))
    second = make_claim("y", replaces="x")
    assert driver.claim(second) == outcomes.Granted(entry=second.entry)
    third = driver.claim(make_claim("z", replaces="x"))
    assert third == outcomes.Held(holder=second.entry)


def test_released_key_is_granted_to_the_next_claim():
    driver = BatcherDriver(memory_store.MemoryStore())
    driver.claim(make_claim("x"))
    released = claim_entry.RELEASED
    stranger = driver.claim(make_claim(released, replaces="w"))
    assert isinstance(stranger, outcomes.Held)
    assert isinstance(
        driver.claim(make_claim(released, replaces="x")), outcomes.Granted
    )
    second = make_claim("y", fingerprint="g")
    assert driver.claim(second) == outcomes.Granted(entry=second.entry)


def test_lost_response_is_resolved_by_reading_the_head():
    # A write takes effect but its response is lost. A refusal as "not run"
    # would leave the key held by an attempt that never runs, and a grant may
    # be wrong. The batcher must read the head, where it finds its own entry.
    store = memory_store.MemoryStore()
    driver = BatcherDriver(store)
    driver.claim(make_claim("w"))
    driver.tick()
    store.loses_answers = True
    driver.submit("x", make_claim("x", key="l"))
    assert "x" not in driver.outcome_by_ticket
    store.loses_answers = False
    driver.tick()
    assert isinstance(driver.outcome_by_ticket["x"], outcomes.Granted)
    assert store.writes == 2


def test_lost_call_is_not_treated_as_a_grant():
    # A write is lost before it reaches the store, which the batcher cannot
    # distinguish from a lost response. Meanwhile another batcher grants the
    # key. A grant of the first claim would let the key run twice.
    store = memory_store.MemoryStore()
    driver = BatcherDriver(store)
    driver.claim(make_claim("w"))
    driver.tick()
    store.loses_calls = True
    driver.submit("x", make_claim("x", replaces="w"))
    store.loses_calls = False
    second = BatcherDriver(store).claim(make_claim("y", replaces="w"))
    assert isinstance(second, outcomes.Granted)
    driver.tick()
    assert driver.outcome_by_ticket["x"].holder.attempt_id == "y"


def test_two_claims_of_a_key_in_one_batch_are_granted_once():
    store = memory_store.MemoryStore()
    driver = BatcherDriver(store)
    (read,) = driver.subject.submit("x", make_claim("x"), 0.0)
    for ticket in ("y", "x again"):
        assert driver.subject.submit(ticket, make_claim(ticket[0]), 0.0) == []
    driver.run(driver.subject.done(read, store.carry_out(read), 0.0))
    driver.tick()
    outcome = driver.outcome_by_ticket
    assert isinstance(outcome["x"], outcomes.Granted)
    assert outcome["x again"] == outcome["x"]
    assert outcome["y"].holder.attempt_id == "x"


def test_store_that_is_down_refuses_at_once_and_recovers():
    store = memory_store.MemoryStore()
    driver = BatcherDriver(store)
    store.is_down = True
    assert isinstance(driver.claim(make_claim("x")), outcomes.Unavailable)
    store.is_down = False
    assert isinstance(driver.claim(make_claim("x")), outcomes.Granted)


def test_claim_expires_while_the_store_does_not_respond():
    subject = make_batcher()
    (read,) = subject.submit(1, make_claim("x"), 0.0)
    assert subject.wake_at() == 2.0
    assert subject.tick(1.9) == []
    (settle,) = subject.tick(2.0)
    assert isinstance(settle.outcome, outcomes.Unavailable)
    missing = memory_store.MemoryStore().carry_out(read)
    assert subject.done(read, missing, 3.0) == []
    assert (subject.waiting_count, subject.wake_at()) == (0, None)


def test_exhausted_budget_delays_a_claim_without_refusing_it():
    subject = make_batcher()
    (read,) = subject.submit(1, make_claim("x"), 0.0)
    spent = failure_value.Failure(
        code=codes.PLATFORM_BUDGET_SPENT, reason="x", retry_after=0.7
    )
    assert subject.done(read, spent, 0.0) == []
    assert (subject.wake_at(), subject.tick(0.6)) == (0.7, [])
    assert subject.tick(0.7) == [read]


def test_concurrent_batchers_grant_a_key_once():
    # Two agents both act as the batcher of a shard and read the head before
    # either writes. The second write fails on a version conflict, and reading
    # again shows that the key is held.
    store = memory_store.MemoryStore()
    drivers = [BatcherDriver(store), BatcherDriver(store)]
    for attempt_id, driver in zip("xy", drivers, strict=True):
        (read,) = driver.subject.submit(attempt_id, make_claim(attempt_id), 0.0)
        driver.pending = driver.subject.done(read, store.carry_out(read), 0.0)
    for driver in drivers:
        driver.run(driver.pending)
        driver.tick()
    winner, loser = (driver.outcome_by_ticket for driver in drivers)
    assert isinstance(winner["x"], outcomes.Granted)
    assert loser["y"].holder.attempt_id == "x"


def test_claims_that_arrive_during_a_write_share_the_next_one():
    store = memory_store.MemoryStore()
    subject = make_batcher()
    digest = claim_entry.digest_of("union", "k")
    number = claim_entry.shard_of(digest)
    keys = [
        key
        for key in map(str, range(3000))
        if claim_entry.shard_of(claim_entry.digest_of("union", key)) == number
    ]
    (read,) = subject.submit(0, make_claim("k"), 0.0)
    for ticket, key in enumerate(keys, 1):
        claim = make_claim(f"x{key}", key=key)
        assert subject.submit(ticket, claim, 0.0) == []
    (write,) = subject.done(read, store.carry_out(read), 0.0)
    settles = subject.done(write, store.carry_out(write), 0.0)
    assert len(settles) == len(keys) + 1 > 10
    assert store.writes == 1


def fill(driver, count):
    """Claim keys of one shard until its head was sealed ``count`` times."""
    number = claim_entry.shard_of(claim_entry.digest_of("union", "k"))
    name = shard.head_name(number)
    keys = (str(n) for n in range(10**9))
    while True:
        key = next(keys)
        digest = claim_entry.digest_of("union", key)
        if claim_entry.shard_of(digest) != number:
            continue
        driver.submit(key, make_claim(f"x{key}", key=key))
        driver.tick(0.2)
        head = shard.decode_head(
            driver.store.carry_out(actions.Read(name)).value
        )
        if head.next >= count:
            return head


def test_key_is_remembered_across_spans_by_any_batcher(monkeypatch):
    # After a claim, so many other keys are claimed that its entry moves into
    # a span. A newly started batcher must still find it.
    monkeypatch.setattr(shard, "HEAD_ENTRIES", 4)
    store = memory_store.MemoryStore()
    driver = BatcherDriver(store)
    first = make_claim("first")
    driver.claim(first)
    head = fill(driver, count=3)
    assert head.first == 0
    assert len(head.entries) <= 4
    for one_driver in (driver, BatcherDriver(store)):
        held = one_driver.claim(make_claim("y"))
        assert held == outcomes.Held(holder=first.entry)
    second = make_claim("z", replaces="first")
    assert isinstance(driver.claim(second), outcomes.Granted)
    held = BatcherDriver(store).claim(make_claim("w"))
    assert held == outcomes.Held(holder=second.entry)


def test_span_left_by_a_crash_is_adopted(monkeypatch):
    # A batcher stores a span and crashes before the head includes it.
    # Meanwhile a key of that span gets another holder in the head. When the
    # next batcher adopts the span, the newer holder must take precedence.
    monkeypatch.setattr(shard, "HEAD_ENTRIES", 1)
    store = memory_store.MemoryStore()
    first = make_claim("first")
    BatcherDriver(store).claim(first)
    number = claim_entry.shard_of(first.entry.digest)
    span = shard.encode_span([first.entry])
    name = shard.span_name(number, 0)
    monkeypatch.setattr(shard, "HEAD_ENTRIES", 2)
    BatcherDriver(store).claim(make_claim("second", replaces="first"))
    store.carry_out(actions.Write(name, span, None))
    monkeypatch.setattr(shard, "HEAD_ENTRIES", 1)
    driver = BatcherDriver(store)
    head = fill(driver, count=1)
    assert head.next >= 1
    held = driver.claim(make_claim("z"))
    assert held.holder.attempt_id == "second"


def test_span_is_dropped_only_after_it_was_observed_for_an_hour(monkeypatch):
    # Neither stored times nor wall clocks are used: a newly started batcher
    # must keep a span of any age for the whole hour.
    monkeypatch.setattr(shard, "HEAD_ENTRIES", 2)
    store = memory_store.MemoryStore()
    driver = BatcherDriver(store)
    first = make_claim("first")
    driver.claim(first)
    fill(driver, count=1)
    late = BatcherDriver(store)
    late.now = 10 * shard_view.RETENTION_SECONDS
    assert isinstance(late.claim(make_claim("y")), outcomes.Held)
    driver.tick(shard_view.RETENTION_SECONDS - 1.0)
    assert isinstance(driver.claim(make_claim("y")), outcomes.Held)
    driver.tick(shard_view.RETENTION_SECONDS)
    assert isinstance(driver.claim(make_claim("z")), outcomes.Granted)
    number = claim_entry.shard_of(first.entry.digest)
    assert shard.span_name(number, 0) not in store.names
    assert isinstance(late.claim(make_claim("w")), outcomes.Held)


def test_unreadable_object_refuses_the_claim():
    store = memory_store.MemoryStore()
    claim = make_claim("x")
    name = shard.head_name(claim_entry.shard_of(claim.entry.digest))
    store.carry_out(actions.Write(name, b"{", None))
    outcome = BatcherDriver(store).claim(claim)
    assert outcome.reason == f"object {name} is unreadable"
