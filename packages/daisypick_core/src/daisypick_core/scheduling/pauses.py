"""Organisations whose requests are refused without asking, for a moment.

A flood of one organisation that was refused by its service's scheduler asks
again at once, and each question costs two messages and two wake-ups. On a
small VM hundreds of them are open at once, and requests of others end at their
deadlines without an answer. So a refusal says for how long the
next ones would fare the same, and the router refuses them by itself.

Examples:
    >>> pauses = Pauses()
    >>> pauses.set("flood", seconds=0.05, now=1.0)
    >>> pauses.is_paused("flood", now=1.04), pauses.is_paused("flood", now=1.06)
    (True, False)
    >>> pauses.is_paused("farm", now=1.04)
    False
    >>> pauses.was_paused("flood", now=1.5), pauses.was_paused("farm", now=1.5)
    (True, False)
"""

import math

# How long an organisation counts as a flood after its last pause; some times
# as long as the loop of a busy VM is late.
_RECENT_PAUSE_SECONDS = 2.0


class Pauses:
    """Ends of pauses by organisation."""

    def __init__(self) -> None:
        self._until_by_organisation: dict[str, float] = {}

    def set(self, organisation: str, *, seconds: float, now: float) -> None:
        """Take a pause from now on."""
        self._until_by_organisation[organisation] = now + seconds

    def is_paused(self, organisation: str, now: float) -> bool:
        """Tell whether an organisation's requests are refused now."""
        return now < self._find_end(organisation)

    def was_paused(self, organisation: str, now: float) -> bool:
        """Tell whether an organisation was paused a moment ago, or is now."""
        return now < self._find_end(organisation) + _RECENT_PAUSE_SECONDS

    def _find_end(self, organisation: str) -> float:
        return self._until_by_organisation.get(organisation, -math.inf)
