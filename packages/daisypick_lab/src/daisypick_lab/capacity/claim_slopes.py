"""Claims: bytes and time of one write of a shard."""

import itertools
import random

from daisypick_core.claims import actions
from daisypick_core.claims import batcher as batcher_module
from daisypick_core.claims import entry as claim_entry
from daisypick_core.claims import outcomes
from daisypick_lab import memory_store
from daisypick_lab.capacity import slopes

_POINTS = (1, 8, 32, 64, 128)
_SHARD = 0


def _make_claims(count: int, first: int) -> list[outcomes.Claim]:
    """Return claims of one shard."""
    claims: list[outcomes.Claim] = []
    for number in itertools.count(first * 1_000_000):
        digest = claim_entry.digest_of("organisation", f"key-{number}")
        if claim_entry.shard_of(digest) == _SHARD:
            claims.append(outcomes.Claim(entry=_make_entry(digest, number)))
        if len(claims) == count:
            break
    return claims


def _make_entry(digest: str, number: int) -> claim_entry.Entry:
    return claim_entry.Entry(
        digest=digest,
        fingerprint=f"{number:032x}",
        attempt_id=f"{number:032x}.1",
        agent="10.1.200.200:19000",
        incarnation=f"{number:032x}",
        epoch=3,
    )


class _Shard:
    """A batcher and a store in memory."""

    def __init__(self) -> None:
        self.store = memory_store.MemoryStore()
        self.batcher = batcher_module.Batcher(rng=random.Random(1))
        self.now = 0.0
        self._tickets = itertools.count(1)

    def commit(self, claims: list[outcomes.Claim]) -> None:
        """Have claims committed that arrive together.

        Raises:
            AssertionError: A claim was not granted.
        """
        self.now += 1.0
        due: list[actions.BatcherAction] = []
        for claim in claims:
            due += self.batcher.submit(next(self._tickets), claim, self.now)
        granted = self._drive(due)
        if granted != len(claims):
            raise AssertionError(f"claims: {granted} of {len(claims)} granted")

    def _drive(self, due: list[actions.BatcherAction]) -> int:
        granted = 0
        while due or self.batcher.waiting_count:
            while due:
                action = due.pop(0)
                if isinstance(action, actions.Settle):
                    granted += isinstance(action.outcome, outcomes.Granted)
                    continue
                result = self.store.carry_out(action)
                due += self.batcher.done(action, result, self.now)
            self.now += 0.1
            due += self.batcher.tick(self.now)
        return granted


def _claims_a_write(batch: int) -> tuple[float, float]:
    shard = _Shard()
    shard.commit(_make_claims(1, 1))
    writes, written = shard.store.writes, shard.store.bytes_written
    shard.commit(_make_claims(batch, 2))
    writes = shard.store.writes - writes
    return batch / writes, (shard.store.bytes_written - written) / writes


@slopes.register(
    "claims_a_write",
    unit="claims a platform write",
    against="claims that wait together",
    points=_POINTS,
)
def claims_a_write(batch: int) -> float:
    """Claims that one write of a shard commits."""
    return _claims_a_write(batch)[0]


@slopes.register(
    "claim_write_bytes",
    unit="bytes a platform write",
    against="claims that wait together",
    points=_POINTS,
)
def claim_write_bytes(batch: int) -> float:
    """Bytes of one write of a shard."""
    return _claims_a_write(batch)[1]


@slopes.register(
    "claim_cpu",
    unit="seconds a batch",
    against="claims that wait together",
    points=_POINTS,
)
def claim_cpu(batch: int) -> float:
    """Processor time of a batcher to commit claims."""
    batches = iter([_make_claims(batch, number) for number in range(9)])

    def _commit() -> None:
        _Shard().commit(next(batches))

    return slopes.cpu_seconds(_commit)
