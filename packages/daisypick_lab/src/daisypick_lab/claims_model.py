"""What claims cost: writes, bytes, time and processor, against their rate.

Drives the core's batcher with claims at random times (seeded) on a store in
memory whose calls take a fixed time; time is simulated, processor time is
measured. The batcher of all shards is one object here, which changes nothing:
shards do not touch each other.

    python -m daisypick_lab.claims_model
"""

from collections.abc import Callable
import heapq
import itertools
import random
import time
import typing

from daisypick_core.claims import actions
from daisypick_core.claims import batcher as core_batcher
from daisypick_core.claims import entry as claim_entry
from daisypick_core.claims import outcomes
from daisypick_core.claims import shard
from daisypick_core.claims import shard_view
from daisypick_lab import memory_store

STORE_SECONDS = 0.005
# How often the daemons let time pass at their batcher.
TICK_SECONDS = 0.1
RATES = (16.0, 64.0, 130.0, 260.0, 520.0, 1040.0, 2080.0, 4160.0)
SECONDS = 10.0
WARM_UP_SECONDS = 2.0


class Setting(typing.NamedTuple):
    """One point of the model.

    Attributes:
        rate: Claims a second in the whole fleet.
        seconds: Simulated seconds that are measured.
        seed: Seed of the arrivals.
    """

    rate: float
    seconds: float = SECONDS
    seed: int = 1


class Cost(typing.NamedTuple):
    """What claims cost at one point.

    Attributes:
        rate: Claims a second.
        writes: Writes of the store a second.
        claims_per_write: Claims that one write of a head carried.
        write_bytes: Mean bytes of a write.
        shard_bytes: Bytes written a second by the batcher of one shard.
        p50: Median time from claim to grant, seconds.
        p95: The same for 95 in 100.
        cpu: Processor time of the batcher a claim, microseconds.
    """

    rate: float
    writes: float
    claims_per_write: float
    write_bytes: float
    shard_bytes: float
    p50: float
    p95: float
    cpu: float


class TakeOver(typing.NamedTuple):
    """What it costs to take a shard over.

    Attributes:
        rate: Claims a second in the whole fleet.
        reads: Reads of the store.
        bytes: Bytes read.
        seconds: Time until the first claim is granted.
    """

    rate: float
    reads: int
    bytes: int
    seconds: float


class _Model:
    """A batcher and its store under a simulated clock."""

    def __init__(self, store: memory_store.MemoryStore, seed: int) -> None:
        self.now = 0.0
        self.store = store
        self.cpu = 0.0
        self.bytes_read = 0
        self.granted_at_by_ticket: dict[int, float] = {}
        self._subject = core_batcher.Batcher(rng=random.Random(seed))
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.at(TICK_SECONDS, self._tick)

    def at(self, when: float, work: Callable[[], None]) -> None:
        """Do some work at a time."""
        heapq.heappush(self._events, (when, next(self._order), work))

    def submit(self, ticket: int, claim: outcomes.Claim) -> None:
        """Submit a claim now."""
        self._drive(lambda: self._subject.submit(ticket, claim, self.now))

    def run(self, until: float) -> None:
        """Let simulated time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, work = heapq.heappop(self._events)
            work()

    def _drive(self, event: Callable[[], list[actions.BatcherAction]]) -> None:
        began = time.process_time()
        due = event()
        self.cpu += time.process_time() - began
        for action in due:
            if isinstance(action, actions.Settle):
                self.granted_at_by_ticket[action.ticket] = self.now
            else:
                self.at(self.now + STORE_SECONDS, self._answer(action))

    def _answer(self, call: actions.StoreCall) -> Callable[[], None]:
        def _done() -> None:
            result = self.store.carry_out(call)
            if isinstance(result, actions.Stored):
                self.bytes_read += len(result.value)
            self._drive(lambda: self._subject.done(call, result, self.now))

        return _done

    def _tick(self) -> None:
        self.at(self.now + TICK_SECONDS, self._tick)
        self._drive(lambda: self._subject.tick(self.now))


def measure(setting: Setting) -> Cost:
    """Return what claims cost at one point."""
    rng = random.Random(setting.seed)
    store = memory_store.MemoryStore()
    model = _Model(store, setting.seed)
    submitted_at: dict[int, float] = {}
    when = 0.0
    for ticket in itertools.count():
        when += rng.expovariate(setting.rate)
        if when > WARM_UP_SECONDS + setting.seconds:
            break
        submitted_at[ticket] = when
        claim = make_claim(ticket, rng)
        model.at(when, lambda t=ticket, c=claim: model.submit(t, c))
    model.run(WARM_UP_SECONDS)
    before = (store.writes, store.bytes_written, model.cpu)
    model.run(WARM_UP_SECONDS + setting.seconds)
    writes = store.writes - before[0]
    written = store.bytes_written - before[1]
    cpu = model.cpu - before[2]
    waits = sorted(
        model.granted_at_by_ticket[ticket] - at
        for ticket, at in submitted_at.items()
        if at > WARM_UP_SECONDS and ticket in model.granted_at_by_ticket
    )
    return Cost(
        rate=setting.rate,
        writes=writes / setting.seconds,
        claims_per_write=len(waits) / writes,
        write_bytes=written / writes,
        shard_bytes=written / setting.seconds / claim_entry.SHARD_COUNT,
        p50=waits[len(waits) // 2],
        p95=waits[int(len(waits) * 0.95)],
        cpu=cpu / len(waits) * 1e6,
    )


def measure_take_over(rate: float, *, seed: int = 1) -> TakeOver:
    """Return what it costs to take over a shard that is full of claims.

    The shard holds the claims of the time for which keys are remembered.
    """
    rng = random.Random(seed)
    store = memory_store.MemoryStore()
    first = make_claim(0, rng)
    number = claim_entry.shard_of(first.entry.digest)
    claims = rate / claim_entry.SHARD_COUNT * shard_view.RETENTION_SECONDS
    spans = int(claims / shard.HEAD_ENTRIES)
    for span in range(spans):
        entries = [make_claim(n, rng).entry for n in range(shard.HEAD_ENTRIES)]
        name = shard.span_name(number, span)
        store.carry_out(actions.Write(name, shard.encode_span(entries), None))
    head = shard.Head(first=0, next=spans, entries=())
    name = shard.head_name(number)
    store.carry_out(actions.Write(name, shard.encode_head(head), None))
    model = _Model(store, seed)
    model.submit(0, first)
    model.run(60.0)
    return TakeOver(
        rate=rate,
        reads=store.reads,
        bytes=model.bytes_read,
        seconds=model.granted_at_by_ticket[0],
    )


def make_claim(number: int, rng: random.Random) -> outcomes.Claim:
    """Return a claim as large as the daemons make them."""
    entry = claim_entry.Entry(
        digest=claim_entry.digest_of("union", f"{rng.getrandbits(64):x}"),
        fingerprint=f"{rng.getrandbits(128):032x}",
        attempt_id=f"{rng.getrandbits(128):032x}.{number % 10}",
        agent=f"10.200.{number % 250}.{number % 240}:8080",
        incarnation=f"{rng.getrandbits(128):032x}",
        epoch=number % 10_000,
    )
    return outcomes.Claim(entry=entry)


def main() -> None:
    """Print the tables."""
    print(
        f"{claim_entry.SHARD_COUNT} shards, {shard.HEAD_ENTRIES} entries a"
        f" head, store calls of {STORE_SECONDS * 1000:g} ms"
    )
    print(
        "claims/s writes/s claims/write bytes/write bytes/s a shard"
        "   p50 ms   p95 ms  us/claim"
    )
    for rate in RATES:
        cost = measure(Setting(rate=rate))
        print(
            f"{cost.rate:8.0f} {cost.writes:8.1f} {cost.claims_per_write:12.2f}"
            f" {cost.write_bytes:11.0f} {cost.shard_bytes:15.0f}"
            f" {cost.p50 * 1000:8.1f} {cost.p95 * 1000:8.1f} {cost.cpu:9.1f}"
        )
    print("take-over of a shard: claims/s, reads, bytes, seconds")
    for rate in RATES[2:]:
        print("{:8.0f} {:6d} {:10d} {:8.2f}".format(*measure_take_over(rate)))


if __name__ == "__main__":
    main()
