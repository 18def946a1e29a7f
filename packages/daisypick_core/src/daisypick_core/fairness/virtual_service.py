"""Virtual service by organisation, and the fleet's virtual time.

The virtual service of an organisation grows by tokens divided by its share.
The virtual time is the mean over the organisations that wait, weighted by
share. The difference of the two is an organisation's lag. Three rules bound
the effect of past service on the current order:

* An organisation that returns from idle is lifted to the virtual time: it
  gains no credit, and others are not starved.
* The lag of a waiting organisation is clamped on both sides. One that was
  limited where it waits (few agents, few slots) must not dominate the fleet
  for hours once the limit is gone; one that used capacity which no other
  organisation could reach must not be starved afterwards.
* Only growth is added; removing the marks of a dead incarnation has no effect.

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

DEFAULT_IDLE_SECONDS = 5.0
CLAMP_SECONDS = 60.0
CLAMP_REQUESTS = 64.0
DEFAULT_SHARE = 1.0
_RATE_INTERVAL = 1.0
_RATE_WEIGHT = 0.2


class _State:
    """Virtual service of one organisation.

    Attributes:
        counted: Virtual service counted here, with lifts and clamps.
        floor: Lower bound from the value of another head.
        touched_at: Time at which it last grew or waited.
        waited_at: Time at which it last waited.
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
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self._mean: float | None = None
        self._reference: float | None = None
        self.active_share = 0.0
        self._min_share = 0.0
        self._largest = 0.0
        self._rate = 0.0
        self._growth = 0.0
        self._rate_at: float | None = None

    def __len__(self) -> int:
        return len(self._state_by_organisation)

    @property
    def mean(self) -> float:
        """Mean virtual service of waiting organisations, initially 0."""
        return self._mean or 0.0

    @property
    def time(self) -> float:
        """The fleet's virtual time, the local mean if it is not known."""
        if self._reference is not None:
            return self._reference
        return self.mean

    @property
    def max_lag(self) -> float:
        """Bound on the absolute value of lags, tokens per share."""
        if not (self._min_share and self._rate and self._largest):
            return float("inf")
        by_requests = CLAMP_REQUESTS * self._largest / self._min_share
        return max(by_requests, CLAMP_SECONDS * self._rate)

    def set_shares(self, share_by_organisation: Mapping[str, float]) -> None:
        """Set the shares of a new configuration."""
        self._share_by_organisation = share_by_organisation

    def set_idle_seconds(self, seconds: float) -> None:
        """Set the time without a report after which an organisation is idle.

        It must span several reports. If it were shorter than one period, each
        report would lift every organisation as returning from idle and reset
        all lags, so that the gap between organisations would keep growing.
        """
        self._idle_seconds = max(DEFAULT_IDLE_SECONDS, seconds)

    def set_reference(self, time: float | None) -> None:
        """Set the virtual time over all heads, if it is known."""
        if time is not None:
            self._reference = time

    def resume(self, before: float, now: float) -> None:
        """Resume after a gap without reports from ``before`` to ``now``.

        The fleet's virtual time may be outdated and is dropped. Organisations
        that waited before the gap are treated as having waited throughout: if
        they were lifted as idle, they would lose their lag, which would also
        change the lags of the others.
        """
        self._reference = None
        for state in self._state_by_organisation.values():
            if before - state.waited_at <= self._idle_seconds:
                state.waited_at = now

    def note_largest(self, tokens: float) -> None:
        """Record the size of a request for the bound on lags."""
        self._largest = max(self._largest, tokens)

    def virtual(self, organisation: str) -> float | None:
        """Return the virtual service of an organisation, if known."""
        state = self._state_by_organisation.get(organisation)
        return None if state is None else state.virtual

    def raise_floor(
        self, organisation: str, virtual: float, now: float
    ) -> None:
        """Use the value of another head as a lower bound.

        Two counts are never added, since both include the same service. Each
        may lack some of it, so the higher one is more accurate.
        """
        state = self._state(organisation, now)
        state.floor = max(state.floor, virtual)
        state.waited_at = now

    def adopt(self, organisation: str, virtual: float, now: float) -> bool:
        """Replace the local count if another head has counted more.

        In either case the organisation does not return from idle: the other
        head has seen it wait while this one received no reports.
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
        """Record that an organisation waits; lift it if it was idle."""
        state = self._state(organisation, now)
        if now - state.waited_at > self._idle_seconds:
            state.move_to(max(self.time, state.virtual))
        state.waited_at = now

    def grow(self, organisation: str, tokens: float, now: float) -> None:
        """Add served tokens."""
        state = self._state(organisation, now)
        state.counted += tokens / self.share(organisation)
        self._growth += tokens

    def refresh(self, waiting: Iterable[str], now: float) -> None:
        """Compute the virtual time from waiting organisations, clamp lags."""
        shares = {
            organisation: self.share(organisation)
            for organisation in waiting
            if organisation in self._state_by_organisation
        }
        self.active_share = sum(shares.values())
        self._min_share = min(shares.values(), default=0.0)
        if shares:
            weighted = sum(
                share * self._state_by_organisation[organisation].virtual
                for organisation, share in shares.items()
            )
            self._mean = weighted / self.active_share
        self._update_rate(now)
        self._clamp(shares)

    def drop_older(self, moment: float) -> None:
        """Drop organisations that neither grew nor waited since ``moment``."""
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
        bound = self.max_lag
        time = self.time
        for organisation in organisations:
            state = self._state_by_organisation[organisation]
            lag = state.virtual - time
            if abs(lag) > bound:
                state.move_to(time + math.copysign(bound, lag))
