"""What organisations got lately, so that the least served goes first.

Use decays with the window over which capacity is shared, so an organisation
that was quiet earns no lasting credit and one that flooded pays for no longer
than that window.

Examples:
    >>> use = FairUse(window_seconds=4.0)
    >>> use.add("union", 100.0, now=0.0)
    >>> use.read("union", now=0.0), round(use.read("union", now=4.0), 1)
    (100.0, 36.8)
"""

import math


class FairUse:
    """Decayed tokens by organisation."""

    def __init__(self, *, window_seconds: float) -> None:
        self._window = window_seconds
        self._use_by_organisation: dict[str, tuple[float, float]] = {}

    def add(self, organisation: str, tokens: float, now: float) -> None:
        """Count tokens that an organisation is given."""
        used = self.read(organisation, now) + tokens
        self._use_by_organisation[organisation] = (used, now)

    def read(self, organisation: str, now: float) -> float:
        """Return the decayed tokens of an organisation."""
        entry = self._use_by_organisation.get(organisation)
        if entry is None:
            return 0.0
        used, at = entry
        return used * math.exp(-max(now - at, 0.0) / self._window)
