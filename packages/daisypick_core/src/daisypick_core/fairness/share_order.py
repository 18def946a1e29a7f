"""The order in which a gate gives free slots to organisations.

Each organisation has a *virtual service*: tokens served divided by its share
(start-time fair queueing; a virtual token counter). A free slot goes to the
lowest. An organisation that comes back from idle starts at the lowest active
counter, so that it neither gains credit nor starves anybody.

Examples:
    >>> order = ShareOrder(share_by_organisation={"union": 1.0, "studio": 4.0})
    >>> order.arrive("union", 0.0)
    >>> order.arrive("studio", 0.0)
    >>> order.charge("union", 10.0)
    >>> order.charge("studio", 20.0)
    >>> order.pick(["union", "studio"], 0.0)
    'studio'
"""

from collections.abc import Iterable
from collections.abc import Mapping

from daisypick_core.messages import attempt as attempt_message

DEFAULT_SHARE = 1.0


class ShareOrder:
    """Virtual service by organisation at one gate."""

    def __init__(self, *, share_by_organisation: Mapping[str, float]) -> None:
        self._share_by_organisation = dict(share_by_organisation)
        self._service_by_organisation: dict[str, float] = {}
        self._active: set[str] = set()
        self._progress_by_attempt: dict[str, int] = {}

    def set_shares(self, share_by_organisation: Mapping[str, float]) -> None:
        """Take the shares of a new configuration."""
        self._share_by_organisation = dict(share_by_organisation)

    def arrive(self, organisation: str, now: float) -> None:
        """Note that an organisation has work waiting here."""
        del now
        floor = min(
            (self._virtual(other) for other in self._active), default=0.0
        )
        if self._virtual(organisation) < floor:
            share = self._share(organisation)
            self._service_by_organisation[organisation] = floor * share
        self._active.add(organisation)

    def depart(self, organisation: str) -> None:
        """Note that an organisation has no work waiting here."""
        self._active.discard(organisation)

    def charge(self, organisation: str, tokens: float) -> None:
        """Charge tokens; negative ones give an unused charge back."""
        served = self._service_by_organisation.get(organisation, 0.0)
        self._service_by_organisation[organisation] = served + tokens

    def progress(self, attempt_id: str, tokens: int) -> None:
        """Note tokens that stream, before the true cost is known."""
        self._progress_by_attempt[attempt_id] = tokens

    def settle(self, attempt: attempt_message.Attempt, cost: float) -> None:
        """Replace the estimate charged at the start by the true cost."""
        self._progress_by_attempt.pop(attempt.attempt_id, None)
        self.charge(attempt.organisation, cost - attempt.estimate)

    def pick(self, organisations: Iterable[str], now: float) -> str:
        """Return the organisation that is served next."""
        del now
        return min(organisations, key=lambda o: (self._virtual(o), o))

    def _share(self, organisation: str) -> float:
        return self._share_by_organisation.get(organisation, DEFAULT_SHARE)

    def _virtual(self, organisation: str) -> float:
        served = self._service_by_organisation.get(organisation, 0.0)
        return served / self._share(organisation)
