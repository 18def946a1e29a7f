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
"""


class Pauses:
    """Ends of pauses by organisation."""

    def __init__(self) -> None:
        self._until_by_organisation: dict[str, float] = {}

    def set(self, organisation: str, *, seconds: float, now: float) -> None:
        """Take a pause from now on."""
        self._until_by_organisation[organisation] = now + seconds

    def is_paused(self, organisation: str, now: float) -> bool:
        """Tell whether an organisation's requests are refused now."""
        until = self._until_by_organisation.get(organisation)
        if until is None:
            return False
        if now >= until:
            del self._until_by_organisation[organisation]
            return False
        return True
