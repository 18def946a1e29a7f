"""Grow-only totals of service, by incarnation and organisation.

Each agent counts, for its own incarnation, the tokens that it has served for
each organisation; the count only grows (a G-counter). A *mark* is such a
count together with the part of it that some head has acknowledged. The join
of two marks takes the larger of each value, so it is commutative, associative
and idempotent: a report that is lost, duplicated, late or out of order is
harmless, as the next one includes it.

Examples:
    >>> join(Mark(served=5.0, included=2.0), Mark(served=4.0, included=3.0))
    Mark(served=5.0, included=3.0)
    >>> tally = Tally()
    >>> tally.merge("a1", "union", Mark(served=7.0, included=2.0), 0.0)
    5.0
    >>> tally.merge("a1", "union", Mark(served=7.0, included=2.0), 0.0)
    0.0
    >>> tally.merge("a1", "union", Mark(served=9.0, included=7.0), 1.0)
    2.0

References:
    M. Shapiro, N. Preguica, C. Baquero, M. Zawirski: "A comprehensive study
    of convergent and commutative replicated data types", INRIA RR-7506, 2011.
"""

from collections.abc import Iterator
import typing


class Mark(typing.NamedTuple):
    """Service of one organisation at one incarnation of an agent.

    Attributes:
        served: Tokens served since the incarnation started.
        included: The part of them that a head has acknowledged.
    """

    served: float
    included: float


class Key(typing.NamedTuple):
    """Incarnation and organisation whose service a mark counts."""

    incarnation: str
    organisation: str


class _Entry(typing.NamedTuple):
    """A mark and the time of its latest report."""

    mark: Mark
    refreshed_at: float


def join(one: Mark, other: Mark) -> Mark:
    """Return the least upper bound of two marks."""
    return Mark(
        served=max(one.served, other.served),
        included=max(one.included, other.included),
    )


class Tally:
    """Marks of many incarnations; those not refreshed can be dropped.

    The next report of its agent creates a dropped mark again, which then
    counts from ``included``. Dropping therefore loses no acknowledged service
    and counts none twice.
    """

    def __init__(self) -> None:
        self._entries_by_organisation: dict[str, dict[str, _Entry]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._entries_by_organisation.values()))

    def get(self, key: Key) -> Mark | None:
        """Return a mark, ``None`` if it is not known."""
        entries = self._entries_by_organisation.get(key.organisation, {})
        entry = entries.get(key.incarnation)
        return None if entry is None else entry.mark

    def items(self) -> Iterator[tuple[Key, Mark]]:
        """Yield all marks."""
        for organisation, entries in self._entries_by_organisation.items():
            for incarnation, entry in entries.items():
                yield Key(incarnation, organisation), entry.mark

    def of(self, organisation: str) -> Iterator[tuple[Key, Mark]]:
        """Yield the marks of an organisation."""
        entries = self._entries_by_organisation.get(organisation, {})
        for incarnation, entry in entries.items():
            yield Key(incarnation, organisation), entry.mark

    def merge(
        self, incarnation: str, organisation: str, mark: Mark, now: float
    ) -> float:
        """Join a mark and return the tokens that it adds.

        A new mark adds the tokens that no head has acknowledged. If it added
        all of ``served``, an agent whose mark was dropped would count all its
        past service again, and its organisations would be starved.
        """
        entries = self._entries_by_organisation.setdefault(organisation, {})
        before = entries.get(incarnation)
        if before is None:
            entries[incarnation] = _Entry(mark=mark, refreshed_at=now)
            return max(0.0, mark.served - mark.included)
        after = join(before.mark, mark)
        entries[incarnation] = _Entry(
            mark=after, refreshed_at=max(now, before.refreshed_at)
        )
        return after.served - before.mark.served

    def merge_all(self, other: "Tally") -> None:
        """Join every mark of another tally."""
        for organisation, entries in other._entries_by_organisation.items():
            for incarnation, entry in entries.items():
                self.merge(
                    incarnation, organisation, entry.mark, entry.refreshed_at
                )

    def acknowledge(self, key: Key, served: float) -> None:
        """Record that a head has counted ``served`` tokens of a mark."""
        entries = self._entries_by_organisation.get(key.organisation, {})
        entry = entries.get(key.incarnation)
        if entry is not None:
            mark = join(entry.mark, Mark(entry.mark.served, served))
            entries[key.incarnation] = entry._replace(mark=mark)

    def drop_older(self, moment: float) -> list[Key]:
        """Drop marks not refreshed since ``moment`` and return their keys."""
        dropped = [
            Key(incarnation, organisation)
            for organisation, entries in self._entries_by_organisation.items()
            for incarnation, entry in entries.items()
            if entry.refreshed_at < moment
        ]
        for key in dropped:
            entries = self._entries_by_organisation[key.organisation]
            del entries[key.incarnation]
            if not entries:
                del self._entries_by_organisation[key.organisation]
        return dropped
