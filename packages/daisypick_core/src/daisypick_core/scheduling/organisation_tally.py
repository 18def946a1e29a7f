"""Demand and usage of organisations since the last read.

Log lines of single requests are dropped under overload, which is when they
would show who is served at whose expense. Sums by organisation are few and
exact, so they can be written at any load.

Examples:
    >>> tally = OrganisationTally()
    >>> tally.add("farm", requests=1, asked=200.0)
    >>> tally.add("flood", requests=1, asked=900.0)
    >>> tally.add("flood", requests=1, asked=900.0, refused=1)
    >>> tally.take(1, by="asked")
    [{'organisation': 'flood', 'requests': 2, 'asked': 1800.0, 'refused': 1}]
    >>> tally.take(1, by="asked")
    []
"""

import collections


class OrganisationTally:
    """Named sums by organisation."""

    def __init__(self) -> None:
        self._sums_by_organisation: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )

    def add(self, organisation: str, **amounts: float) -> None:
        """Add to an organisation's sums."""
        self._sums_by_organisation[organisation].update(amounts)

    def note_most(self, organisation: str, name: str, value: float) -> None:
        """Keep the maximum of the values of a name."""
        sums = self._sums_by_organisation[organisation]
        sums[name] = max(sums[name], value)

    def take(self, limit: int, *, by: str) -> list[dict[str, str | float]]:
        """Return the rows with the largest sums of a name, and reset."""
        taken = sorted(
            self._sums_by_organisation.items(),
            key=lambda item: item[1][by],
            reverse=True,
        )
        self._sums_by_organisation.clear()
        return [
            {"organisation": organisation, **sums}
            for organisation, sums in taken[:limit]
        ]
