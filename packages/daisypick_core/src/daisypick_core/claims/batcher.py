"""Commits the claims of many agents in few writes.

Each shard has at most one write in flight; claims that arrive meanwhile are
batched into the next one. The choice of a shard's batcher is advisory:
concurrent batchers see conflicts, read again and retry, and the conditional
update grants only one of two claims of a key.

A lost response of the store leaves the outcome of a write unknown. The
batcher then reads the head: a claim found in it is granted. If the read fails
as well, the claim is ``Unavailable`` although its entry may be stored; the
claiming agent bars the attempt, so that the entry is harmless.

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

# Maximum claims per write, which keeps the object small.
MAX_BATCH_CLAIMS = 512
# Maximum spans read concurrently by a batcher that takes over a shard.
MAX_CONCURRENT_READS = 16

_RETRIED_CODES = frozenset(
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
        write_interval: Minimum seconds between two writes of one shard.
            Together with ``entry.SHARD_COUNT`` it bounds the rate of store
            writes of the whole fleet, regardless of the number of claims.
        retry_delay: Mean seconds before a store call is retried.
        timeout: Seconds after which a claim that is not settled is
            ``Unavailable``.
        claims: Maximum number of waiting claims.
        idle: Seconds after which a shard without claims is dropped from
            memory.
    """

    write_interval: float = 0.3
    retry_delay: float = 0.05
    timeout: float = 2.0
    claims: int = 4096
    idle: float = 2 * shard_view.RETENTION_SECONDS


class _WaitingClaim(typing.NamedTuple):
    """A claim whose outcome is pending."""

    claim: outcomes.Claim
    expires_at: float


class _ShardWork:
    """A shard's waiting claims and its store calls in flight."""

    def __init__(self, *, number: int, now: float) -> None:
        self.view = shard_view.ShardView(number=number, now=now)
        self.waiting_by_ticket: dict[int, _WaitingClaim] = {}
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
        """Number of claims that are not settled yet."""
        return self._waiting_count

    def wake_at(self) -> float | None:
        """Return when ``tick`` is due next, ``None`` if nothing waits."""
        times = [
            waiting.expires_at
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
        """Accept a claim; one ``Settle`` with its ticket returns its outcome.

        The driver chooses tickets and uses each only once.
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
        expires_at = now + self._limits.timeout
        waiting = _WaitingClaim(claim=claim, expires_at=expires_at)
        work.waiting_by_ticket[ticket] = waiting
        self._waiting_count += 1
        return self._advance(work, now)

    def done(
        self,
        call: actions.StoreCall,
        result: actions.Stored | failure_value.Failure,
        now: float,
    ) -> list[actions.BatcherAction]:
        """Handle the result of a store call.

        The result of a call that is not in flight is ignored.
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
        """Expire claims that waited too long, begin calls that are due."""
        due: list[actions.BatcherAction] = []
        for number, work in list(self._work_by_shard.items()):
            due += self._expire(work, now)
            due += self._advance(work, now)
            is_idle = now - work.used_at > self._limits.idle
            if is_idle and not work.waiting_by_ticket and not work.call_by_id:
                del self._work_by_shard[number]
        return due

    def _advance(
        self, work: _ShardWork, now: float
    ) -> list[actions.BatcherAction]:
        """Begin the next store calls that the shard's claims need."""
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
                for span in missing[:MAX_CONCURRENT_READS]
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

        The span is stored before its entries are removed from the head. A
        crash in between leaves a span that the head does not include; the
        next batcher fails to create that span and adopts the stored one.
        """
        return actions.Write(
            name=shard_value.span_name(view.number, view.head.next),
            value=shard_value.encode_span(view.head.entries),
            if_version=None,
        )

    def _commit(
        self, work: _ShardWork, now: float
    ) -> list[actions.BatcherAction]:
        """Settle claims already decided, write those that are granted."""
        waiting = itertools.islice(
            work.waiting_by_ticket.items(), MAX_BATCH_CLAIMS
        )
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
        deletes = self._delete_dropped(work.view, decision.head)
        work.view.set_head(result.version, decision.head, now)
        due: list[actions.BatcherAction] = []
        for ticket, claim in decision.granted_by_ticket.items():
            granted = outcomes.Granted(entry=claim.entry)
            due += self._settle(work, ticket, granted)
        return due + deletes

    def _delete_dropped(
        self, view: shard_view.ShardView, head: shard_value.Head
    ) -> list[actions.BatcherAction]:
        """Return deletes of the spans that the stored head drops."""
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
        if failure.code not in _RETRIED_CODES:
            view.is_fresh = False
            return self._refuse_all(work, failure.reason)
        if isinstance(call, actions.Write) and span is not None:
            # Another batcher wrote this span, or the response to this
            # batcher's own write was lost: continue with the stored span.
            return [self._begin(work, actions.Read(name=call.name))]
        # A concurrent batcher has changed the head, or a write of this one
        # whose response was lost. A missing span was deleted under a newer
        # head.
        view.is_fresh = False
        delay = self._limits.retry_delay * self._rng.uniform(0.5, 1.5)
        if failure.code == codes.PLATFORM_BUDGET_SPENT:
            # Nothing was sent; claims accumulate for one larger write.
            delay = failure.retry_after or self._limits.write_interval
        work.not_before = now + delay
        return []

    def _expire(
        self, work: _ShardWork, now: float
    ) -> list[actions.BatcherAction]:
        late = [
            ticket
            for ticket, waiting in work.waiting_by_ticket.items()
            if waiting.expires_at <= now
        ]
        return self._refuse(work, late, "the claim store is slow")

    def _refuse_all(
        self, work: _ShardWork, reason: str
    ) -> list[actions.BatcherAction]:
        """Refuse all claims now, since each holds a slot at its agent."""
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
        """Settle a claim once; one that has expired is settled already."""
        if work.waiting_by_ticket.pop(ticket, None) is None:
            return []
        self._waiting_count -= 1
        return [actions.Settle(ticket=ticket, outcome=outcome)]
