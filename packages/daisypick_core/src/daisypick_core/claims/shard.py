"""A shard's objects as values; which claims they grant.

A shard has one *head* object and some *spans*. All claims of the shard go
through conditional updates of the head, so the head alone decides who holds a
key. To keep it small, its entries move into a span when it is full: a span
object is written once and never changed, and the head says which spans count
(``first`` to ``next`` - 1). A key is looked up in the head, then in the spans
from the newest to the oldest.

Where a span of time begins and ends is so decided by the stored state. No
clock is compared with another process's clock: a key that straddles the end
of a span is found in the span before, whoever looks.

Examples:
    >>> head = Head(first=0, next=2, entries=())
    >>> list(head.spans), span_name(3, 1)
    ([0, 1], '003.1')
    >>> shard_of_name("003.1"), span_of_name("003.1"), span_of_name("003")
    (3, 1, None)
    >>> decode_head(encode_head(head)) == head
    True
"""

from collections.abc import Iterable
from collections.abc import Mapping
import typing

import msgspec

from daisypick_core.claims import entry as claim_entry
from daisypick_core.claims import outcomes

# Entries that a head holds before they move into a span.
HEAD_ENTRIES = 64

Entries = tuple[claim_entry.Entry, ...]
EntryByDigest = Mapping[str, claim_entry.Entry]


class Head(typing.NamedTuple):
    """The object that decides who holds a key.

    Attributes:
        first: Number of the oldest span that counts.
        next: Number of the next span to be written.
        entries: Claims since the last span, one a digest.
    """

    first: int
    next: int
    entries: Entries

    @property
    def spans(self) -> range:
        """Numbers of the spans that count."""
        return range(self.first, self.next)


EMPTY = Head(first=0, next=0, entries=())

_head_decoder = msgspec.json.Decoder(Head)
_span_decoder = msgspec.json.Decoder(Entries)


def head_name(shard: int) -> str:
    """Return the name of a shard's head object."""
    return f"{shard:03d}"


def span_name(shard: int, span: int) -> str:
    """Return the name of a span object."""
    return f"{shard:03d}.{span}"


def shard_of_name(name: str) -> int:
    """Return the shard that an object's name belongs to."""
    return int(name.partition(".")[0])


def span_of_name(name: str) -> int | None:
    """Return the span in an object's name, ``None`` for a head."""
    span = name.partition(".")[2]
    return int(span) if span else None


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return msgspec.json.encode(head)


def decode_head(value: bytes) -> Head:
    """Return the head of a stored value.

    Raises:
        msgspec.DecodeError: ``value`` is no head.
    """
    return _head_decoder.decode(value)


def encode_span(entries: Iterable[claim_entry.Entry]) -> bytes:
    """Return the stored form of a span."""
    return msgspec.json.encode(tuple(entries))


def decode_span(value: bytes) -> Entries:
    """Return the entries of a stored span.

    Raises:
        msgspec.DecodeError: ``value`` is no span.
    """
    return _span_decoder.decode(value)


def by_digest(entries: Iterable[claim_entry.Entry]) -> EntryByDigest:
    """Return entries by the digest of their key."""
    return {entry.digest: entry for entry in entries}


def decide(
    holder: claim_entry.Entry | None, claim: outcomes.Claim
) -> outcomes.Outcome:
    """Return what a claim gets, given who holds the key now.

    A claim that is stored already is granted again: its answer was lost on
    the way, and asking twice must not turn a grant into a refusal.
    """
    entry = claim.entry
    if holder is None or holder == entry:
        return outcomes.Granted(entry=entry)
    if holder.attempt_id == claim_entry.RELEASED:
        return outcomes.Granted(entry=entry)
    if holder.fingerprint != entry.fingerprint:
        return outcomes.KeyReused(holder=holder)
    if holder.attempt_id == claim.replaces:
        return outcomes.Granted(entry=entry)
    return outcomes.Held(holder=holder)


def without_sealed(head: Head, sealed: EntryByDigest) -> Head:
    """Return the head after span ``next`` with those entries was written.

    The span may be older than the head: another batcher wrote it. What was
    claimed or taken over since then stays in the head.
    """
    rest = tuple(
        entry for entry in head.entries if sealed.get(entry.digest) != entry
    )
    return head._replace(next=head.next + 1, entries=rest)
