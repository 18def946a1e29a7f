"""A shard's objects as values; which claims they grant.

A shard has one *head* object and several *spans*. All claims of the shard go
through conditional updates of the head, so the head alone decides which
attempt holds a key. To keep it small, its entries move into a span when it is
full: a span is an immutable segment of entries, and the head lists the valid
spans (``first`` to ``next`` - 1). A key is looked up in the head, then in the
spans from the newest to the oldest.

The boundaries of spans are thus defined by the stored state, and clocks of
different processes are never compared. An entry that moves from the head into
a span at such a boundary is found by every batcher.

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

# Number of entries in a head at which they move into a span.
HEAD_ENTRIES = 64

Entries = tuple[claim_entry.Entry, ...]
EntryByDigest = Mapping[str, claim_entry.Entry]


class Head(typing.NamedTuple):
    """The object that decides which attempt holds a key.

    Attributes:
        first: Number of the oldest valid span.
        next: Number of the next span to be written.
        entries: Claims since the last span, one per digest.
    """

    first: int
    next: int
    entries: Entries

    @property
    def spans(self) -> range:
        """Numbers of the valid spans."""
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
        msgspec.DecodeError: ``value`` is not a head.
    """
    return _head_decoder.decode(value)


def encode_span(entries: Iterable[claim_entry.Entry]) -> bytes:
    """Return the stored form of a span."""
    return msgspec.json.encode(tuple(entries))


def decode_span(value: bytes) -> Entries:
    """Return the entries of a stored span.

    Raises:
        msgspec.DecodeError: ``value`` is not a span.
    """
    return _span_decoder.decode(value)


def by_digest(entries: Iterable[claim_entry.Entry]) -> EntryByDigest:
    """Return entries by the digest of their key."""
    return {entry.digest: entry for entry in entries}


def decide(
    holder: claim_entry.Entry | None, claim: outcomes.Claim
) -> outcomes.Outcome:
    """Return the outcome of a claim, given the key's current holder.

    A claim that is already stored is granted again. Its response may have
    been lost, and a retry must not turn a grant into a refusal.
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

    Another batcher may have written the span, which can then be older than
    the head. Keys that were claimed or taken over since stay in the head.
    """
    rest = tuple(
        entry for entry in head.entries if sealed.get(entry.digest) != entry
    )
    return head._replace(next=head.next + 1, entries=rest)
