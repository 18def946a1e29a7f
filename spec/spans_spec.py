"""Specification of a claim shard: one key, two batchers, head and spans.

The head alone decides which attempt holds a key. When it is full, its entries
move into a span, and spans are forgotten by age. Two batchers do this
concurrently; each may crash and lose its state between any two calls to the
store.

Property: a key is granted again only to an attempt that may replace the holder
(attempt 1 may replace attempt 0), or ``REMEMBER`` ticks after its last grant.
The model has one clock; the batchers use it only to measure how long they have
watched a span themselves.
"""

from collections.abc import Iterator
import typing

import minicheck

REMEMBER = 1
LAST_TICK = 1
SPANS = 2
ABSENT = "absent"

# The only takeover allowed: the agent of attempt 0 has barred attempt 0.
ATTEMPTS = (0, 1)
REPLACES = {1: 0}

SAFEGUARDS = (
    "the head is written by conditional update",
    "a span is stored before the head lets go of its entries",
    "a span is written once",
    "only entries that the span holds leave the head",
    "the head is looked up before the spans",
    "a span is forgotten only after it was watched long enough",
)


class Head(typing.NamedTuple):
    """The head: its version, the range of valid spans, the key's holder."""

    version: int = 0
    first: int = 0
    next: int = 0
    holder: int | None = None


class Batcher(typing.NamedTuple):
    """The state of a batcher.

    Attributes:
        head: The head as last read or written.
        sealed: The key's holder in span ``head.next``; ``ABSENT`` if the
            batcher does not know of a stored span there.
        seen_at: Time at which each span was first seen to be valid.
    """

    head: Head | None = None
    sealed: int | str | None = ABSENT
    seen_at: tuple[int | None, ...] = (None,) * SPANS


class Store(typing.NamedTuple):
    """Head and spans as stored, the time, and the last grant.

    Attributes:
        head: The head.
        spans: The key's holder in each span, ``ABSENT`` if not stored.
        now: The time, ticks.
        granted_to: Attempt to which the key was last granted.
        granted_at: Time of the last grant, ticks.
        is_violated: Whether the property was violated.
    """

    head: Head = Head()
    spans: tuple[int | str | None, ...] = (ABSENT,) * SPANS
    now: int = 0
    granted_to: int | None = None
    granted_at: int | None = None
    is_violated: bool = False


State = tuple
Step = tuple[str, State]


class Specification:
    """The transitions, optionally without one safeguard."""

    def __init__(self, *, without: str | None = None) -> None:
        if without is not None and without not in SAFEGUARDS:
            raise ValueError(f"without: {without!r} is not a safeguard")
        self._without = without

    def protocol(self) -> minicheck.Protocol:
        """Return the model for the checker."""
        return minicheck.Protocol(
            name="claim shard",
            candidate=False,
            fields=("batcher0", "batcher1", "store"),
            initial=(Batcher(), Batcher(), Store()),
            transitions=lambda state: list(self._steps(state)),
            invariants={
                "a held key is not granted": lambda d: (
                    not d["store"].is_violated
                )
            },
        )

    def _has(self, safeguard: str) -> bool:
        assert safeguard in SAFEGUARDS
        return safeguard != self._without

    def _steps(self, state: State) -> Iterator[Step]:
        store = state[-1]
        if store.is_violated:
            return
        if store.now < LAST_TICK:
            yield "tick", (*state[:-1], store._replace(now=store.now + 1))
        for number in (0, 1):
            batcher = state[number]
            if batcher.head is None:
                yield f"read {number}", self._read(state, number)
                continue
            yield f"crash {number}", _with(state, number, Batcher(), store)
            yield f"read {number}", self._read(state, number)
            if batcher.sealed == ABSENT and batcher.head.next < SPANS:
                yield f"seal {number}", self._seal(state, number)
            if batcher.sealed != ABSENT or self._can_forget(batcher, store.now):
                yield f"tidy {number}", self._commit(state, number, None)
            for attempt in ATTEMPTS:
                yield (
                    f"claim {attempt} by {number}",
                    self._claim(state, number, attempt),
                )

    def _read(self, state: State, number: int) -> State:
        store = state[-1]
        batcher = state[number]
        if batcher.head is not None and batcher.head.next != store.head.next:
            batcher = batcher._replace(sealed=ABSENT)
        known = self._watch(batcher._replace(head=store.head), store.now)
        return _with(state, number, known, store)

    def _watch(self, batcher: Batcher, now: int) -> Batcher:
        seen_at = tuple(
            now if seen is None and span < batcher.head.next else seen
            for span, seen in enumerate(batcher.seen_at)
        )
        return batcher._replace(seen_at=seen_at)

    def _seal(self, state: State, number: int) -> State:
        """Store the head's entries as a span, or find that one exists."""
        store = state[-1]
        batcher = state[number]
        span = batcher.head.next
        content = batcher.head.holder
        exists = store.spans[span] != ABSENT
        if not self._has(
            "a span is stored before the head lets go of its entries"
        ):
            return _with(state, number, batcher._replace(sealed=content), store)
        if exists and self._has("a span is written once"):
            found = batcher._replace(sealed=store.spans[span])
            return _with(state, number, found, store)
        spans = (*store.spans[:span], content, *store.spans[span + 1 :])
        sealed = batcher._replace(sealed=content)
        return _with(state, number, sealed, store._replace(spans=spans))

    def _can_forget(self, batcher: Batcher, now: int) -> bool:
        first = batcher.head.first
        if first >= batcher.head.next:
            return False
        if not self._has(
            "a span is forgotten only after it was watched long enough"
        ):
            return True
        return now - batcher.seen_at[first] >= REMEMBER

    def _claim(self, state: State, number: int, attempt: int) -> State:
        holder = self._look_up(state, number)
        if holder == attempt:
            return state
        may_replace = REPLACES.get(attempt) == holder
        if holder is not None and not may_replace:
            return state
        return self._commit(state, number, attempt)

    def _look_up(self, state: State, number: int) -> int | None:
        batcher = state[number]
        head = batcher.head
        spans = state[-1].spans
        sealed = [
            spans[span] for span in reversed(range(head.first, head.next))
        ]
        if batcher.sealed != ABSENT:
            sealed.insert(0, batcher.sealed)
        holders = [head.holder, *sealed]
        if not self._has("the head is looked up before the spans"):
            holders = [*sealed, head.holder]
        found = [holder for holder in holders if holder not in (None, ABSENT)]
        return found[0] if found else None

    def _commit(self, state: State, number: int, attempt: int | None) -> State:
        """Write the head: seal, forget and grant in one update."""
        store = state[-1]
        batcher = state[number]
        head = batcher.head
        is_current = head.version == store.head.version
        if not is_current and self._has(
            "the head is written by conditional update"
        ):
            # On a conflict the head must be read again.
            again = batcher._replace(head=None, sealed=ABSENT)
            return _with(state, number, again, store)
        new = self._new_head(batcher, attempt, store.now)
        new = new._replace(version=store.head.version + 1)
        written = self._watch(
            batcher._replace(head=new, sealed=ABSENT), store.now
        )
        store = store._replace(head=new)
        if attempt is not None:
            store = self._grant(store, attempt)
        return _with(state, number, written, store)

    def _new_head(
        self, batcher: Batcher, attempt: int | None, now: int
    ) -> Head:
        head = batcher.head
        if self._can_forget(batcher, now):
            head = head._replace(first=head.first + 1)
        if batcher.sealed != ABSENT:
            is_held = head.holder == batcher.sealed
            if is_held or not self._has(
                "only entries that the span holds leave the head"
            ):
                head = head._replace(holder=None)
            head = head._replace(next=head.next + 1)
        if attempt is not None:
            head = head._replace(holder=attempt)
        return head

    def _grant(self, store: Store, attempt: int) -> Store:
        """Record a grant, and whether it violates the property."""
        is_takeover = REPLACES.get(attempt) == store.granted_to
        granted_at = store.granted_at
        is_early = granted_at is not None and store.now - granted_at < REMEMBER
        return store._replace(
            granted_to=attempt,
            granted_at=store.now,
            is_violated=is_early and not is_takeover,
        )


def _with(state: State, number: int, batcher: Batcher, store: Store) -> State:
    """Return the state with a batcher and the store replaced."""
    batchers = [*state[:-1]]
    batchers[number] = batcher
    return (*batchers, store)
