"""Organisations whose requests a router refuses locally, for a short time.

An organisation that is far over its share keeps submitting requests after the
scheduler of the service has refused some, and each submission costs two
messages and two wake-ups. On a small VM hundreds of them are outstanding at
once, and requests of other organisations reach their deadlines without a
response. So a refusal states for how long further requests would be refused
too, and the router refuses these without submitting them.

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

# Seconds for which an organisation counts as recently paused after the end of
# its last pause: several times the lag of the event loop on a busy VM.
_RECENT_PAUSE_SECONDS = 2.0


class Pauses:
    """Ends of pauses by organisation."""

    def __init__(self) -> None:
        self._until_by_organisation: dict[str, float] = {}

    def set(self, organisation: str, *, seconds: float, now: float) -> None:
        """Pause an organisation from now on."""
        self._until_by_organisation[organisation] = now + seconds

    def is_paused(self, organisation: str, now: float) -> bool:
        """Return whether an organisation's requests are refused now."""
        return now < self._find_end(organisation)

    def was_paused(self, organisation: str, now: float) -> bool:
        """Return whether an organisation is or was recently paused."""
        return now < self._find_end(organisation) + _RECENT_PAUSE_SECONDS

    def _find_end(self, organisation: str) -> float:
        return self._until_by_organisation.get(organisation, -math.inf)
