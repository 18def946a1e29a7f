"""Virtual service by organisation, and the fleet's virtual time.

The virtual service of an organisation grows by tokens divided by its share.
The virtual time is the mean over the organisations that wait, weighted by
share. The difference of the two is an organisation's lag. Three rules keep
the past from becoming a windfall or a punishment:

* An organisation that comes back from idle is lifted to the virtual time: it
  gains no credit, and the others are not starved for it.
* The lag of a waiting organisation is clamped on both sides. One that was
  throttled where it waits (few agents, few slots) must not take the fleet
  for hours when it is let loose; one that used capacity which nobody else
  could reach must not starve for it.
* Only growth is ever added; forgetting a dead incarnation changes nothing.

Examples:
    >>> service = VirtualService(share_by_organisation={"studio": 2.0})
    >>> service.activate("union", 0.0); service.activate("studio", 0.0)
    >>> service.grow("union", 30.0, 0.0); service.grow("studio", 30.0, 0.0)
    >>> service.refresh(["union", "studio"], 0.0)
    >>> service.virtual("union"), service.virtual("studio"), service.time
    (30.0, 15.0, 20.0)
    >>> service.activate("farm", 0.0); service.virtual("farm")
    20.0
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

DEFAULT_QUIET_SECONDS = 5.0
CLAMP_SECONDS = 60.0
CLAMP_REQUESTS = 64.0
DEFAULT_SHARE = 1.0
_RATE_INTERVAL = 1.0
_RATE_WEIGHT = 0.2


class _State:
    """Virtual service of one organisation.

    Attributes:
        counted: What was counted here, with lifts and clamps.
        floor: What another head has counted, as last told.
        touched_at: When it last grew or waited.
        waited_at: When it last waited.
    """

    __slots__ = ("counted", "floor", "touched_at", "waited_at")

    def __init__(self, *, counted: float, now: float, waited_at: float) -> None:
        self.counted = counted
        self.floor = counted
        self.touched_at = now
        self.waited_at = waited_at

    @property
    def virtual(self) -> float:
        return max(self.counted, self.floor)

    def move_to(self, virtual: float) -> None:
        self.counted = virtual
        self.floor = virtual


class VirtualService:
    """Virtual service by organisation."""

    def __init__(self, *, share_by_organisation: Mapping[str, float]) -> None:
        self._share_by_organisation = share_by_organisation
        self._state_by_organisation: dict[str, _State] = {}
        self._quiet_seconds = DEFAULT_QUIET_SECONDS
        self._mean: float | None = None
        self._reference: float | None = None
        self.active_share = 0.0
        self._least_share = 0.0
        self._largest = 0.0
        self._rate = 0.0
        self._growth = 0.0
        self._rate_at: float | None = None

    def __len__(self) -> int:
        return len(self._state_by_organisation)

    @property
    def mean(self) -> float:
        """Mean virtual service of those that wait here, 0 before any did."""
        return self._mean or 0.0

    @property
    def time(self) -> float:
        """The fleet's virtual time as far as it is known here."""
        if self._reference is not None:
            return self._reference
        return self.mean

    @property
    def largest_lag(self) -> float:
        """Bound to which lags are clamped, tokens per share."""
        if not (self._least_share and self._rate and self._largest):
            return float("inf")
        by_requests = CLAMP_REQUESTS * self._largest / self._least_share
        return max(by_requests, CLAMP_SECONDS * self._rate)

    def set_shares(self, share_by_organisation: Mapping[str, float]) -> None:
        """Take the shares of a new configuration."""
        self._share_by_organisation = share_by_organisation

    def set_quiet(self, seconds: float) -> None:
        """Set how long an organisation may be unheard of without being idle.

        It must span several reports. Were it shorter than one period, each
        report would find every organisation back from idle and forgive all
        lags, so that the gap would grow with the length of the run.
        """
        self._quiet_seconds = max(DEFAULT_QUIET_SECONDS, seconds)

    def set_reference(self, time: float | None) -> None:
        """Take the virtual time over all heads, if it is known."""
        if time is not None:
            self._reference = time

    def resume(self, before: float, now: float) -> None:
        """Go on after a time without reports, from ``before`` to ``now``.

        The fleet's time may have moved on and is dropped. Organisations that
        waited before are taken to have waited all along: lifted as idle ones,
        they would lose their lag, and others theirs by comparison.
        """
        self._reference = None
        for state in self._state_by_organisation.values():
            if before - state.waited_at <= self._quiet_seconds:
                state.waited_at = now

    def note_largest(self, tokens: float) -> None:
        """Note the size of a large request."""
        self._largest = max(self._largest, tokens)

    def virtual(self, organisation: str) -> float | None:
        """Return the virtual service of an organisation, if known."""
        state = self._state_by_organisation.get(organisation)
        return None if state is None else state.virtual

    def follow(self, organisation: str, virtual: float, now: float) -> None:
        """Take what another head has counted as a lower bound.

        No sum of two counts is ever formed, since both contain the same
        service. Each may lack some, so the higher one is closer.
        """
        state = self._state(organisation, now)
        state.floor = max(state.floor, virtual)
        state.waited_at = now

    def go_on_from(self, organisation: str, virtual: float, now: float) -> bool:
        """Replace what was counted here if another head has counted more.

        Either way the organisation is not back from idle: the other head has
        seen it wait while this one was away.
        """
        state = self._state_by_organisation.get(organisation)
        if state is not None and state.counted >= virtual:
            state.waited_at = now
            return False
        self._state_by_organisation[organisation] = _State(
            counted=virtual, now=now, waited_at=now
        )
        return True

    def activate(self, organisation: str, now: float) -> None:
        """Note that an organisation waits; lift it if it was idle."""
        state = self._state(organisation, now)
        if now - state.waited_at > self._quiet_seconds:
            state.move_to(max(self.time, state.virtual))
        state.waited_at = now

    def grow(self, organisation: str, tokens: float, now: float) -> None:
        """Add served tokens."""
        state = self._state(organisation, now)
        state.counted += tokens / self.share(organisation)
        self._growth += tokens

    def refresh(self, waiting: Iterable[str], now: float) -> None:
        """Compute the virtual time from those that wait, clamp their lags."""
        shares = {
            organisation: self.share(organisation)
            for organisation in waiting
            if organisation in self._state_by_organisation
        }
        self.active_share = sum(shares.values())
        self._least_share = min(shares.values(), default=0.0)
        if shares:
            weighted = sum(
                share * self._state_by_organisation[organisation].virtual
                for organisation, share in shares.items()
            )
            self._mean = weighted / self.active_share
        self._update_rate(now)
        self._clamp(shares)

    def drop_older(self, moment: float) -> None:
        """Forget organisations that neither grew nor waited since."""
        for organisation in list(self._state_by_organisation):
            if self._state_by_organisation[organisation].touched_at < moment:
                del self._state_by_organisation[organisation]

    def share(self, organisation: str) -> float:
        """Return the share of an organisation."""
        return self._share_by_organisation.get(organisation, DEFAULT_SHARE)

    def _state(self, organisation: str, now: float) -> _State:
        state = self._state_by_organisation.get(organisation)
        if state is None:
            state = _State(counted=self.time, now=now, waited_at=float("-inf"))
            self._state_by_organisation[organisation] = state
        state.touched_at = now
        return state

    def _update_rate(self, now: float) -> None:
        if self._rate_at is None:
            self._rate_at = now
        interval = now - self._rate_at
        if interval < _RATE_INTERVAL or not self.active_share:
            return
        rate = self._growth / interval / self.active_share
        weight = _RATE_WEIGHT if self._rate else 1.0
        self._rate += weight * (rate - self._rate)
        self._growth = 0.0
        self._rate_at = now

    def _clamp(self, organisations: Iterable[str]) -> None:
        bound = self.largest_lag
        time = self.time
        for organisation in organisations:
            state = self._state_by_organisation[organisation]
            lag = state.virtual - time
            if abs(lag) > bound:
                state.move_to(time + math.copysign(bound, lag))
