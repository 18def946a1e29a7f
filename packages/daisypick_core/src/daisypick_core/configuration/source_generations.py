"""The generation that each source last reported.

The table is bounded and keeps only sources that are ahead. A source that
fails is suspended for a while and then retried, since it may be the only one
with its generation.

Examples:
    >>> generations = SourceGenerations(rng=random.Random(1))
    >>> generations.record("a", 3); generations.record("b", 4)
    >>> generations.best_source(above=2, now=0.0)
    'b'
    >>> generations.suspend("b", 5.0)
    >>> generations.best_source(above=2, now=0.0), generations.best_source(
    ...     above=2, now=5.0)
    ('a', 'b')
"""

import random

LIMIT = 16


class SourceGenerations:
    """Reported generations by source."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._generation_by_source: dict[str, int] = {}
        self._until_by_source: dict[str, float] = {}

    def reported_generation(self, source: str) -> int:
        """Return the generation that a source reported, 0 if none."""
        return self._generation_by_source.get(source, 0)

    def record(self, source: str, generation: int) -> None:
        """Record a generation reported by a source; the highest is kept."""
        highest = max(self.reported_generation(source), generation)
        self._generation_by_source[source] = highest
        if len(self._generation_by_source) > LIMIT:
            lowest = min(
                self._generation_by_source,
                key=lambda one: self._generation_by_source[one],
            )
            del self._generation_by_source[lowest]

    def replace(self, source: str, generation: int) -> None:
        """Set the generation that a source was seen to have, even if lower."""
        self._until_by_source.pop(source, None)
        self._generation_by_source.pop(source, None)
        if generation > 0:
            self.record(source, generation)

    def suspend(self, source: str, until: float) -> None:
        """Do not select a source before the given time."""
        self._until_by_source.pop(source, None)
        self._until_by_source[source] = until
        if len(self._until_by_source) > LIMIT:
            del self._until_by_source[next(iter(self._until_by_source))]

    def best_source(self, *, above: int, now: float) -> str | None:
        """Return a usable source with the highest generation above a bound."""
        usable = {
            source: generation
            for source, generation in self._generation_by_source.items()
            if generation > above
            and self._until_by_source.get(source, 0.0) <= now
        }
        if not usable:
            return None
        highest = max(usable.values())
        return self._rng.choice(
            [source for source, value in usable.items() if value == highest]
        )

    def has_source_ahead(self, generation: int) -> bool:
        """Return whether a source that has not failed is ahead."""
        return any(
            reported > generation and source not in self._until_by_source
            for source, reported in self._generation_by_source.items()
        )

    def forget_up_to(self, generation: int) -> None:
        """Drop the sources that are no longer ahead."""
        self._generation_by_source = {
            source: reported
            for source, reported in self._generation_by_source.items()
            if reported > generation
        }
