"""Cost of claims (writes, bytes, latency, processor time) by claim rate.

Submits claims to the core's batcher at random (seeded) times. The store is in
memory and each call takes a fixed time. Time is simulated; processor time is
measured. One batcher serves all shards here, which does not affect the
figures because shards are independent.

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
# Interval at which the daemons call ``tick`` of their batcher.
TICK_SECONDS = 0.1
RATES = (16.0, 64.0, 130.0, 260.0, 520.0, 1040.0, 2080.0, 4160.0)
SECONDS = 10.0
WARM_UP_SECONDS = 2.0


class Setting(typing.NamedTuple):
    """Parameters of one simulation run.

    Attributes:
        rate: Claims per second in the whole fleet.
        seconds: Measured simulated time, after the warm-up.
        seed: Seed of the arrival times.
    """

    rate: float
    seconds: float = SECONDS
    seed: int = 1


class Cost(typing.NamedTuple):
    """Cost of claims at one rate.

    Attributes:
        rate: Claims per second.
        writes: Store writes per second.
        claims_per_write: Mean number of claims per store write.
        write_bytes: Mean size of a write, bytes.
        shard_bytes: Bytes written per second and shard.
        p50: Median time from claim to grant, seconds.
        p95: 95th percentile of that time, seconds.
        cpu: Processor time of the batcher per claim, microseconds.
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
    """Cost of taking over a shard.

    Attributes:
        rate: Claims per second in the whole fleet.
        reads: Store reads.
        bytes: Bytes read.
        seconds: Time until the first claim is granted.
    """

    rate: float
    reads: int
    bytes: int
    seconds: float


class _Model:
    """A batcher and its store on a simulated clock."""

    def __init__(self, store: memory_store.MemoryStore, seed: int) -> None:
        self.now = 0.0
        self.store = store
        self.cpu = 0.0
        self.bytes_read = 0
        self.granted_at_by_ticket: dict[int, float] = {}
        self._batcher = core_batcher.Batcher(rng=random.Random(seed))
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.at(TICK_SECONDS, self._tick)

    def at(self, when: float, work: Callable[[], None]) -> None:
        """Schedule a callback at a simulated time."""
        heapq.heappush(self._events, (when, next(self._order), work))

    def submit(self, ticket: int, claim: outcomes.Claim) -> None:
        """Submit a claim at the current simulated time."""
        self._drive(lambda: self._batcher.submit(ticket, claim, self.now))

    def run(self, until: float) -> None:
        """Process events up to and including a simulated time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, work = heapq.heappop(self._events)
            work()

    def _drive(self, event: Callable[[], list[actions.BatcherAction]]) -> None:
        began = time.process_time()
        batcher_actions = event()
        self.cpu += time.process_time() - began
        for action in batcher_actions:
            if isinstance(action, actions.Settle):
                self.granted_at_by_ticket[action.ticket] = self.now
            else:
                self.at(self.now + STORE_SECONDS, self._make_completion(action))

    def _make_completion(self, call: actions.StoreCall) -> Callable[[], None]:
        def _complete() -> None:
            result = self.store.carry_out(call)
            if isinstance(result, actions.Stored):
                self.bytes_read += len(result.value)
            self._drive(lambda: self._batcher.done(call, result, self.now))

        return _complete

    def _tick(self) -> None:
        self.at(self.now + TICK_SECONDS, self._tick)
        self._drive(lambda: self._batcher.tick(self.now))


def measure(setting: Setting) -> Cost:
    """Run the simulation once and return the cost of claims."""
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
    """Return the cost of taking over a shard that is full of claims.

    The shard holds the claims of a whole retention period.
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
    """Return a claim with fields of the sizes that the daemons use."""
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
    """Print the cost by claim rate, then the cost of taking over a shard."""
    print(
        f"{claim_entry.SHARD_COUNT} shards, {shard.HEAD_ENTRIES} entries per"
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
