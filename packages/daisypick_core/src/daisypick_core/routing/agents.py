"""A router's estimate of the state of each agent.

It is soft state: updated by the load report in every response, approximate,
and reset when the agent's incarnation changes.
"""

import collections

from daisypick_core.messages import load as load_message

# Above this number of waiting attempts per slot, only one attempt of each
# organisation may wait.
_CONGESTED_PER_SLOT = 8
_SMOOTHING = 0.2
# Age beyond which a load report does not indicate free slots, seconds.
STALE_LOAD = 1.0


class AgentView:
    """One agent as one router sees it.

    Attributes:
        address: ``host:port`` of the agent.
        service: Name of the service behind it.
        data_centre: Name of its data centre.
        is_in: Whether its data centre is in service.
        load: The last load report, ``None`` before the first response.
        waiting_by_organisation: Attempts of this router that were sent and
            have not started, by organisation.
        blocked_until_by_organisation: Time before which no attempt of an
            organisation is sent, because its queue there was full.
        sent_since_load: Attempts sent since the last load report.
        suspended_until: Time before which no attempt is sent.
        failures: Consecutive failures since the last successful response.
        drain_probes: Consecutive probes that found it draining.
        first_token: Moving average of the time to first token, seconds,
            ``None`` before the first sample.
        first_token_samples: Number of samples in the average.
        ejected_until: Time until which it is ejected as slow.
        ejections: Number of consecutive ejections.
        load_received_at: Time of the last load report, seconds.
        is_stale: Whether the load report is too old to indicate free slots.
        has_stale_timer: Whether a timer to check its age is set.
    """

    def __init__(
        self,
        *,
        address: str,
        service: str,
        data_centre: str,
        is_in: bool = True,
    ) -> None:
        self.address = address
        self.service = service
        self.data_centre = data_centre
        self.is_in = is_in
        self.load: load_message.Load | None = None
        self.waiting_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        self.blocked_until_by_organisation: dict[str, float] = {}
        self.sent_since_load = 0
        self.suspended_until = 0.0
        self.failures = 0
        self.drain_probes = 0
        self.first_token: float | None = None
        self.first_token_samples = 0
        self.ejected_until = 0.0
        self.ejections = 0
        self.load_received_at = float("-inf")
        self.is_stale = False
        self.has_stale_timer = False

    def record_load(self, load: load_message.Load, now: float) -> None:
        """Record the load report of a response."""
        if self.load and self.load.incarnation != load.incarnation:
            self.suspended_until = 0.0
            self.failures = 0
            self.forget_first_tokens()
        self.load = load
        self.load_received_at = now
        self.is_stale = False
        self.sent_since_load = 0
        if not load.is_draining:
            self.drain_probes = 0

    def forget(self) -> None:
        """Reset the agent to the state of an unknown agent."""
        self.load = None
        self.sent_since_load = 0

    def sent(self, organisation: str) -> None:
        """Record that an attempt was sent."""
        self.waiting_by_organisation[organisation] += 1
        self.sent_since_load += 1

    def left_queue(self, organisation: str) -> None:
        """Record that an attempt started or was returned."""
        self.waiting_by_organisation[organisation] -= 1
        if self.waiting_by_organisation[organisation] <= 0:
            del self.waiting_by_organisation[organisation]

    def attempt_returned(self) -> None:
        """Record a returned attempt, which the last load report may omit."""
        self.sent_since_load = max(0, self.sent_since_load - 1)

    def note_first_token(self, seconds: float) -> None:
        """Record a time to first token, seconds."""
        if self.first_token is None:
            self.first_token = seconds
        self.first_token += _SMOOTHING * (seconds - self.first_token)
        self.first_token_samples += 1

    def forget_first_tokens(self) -> None:
        """Reset the average time to first token."""
        self.first_token = None
        self.first_token_samples = 0

    def may_be_free(self) -> bool:
        """Return whether a slot is free or the load report is stale."""
        return self.free > 0 or (self.is_stale and not self.sent_since_load)

    def is_usable(self, now: float) -> bool:
        """Return whether attempts may be sent to the agent."""
        return (
            self.is_in and not self.is_draining and self.suspended_until <= now
        )

    def has_room(self, organisation: str, window: int, now: float) -> bool:
        """Return whether one more attempt may wait at the agent."""
        if self.load is None:
            # Its incarnation is unknown until the first response.
            return False
        waiting = self.waiting_by_organisation.get(organisation, 0)
        if self.blocked_until_by_organisation.get(organisation, 0.0) > now:
            return False
        if self.is_congested:
            return waiting < 1
        return waiting < window

    @property
    def free(self) -> int:
        """Estimated number of free slots."""
        if self.load is None:
            return 1 - min(1, self.sent_since_load)
        return max(0, self.load.free - self.sent_since_load)

    @property
    def load_per_slot(self) -> float:
        """Estimated number of running and waiting attempts per slot."""
        if self.load is None:
            return 0.0 if self.free else 1.0
        taken = self.load.running + self.load.waiting + self.sent_since_load
        return taken / max(1, self.load.limit)

    @property
    def is_congested(self) -> bool:
        """Whether many attempts per slot wait at the agent."""
        if self.load is None:
            return False
        waiting = self.load.waiting + self.sent_since_load
        return waiting > _CONGESTED_PER_SLOT * max(1, self.load.limit)

    @property
    def is_draining(self) -> bool:
        """Whether the agent last reported that it is draining."""
        return self.load is not None and self.load.is_draining
