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


class Desk:
    """Carries out a batcher's calls on a store and notes its outcomes."""

    def __init__(self, store, subject=None):
        self.store = store
        self.subject = subject or make_batcher()
        self.now = 0.0
        self.outcome_by_ticket = {}
        self.held = []

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


def test_first_claim_is_granted_and_others_are_told_its_holder():
    desk = Desk(memory_store.MemoryStore())
    first = make_claim("x")
    assert desk.claim(first) == outcomes.Granted(entry=first.entry)
    assert desk.claim(first) == outcomes.Granted(entry=first.entry)
    assert desk.claim(make_claim("y")) == outcomes.Held(holder=first.entry)
    reused = desk.claim(make_claim("z", fingerprint="g"))
    assert reused == outcomes.KeyReused(holder=first.entry)
    assert isinstance(desk.claim(make_claim("w", key="l")), outcomes.Granted)
    assert desk.store.writes == 2


def test_claim_is_taken_over_only_from_the_attempt_that_never_ran():
    desk = Desk(memory_store.MemoryStore())
    desk.claim(make_claim("x"))
    second = make_claim("y", replaces="x")
    assert desk.claim(second) == outcomes.Granted(entry=second.entry)
    third = desk.claim(make_claim("z", replaces="x"))
    assert third == outcomes.Held(holder=second.entry)


def test_released_key_is_granted_to_the_next():
    desk = Desk(memory_store.MemoryStore())
    desk.claim(make_claim("x"))
    released = claim_entry.RELEASED
    stranger = desk.claim(make_claim(released, replaces="w"))
    assert isinstance(stranger, outcomes.Held)
    assert isinstance(
        desk.claim(make_claim(released, replaces="x")), outcomes.Granted
    )
    second = make_claim("y", fingerprint="g")
    assert desk.claim(second) == outcomes.Granted(entry=second.entry)


def test_lost_answer_is_settled_by_reading_back():
    # The write takes effect and its answer is lost. Refused as "not run" the
    # key would stay held by nobody; taken for granted it might not be. The
    # batcher reads the head back and finds its own entry.
    store = memory_store.MemoryStore()
    desk = Desk(store)
    desk.claim(make_claim("w"))
    desk.tick()
    store.loses_answers = True
    desk.submit("x", make_claim("x", key="l"))
    assert "x" not in desk.outcome_by_ticket
    store.loses_answers = False
    desk.tick()
    assert isinstance(desk.outcome_by_ticket["x"], outcomes.Granted)
    assert store.writes == 2


def test_lost_call_is_not_taken_for_granted():
    # The write is lost on its way: to the batcher it looks like a lost
    # answer. Meanwhile another batcher is granted the key. Taken for granted,
    # the claim would let the key run twice.
    store = memory_store.MemoryStore()
    desk = Desk(store)
    desk.claim(make_claim("w"))
    desk.tick()
    store.loses_calls = True
    desk.submit("x", make_claim("x", replaces="w"))
    store.loses_calls = False
    second = Desk(store).claim(make_claim("y", replaces="w"))
    assert isinstance(second, outcomes.Granted)
    desk.tick()
    assert desk.outcome_by_ticket["x"].holder.attempt_id == "y"


def test_two_claims_of_a_key_in_one_batch_are_granted_once():
    store = memory_store.MemoryStore()
    desk = Desk(store)
    (read,) = desk.subject.submit("x", make_claim("x"), 0.0)
    for ticket in ("y", "x again"):
        assert desk.subject.submit(ticket, make_claim(ticket[0]), 0.0) == []
    desk.run(desk.subject.done(read, store.carry_out(read), 0.0))
    desk.tick()
    outcome = desk.outcome_by_ticket
    assert isinstance(outcome["x"], outcomes.Granted)
    assert outcome["x again"] == outcome["x"]
    assert outcome["y"].holder.attempt_id == "x"


def test_store_that_is_down_refuses_at_once_and_recovers():
    store = memory_store.MemoryStore()
    desk = Desk(store)
    store.is_down = True
    assert isinstance(desk.claim(make_claim("x")), outcomes.Unavailable)
    store.is_down = False
    assert isinstance(desk.claim(make_claim("x")), outcomes.Granted)


def test_store_that_never_answers_is_given_up():
    subject = make_batcher()
    (read,) = subject.submit(1, make_claim("x"), 0.0)
    assert subject.wake_at() == 2.0
    assert subject.tick(1.9) == []
    (settle,) = subject.tick(2.0)
    assert isinstance(settle.outcome, outcomes.Unavailable)
    missing = memory_store.MemoryStore().carry_out(read)
    assert subject.done(read, missing, 3.0) == []
    assert (subject.waiting_count, subject.wake_at()) == (0, None)


def test_spent_budget_delays_a_claim_and_does_not_refuse_it():
    subject = make_batcher()
    (read,) = subject.submit(1, make_claim("x"), 0.0)
    spent = failure_value.Failure(
        code=codes.PLATFORM_BUDGET_SPENT, reason="x", retry_after=0.7
    )
    assert subject.done(read, spent, 0.0) == []
    assert (subject.wake_at(), subject.tick(0.6)) == (0.7, [])
    assert subject.tick(0.7) == [read]


def test_two_batchers_at_once_grant_a_key_once():
    # Two agents take themselves for the batcher of a shard. Both read the
    # head before either writes. The second write is refused for its version;
    # read again, the key is held.
    store = memory_store.MemoryStore()
    desks = [Desk(store), Desk(store)]
    for attempt_id, desk in zip("xy", desks, strict=True):
        (read,) = desk.subject.submit(attempt_id, make_claim(attempt_id), 0.0)
        desk.held = desk.subject.done(read, store.carry_out(read), 0.0)
    for desk in desks:
        desk.run(desk.held)
        desk.tick()
    winner, loser = (desk.outcome_by_ticket for desk in desks)
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


def fill(desk, count):
    """Claim keys of one shard until its head was sealed ``count`` times."""
    number = claim_entry.shard_of(claim_entry.digest_of("union", "k"))
    name = shard.head_name(number)
    keys = (str(n) for n in range(10**9))
    while True:
        key = next(keys)
        digest = claim_entry.digest_of("union", key)
        if claim_entry.shard_of(digest) != number:
            continue
        desk.submit(key, make_claim(f"x{key}", key=key))
        desk.tick(0.2)
        head = shard.decode_head(desk.store.carry_out(actions.Read(name)).value)
        if head.next >= count:
            return head


def test_key_is_remembered_across_spans_by_any_batcher(monkeypatch):
    # A key is claimed; then so many others that its entry moves into a span.
    # A batcher that has just started must still find it.
    monkeypatch.setattr(shard, "HEAD_ENTRIES", 4)
    store = memory_store.MemoryStore()
    desk = Desk(store)
    first = make_claim("first")
    desk.claim(first)
    head = fill(desk, count=3)
    assert head.first == 0
    assert len(head.entries) <= 4
    for batcher_desk in (desk, Desk(store)):
        held = batcher_desk.claim(make_claim("y"))
        assert held == outcomes.Held(holder=first.entry)
    second = make_claim("z", replaces="first")
    assert isinstance(desk.claim(second), outcomes.Granted)
    held = Desk(store).claim(make_claim("w"))
    assert held == outcomes.Held(holder=second.entry)


def test_span_left_by_a_crash_is_taken_over(monkeypatch):
    # A batcher stores a span and dies before the head counts it. Meanwhile a
    # key of that span changes hands in the head. The next batcher finds the
    # span in its way: the newer holder must win over the one in the span.
    monkeypatch.setattr(shard, "HEAD_ENTRIES", 1)
    store = memory_store.MemoryStore()
    first = make_claim("first")
    Desk(store).claim(first)
    number = claim_entry.shard_of(first.entry.digest)
    span = shard.encode_span([first.entry])
    name = shard.span_name(number, 0)
    monkeypatch.setattr(shard, "HEAD_ENTRIES", 2)
    Desk(store).claim(make_claim("second", replaces="first"))
    store.carry_out(actions.Write(name, span, None))
    monkeypatch.setattr(shard, "HEAD_ENTRIES", 1)
    desk = Desk(store)
    head = fill(desk, count=1)
    assert head.next >= 1
    held = desk.claim(make_claim("z"))
    assert held.holder.attempt_id == "second"


def test_span_is_forgotten_only_after_it_was_watched_for_an_hour(monkeypatch):
    # No stored time and no wall clock takes part: a batcher that has just
    # started must keep a span, however old it is, for the whole hour.
    monkeypatch.setattr(shard, "HEAD_ENTRIES", 2)
    store = memory_store.MemoryStore()
    desk = Desk(store)
    first = make_claim("first")
    desk.claim(first)
    fill(desk, count=1)
    late = Desk(store)
    late.now = 10 * shard_view.REMEMBER_SECONDS
    assert isinstance(late.claim(make_claim("y")), outcomes.Held)
    desk.tick(shard_view.REMEMBER_SECONDS - 1.0)
    assert isinstance(desk.claim(make_claim("y")), outcomes.Held)
    desk.tick(shard_view.REMEMBER_SECONDS)
    assert isinstance(desk.claim(make_claim("z")), outcomes.Granted)
    number = claim_entry.shard_of(first.entry.digest)
    assert shard.span_name(number, 0) not in store.names
    assert isinstance(late.claim(make_claim("w")), outcomes.Held)


def test_unreadable_object_refuses_the_claim():
    store = memory_store.MemoryStore()
    claim = make_claim("x")
    name = shard.head_name(claim_entry.shard_of(claim.entry.digest))
    store.carry_out(actions.Write(name, b"{", None))
    outcome = Desk(store).claim(claim)
    assert outcome.reason == f"object {name} is unreadable"
