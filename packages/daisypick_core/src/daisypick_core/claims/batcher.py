"""Commits the claims of many agents in few writes.

Claims of a shard that arrive while a write of it is under way go together
into the next one. Of each shard one write is under way at a time. Which
process is the batcher of a shard is advice: several at once see conflicts,
read again and go on, and the conditional update lets only one of two claims
of a key pass.

An answer of the store that is lost leaves a write unknown. The batcher then
reads the head back: a claim that it finds stored is granted. If it cannot
read either, the claim is ``Unavailable`` though its entry may be stored; the
claiming agent bars the attempt, so that the entry does no harm.

Every event takes ``now`` (seconds, any monotonic clock) and returns actions.

See Also:
    ``daisypick_core.claims.shard``: the stored objects.
    ``daisypick_core.claims.claimant``: the agent's side.
"""

from collections.abc import Iterable
import itertools
import random
import typing

import msgspec

from daisypick_core.claims import actions
from daisypick_core.claims import entry as claim_entry
from daisypick_core.claims import outcomes
from daisypick_core.claims import shard as shard_value
from daisypick_core.claims import shard_view
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

# Claims that one write carries, so that the object stays small.
BATCH_CLAIMS = 512
# Spans read at once by a batcher that takes a shard over.
READS_AT_ONCE = 16

_RETRIED = frozenset(
    {
        codes.PLATFORM_CONFLICT,
        codes.PLATFORM_ANSWER_LOST,
        codes.PLATFORM_BUDGET_SPENT,
        codes.NOT_FOUND,
    }
)


class BatcherLimits(typing.NamedTuple):
    """Bounds of a batcher.

    Attributes:
        write_interval: Seconds between two writes of one shard, at least.
            With ``entry.SHARD_COUNT`` it bounds what all claims of the fleet
            together take of the store's writes, whatever their number.
        retry_delay: Seconds before the store is tried again, about.
        patience: Seconds after which a claim that is not settled is
            ``Unavailable``.
        claims: Claims that wait, in all.
        idle: Seconds after which a shard without claims is dropped from
            memory.
    """

    write_interval: float = 0.3
    retry_delay: float = 0.05
    patience: float = 2.0
    claims: int = 4096
    idle: float = 2 * shard_view.REMEMBER_SECONDS


class _Waiting(typing.NamedTuple):
    """A claim that waits for its outcome."""

    claim: outcomes.Claim
    give_up_at: float


class _ShardWork:
    """A shard's claims and the call that is under way for it."""

    def __init__(self, *, number: int, now: float) -> None:
        self.view = shard_view.ShardView(number=number, now=now)
        self.waiting_by_ticket: dict[int, _Waiting] = {}
        self.call_by_id: dict[int, actions.StoreCall] = {}
        self.decision: shard_view.Decision | None = None
        self.not_before = now
        self.used_at = now


class Batcher:
    """Commits claims to the shards of the platform's store."""

    def __init__(
        self,
        *,
        rng: random.Random,
        limits: BatcherLimits = BatcherLimits(),  # noqa: B008 (immutable)
    ) -> None:
        self._rng = rng
        self._limits = limits
        self._work_by_shard: dict[int, _ShardWork] = {}
        self._waiting_count = 0

    @property
    def waiting_count(self) -> int:
        """Claims that are not settled yet."""
        return self._waiting_count

    def wake_at(self) -> float | None:
        """Return when ``tick`` has something to do, ``None`` if nothing."""
        times = [
            waiting.give_up_at
            for work in self._work_by_shard.values()
            for waiting in itertools.islice(work.waiting_by_ticket.values(), 1)
        ]
        times += [
            work.not_before
            for work in self._work_by_shard.values()
            if work.waiting_by_ticket and not work.call_by_id
        ]
        return min(times, default=None)

    @property
    def shards(self) -> tuple[int, ...]:
        """Numbers of the shards in memory, sorted."""
        return tuple(sorted(self._work_by_shard))

    def submit(
        self, ticket: int, claim: outcomes.Claim, now: float
    ) -> list[actions.BatcherAction]:
        """Take in a claim; one ``Settle`` with its ticket answers it.

        The driver chooses tickets, each once.
        """
        if self._waiting_count >= self._limits.claims:
            full = outcomes.Unavailable(reason="the batcher is full")
            return [actions.Settle(ticket=ticket, outcome=full)]
        number = claim_entry.shard_of(claim.entry.digest)
        work = self._work_by_shard.get(number)
        if work is None:
            work = _ShardWork(number=number, now=now)
            self._work_by_shard[number] = work
        work.used_at = now
        give_up_at = now + self._limits.patience
        waiting = _Waiting(claim=claim, give_up_at=give_up_at)
        work.waiting_by_ticket[ticket] = waiting
        self._waiting_count += 1
        return self._advance(work, now)

    def done(
        self,
        call: actions.StoreCall,
        result: actions.Stored | failure_value.Failure,
        now: float,
    ) -> list[actions.BatcherAction]:
        """Note the result of a store call.

        The result of a call that is no longer waited for is ignored.
        """
        work = self._work_by_shard.get(shard_value.shard_of_name(call.name))
        if work is None or work.call_by_id.pop(id(call), None) is not call:
            return []
        if failure_value.is_failure(result):
            due = self._failed(work, call, result, now)
        elif isinstance(call, actions.Read):
            due = self._read(work, call, result, now)
        else:
            due = self._written(work, call, result, now)
        return due + self._advance(work, now)

    def tick(self, now: float) -> list[actions.BatcherAction]:
        """Give up what waited too long, begin writes that are due."""
        due: list[actions.BatcherAction] = []
        for number, work in list(self._work_by_shard.items()):
            due += self._give_up(work, now)
            due += self._advance(work, now)
            is_idle = now - work.used_at > self._limits.idle
            if is_idle and not work.waiting_by_ticket and not work.call_by_id:
                del self._work_by_shard[number]
        return due

    def _advance(
        self, work: _ShardWork, now: float
    ) -> list[actions.BatcherAction]:
        """Begin the next call that the shard's claims need."""
        is_busy = bool(work.call_by_id) or not work.waiting_by_ticket
        if is_busy or now < work.not_before:
            return []
        view = work.view
        if not view.is_fresh:
            name = shard_value.head_name(view.number)
            return [self._begin(work, actions.Read(name=name))]
        missing = view.missing_spans()
        if missing:
            names = [
                shard_value.span_name(view.number, span)
                for span in missing[:READS_AT_ONCE]
            ]
            return [self._begin(work, actions.Read(name=n)) for n in names]
        if self._must_seal(view):
            return [self._begin(work, self._seal(view))]
        return self._commit(work, now)

    def _begin(
        self, work: _ShardWork, call: actions.StoreCall
    ) -> actions.StoreCall:
        work.call_by_id[id(call)] = call
        return call

    def _must_seal(self, view: shard_view.ShardView) -> bool:
        is_full = len(view.head.entries) >= shard_value.HEAD_ENTRIES
        return is_full and not view.has_span(view.head.next)

    def _seal(self, view: shard_view.ShardView) -> actions.Write:
        """Return the write of the head's entries as a new span.

        The span is stored before the head lets go of its entries. A crash
        in between leaves a span that nobody counts; the next batcher finds
        it in its way and takes it over.
        """
        return actions.Write(
            name=shard_value.span_name(view.number, view.head.next),
            value=shard_value.encode_span(view.head.entries),
            if_version=None,
        )

    def _commit(
        self, work: _ShardWork, now: float
    ) -> list[actions.BatcherAction]:
        """Settle what is decided already, write what is granted."""
        waiting = itertools.islice(work.waiting_by_ticket.items(), BATCH_CLAIMS)
        batch = {ticket: entry.claim for ticket, entry in waiting}
        decision = work.view.decide(batch, now)
        due: list[actions.BatcherAction] = []
        for ticket, outcome in decision.settled_by_ticket.items():
            due += self._settle(work, ticket, outcome)
        if not decision.granted_by_ticket:
            return due
        work.decision = decision
        work.not_before = now + self._limits.write_interval
        write = actions.Write(
            name=shard_value.head_name(work.view.number),
            value=shard_value.encode_head(decision.head),
            if_version=work.view.version,
        )
        return [*due, self._begin(work, write)]

    def _read(
        self,
        work: _ShardWork,
        call: actions.Read,
        result: actions.Stored,
        now: float,
    ) -> list[actions.BatcherAction]:
        span = shard_value.span_of_name(call.name)
        try:
            if span is None:
                head = shard_value.decode_head(result.value)
                work.view.set_head(result.version, head, now)
            else:
                entries = shard_value.decode_span(result.value)
                work.view.set_span(span, result.version, entries)
        except msgspec.DecodeError:
            return self._refuse_all(work, f"object {call.name} is unreadable")
        return []

    def _written(
        self,
        work: _ShardWork,
        call: actions.StoreCall,
        result: actions.Stored,
        now: float,
    ) -> list[actions.BatcherAction]:
        span = shard_value.span_of_name(call.name)
        if span is not None:
            entries = work.view.head.entries
            work.view.set_span(span, result.version, entries)
            return []
        decision = work.decision
        work.decision = None
        forgotten = self._forgotten(work.view, decision.head)
        work.view.set_head(result.version, decision.head, now)
        due: list[actions.BatcherAction] = []
        for ticket, claim in decision.granted_by_ticket.items():
            granted = outcomes.Granted(entry=claim.entry)
            due += self._settle(work, ticket, granted)
        return due + forgotten

    def _forgotten(
        self, view: shard_view.ShardView, head: shard_value.Head
    ) -> list[actions.BatcherAction]:
        """Return deletes of the spans that the stored head lets go of."""
        return [
            actions.Delete(
                name=shard_value.span_name(view.number, span),
                if_version=version,
            )
            for span in range(view.head.first, head.first)
            if (version := view.version_of_span(span)) is not None
        ]

    def _failed(
        self,
        work: _ShardWork,
        call: actions.StoreCall,
        failure: failure_value.Failure,
        now: float,
    ) -> list[actions.BatcherAction]:
        work.decision = None
        view = work.view
        span = shard_value.span_of_name(call.name)
        if failure.code == codes.NOT_FOUND and span is None:
            view.set_head(None, shard_value.EMPTY, now)
            return []
        if failure.code not in _RETRIED:
            view.is_fresh = False
            return self._refuse_all(work, failure.reason)
        if isinstance(call, actions.Write) and span is not None:
            # Another batcher wrote this span, or our own write of it took
            # effect and its answer was lost: go on with what is stored.
            return [self._begin(work, actions.Read(name=call.name))]
        # Whoever was faster, or our own lost write, has changed the head; a
        # span that is gone was forgotten under a newer head.
        view.is_fresh = False
        delay = self._limits.retry_delay * self._rng.uniform(0.5, 1.5)
        if failure.code == codes.PLATFORM_BUDGET_SPENT:
            # Nothing was sent; claims gather for one larger write.
            delay = failure.retry_after or self._limits.write_interval
        work.not_before = now + delay
        return []

    def _give_up(
        self, work: _ShardWork, now: float
    ) -> list[actions.BatcherAction]:
        late = [
            ticket
            for ticket, waiting in work.waiting_by_ticket.items()
            if waiting.give_up_at <= now
        ]
        return self._refuse(work, late, "the claim store is slow")

    def _refuse_all(
        self, work: _ShardWork, reason: str
    ) -> list[actions.BatcherAction]:
        """Refuse at once: a claim that waits holds a slot at its agent."""
        return self._refuse(work, list(work.waiting_by_ticket), reason)

    def _refuse(
        self, work: _ShardWork, tickets: Iterable[int], reason: str
    ) -> list[actions.BatcherAction]:
        unavailable = outcomes.Unavailable(reason=reason)
        due: list[actions.BatcherAction] = []
        for ticket in tickets:
            due += self._settle(work, ticket, unavailable)
        return due

    def _settle(
        self, work: _ShardWork, ticket: int, outcome: outcomes.Outcome
    ) -> list[actions.BatcherAction]:
        """Answer a claim once; one that was given up is answered already."""
        if work.waiting_by_ticket.pop(ticket, None) is None:
            return []
        self._waiting_count -= 1
        return [actions.Settle(ticket=ticket, outcome=outcome)]
