"""A batcher's cache of the objects of one shard.

The cache may be outdated. This is safe because a grant takes effect only with
a conditional update against the version on which it was decided.
"""

from collections.abc import Mapping
import typing

from daisypick_core.claims import entry as claim_entry
from daisypick_core.claims import outcomes
from daisypick_core.claims import shard as shard_value

# Minimum time for which a key is remembered after its claim.
RETENTION_SECONDS = 3600.0


class Decision(typing.NamedTuple):
    """Outcomes of a batch of claims, and the head that implements them.

    A claim in neither mapping lost to another claim of the same batch; it
    is decided once that one is stored.

    Attributes:
        head: The head to be stored; unchanged if no claim is granted and no
            span is added or dropped.
        settled_by_ticket: Outcomes that follow from the stored state.
        granted_by_ticket: Claims granted once ``head`` is stored.
    """

    head: shard_value.Head
    settled_by_ticket: Mapping[int, outcomes.Outcome]
    granted_by_ticket: Mapping[int, outcomes.Claim]


class ShardView:
    """Head and spans of one shard, as last read or written.

    Attributes:
        number: Number of the shard.
        is_fresh: Whether the head is usable for decisions.
        version: Version of the head, ``None`` if the object is missing.
        head: The head.
    """

    def __init__(self, *, number: int, now: float) -> None:
        self.number = number
        self.is_fresh = False
        self.version: str | None = None
        self.head = shard_value.EMPTY
        self._since = now
        self._entries_by_span: dict[int, shard_value.EntryByDigest] = {}
        self._version_by_span: dict[int, str] = {}
        self._seen_at_by_span: dict[int, float] = {}

    def set_head(
        self, version: str | None, head: shard_value.Head, now: float
    ) -> None:
        """Set the head after it was read or written."""
        self.is_fresh = True
        self.version = version
        self.head = head
        for span in head.spans:
            self._seen_at_by_span.setdefault(span, now)
        for span in [n for n in self._seen_at_by_span if n < head.first]:
            del self._seen_at_by_span[span]
            self._entries_by_span.pop(span, None)
            self._version_by_span.pop(span, None)

    def set_span(
        self, span: int, version: str, entries: shard_value.Entries
    ) -> None:
        """Add a span that was read or written; spans are immutable."""
        self._entries_by_span[span] = shard_value.by_digest(entries)
        self._version_by_span[span] = version

    def missing_spans(self) -> list[int]:
        """Return the valid spans that are not cached yet, newest first."""
        return [
            span
            for span in reversed(self.head.spans)
            if span not in self._entries_by_span
        ]

    def has_span(self, span: int) -> bool:
        """Return whether a span is cached."""
        return span in self._entries_by_span

    def version_of_span(self, span: int) -> str | None:
        """Return the version of a cached span."""
        return self._version_by_span.get(span)

    def decide(
        self, claim_by_ticket: Mapping[int, outcomes.Claim], now: float
    ) -> Decision:
        """Return the outcomes of the claims and the head that grants them."""
        head = self.head
        if self.has_span(head.next):
            sealed = self._entries_by_span[head.next]
            head = shard_value.without_sealed(head, sealed)
        head = head._replace(first=self._first_to_keep(head, now))
        open_by_digest = shard_value.by_digest(head.entries)
        new_by_digest: dict[str, claim_entry.Entry] = {}
        settled: dict[int, outcomes.Outcome] = {}
        granted: dict[int, outcomes.Claim] = {}
        for ticket, claim in claim_by_ticket.items():
            digest = claim.entry.digest
            if digest in new_by_digest:
                if new_by_digest[digest] == claim.entry:
                    granted[ticket] = claim
                continue
            holder = open_by_digest.get(digest) or self._find_sealed(
                digest, head
            )
            outcome = shard_value.decide(holder, claim)
            if isinstance(outcome, outcomes.Granted) and holder != claim.entry:
                granted[ticket] = claim
                new_by_digest[digest] = claim.entry
            else:
                settled[ticket] = outcome
        entries = tuple({**open_by_digest, **new_by_digest}.values())
        return Decision(
            head=head._replace(entries=entries),
            settled_by_ticket=settled,
            granted_by_ticket=granted,
        )

    def _find_sealed(
        self, digest: str, head: shard_value.Head
    ) -> claim_entry.Entry | None:
        """Return the newest sealed entry of a digest."""
        for span in reversed(head.spans):
            found = self._entries_by_span[span].get(digest)
            if found is not None:
                return found
        return None

    def _first_to_keep(self, head: shard_value.Head, now: float) -> int:
        """Return the oldest span that must be retained.

        A span is dropped after this process has known it as sealed for
        ``RETENTION_SECONDS`` on its own monotonic clock. With stored times the
        clocks of two processes would be compared, and one that is ahead would
        drop keys too early, so that their requests run again.
        """
        first = head.first
        while first < self.head.next:
            seen_at = self._seen_at_by_span.get(first, now)
            if now - seen_at < RETENTION_SECONDS:
                break
            first += 1
        return first
