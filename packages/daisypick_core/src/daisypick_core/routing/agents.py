"""What a router believes of each agent.

It is soft state: learned from the load on every answer, roughly right, and
thrown away when the agent's incarnation changes.
"""

import collections

from daisypick_core.messages import load as load_message

# Beyond this many waiting attempts a slot, one of an organisation is enough.
_CROWDED_PER_SLOT = 8
_SMOOTHING = 0.2
# A load that is older says nothing of free slots, seconds.
STALE_LOAD = 1.0


class AgentView:
    """One agent as one router sees it.

    Attributes:
        address: ``host:port`` of the agent.
        service: Name of the service behind it.
        data_centre: Name of its data centre.
        is_in: Whether its data centre takes work.
        load: The load last heard, ``None`` before the first answer.
        waiting_by_organisation: Attempts of this router that were sent and
            have not started, by organisation.
        blocked_until_by_organisation: Time before which nothing of an
            organisation is sent, since its queue there was full.
        sent_since_load: Attempts sent since the load was heard.
        suspended_until: Time before which nothing is sent.
        failures: Failures since the last good answer.
        drains: Times it was found draining since it last was not.
        first_token: Moving average of the time to first token, seconds,
            ``None`` before the first.
        first_token_samples: How many times are in it.
        slow_until: Time until which it is set aside as slow.
        times_slow: How often it was, without a break.
        heard_at: Time of the load, seconds.
        is_stale: Whether the load is too old to say what is free.
        has_stale_timer: Whether a timer will look at the load's age.
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
        self.drains = 0
        self.first_token: float | None = None
        self.first_token_samples = 0
        self.slow_until = 0.0
        self.times_slow = 0
        self.heard_at = float("-inf")
        self.is_stale = False
        self.has_stale_timer = False

    def hear(self, load: load_message.Load, now: float) -> None:
        """Take the load of an answer."""
        if self.load and self.load.incarnation != load.incarnation:
            self.suspended_until = 0.0
            self.failures = 0
            self.forget_first_tokens()
        self.load = load
        self.heard_at = now
        self.is_stale = False
        self.sent_since_load = 0
        if not load.is_draining:
            self.drains = 0

    def forget(self) -> None:
        """Take the agent as one that was never heard of."""
        self.load = None
        self.sent_since_load = 0

    def sent(self, organisation: str) -> None:
        """Note an attempt on its way."""
        self.waiting_by_organisation[organisation] += 1
        self.sent_since_load += 1

    def left_queue(self, organisation: str) -> None:
        """Note that an attempt started or came back."""
        self.waiting_by_organisation[organisation] -= 1
        if self.waiting_by_organisation[organisation] <= 0:
            del self.waiting_by_organisation[organisation]

    def came_back(self) -> None:
        """Note an attempt that the load last heard does not count."""
        self.sent_since_load = max(0, self.sent_since_load - 1)

    def note_first_token(self, seconds: float) -> None:
        """Take a time to first token, seconds."""
        if self.first_token is None:
            self.first_token = seconds
        self.first_token += _SMOOTHING * (seconds - self.first_token)
        self.first_token_samples += 1

    def forget_first_tokens(self) -> None:
        """Judge the agent's speed anew."""
        self.first_token = None
        self.first_token_samples = 0

    def may_be_free(self) -> bool:
        """Tell whether a slot is free, or the load too old to deny it."""
        return self.free > 0 or (self.is_stale and not self.sent_since_load)

    def is_usable(self, now: float) -> bool:
        """Tell whether attempts may be sent at all."""
        return (
            self.is_in and not self.is_draining and self.suspended_until <= now
        )

    def has_room(self, organisation: str, window: int, now: float) -> bool:
        """Tell whether one more attempt may wait there."""
        if self.load is None:
            # Its incarnation is not known: the first answer has to tell it.
            return False
        waiting = self.waiting_by_organisation.get(organisation, 0)
        if self.blocked_until_by_organisation.get(organisation, 0.0) > now:
            return False
        if self.is_crowded:
            return waiting < 1
        return waiting < window

    @property
    def free(self) -> int:
        """Slots believed to be free."""
        if self.load is None:
            return 1 - min(1, self.sent_since_load)
        return max(0, self.load.free - self.sent_since_load)

    @property
    def pressure(self) -> float:
        """Attempts believed to run or wait there, a slot."""
        if self.load is None:
            return 0.0 if self.free else 1.0
        taken = self.load.running + self.load.waiting + self.sent_since_load
        return taken / max(1, self.load.limit)

    @property
    def is_crowded(self) -> bool:
        """Whether many attempts wait there for each slot."""
        if self.load is None:
            return False
        waiting = self.load.waiting + self.sent_since_load
        return waiting > _CROWDED_PER_SLOT * max(1, self.load.limit)

    @property
    def is_draining(self) -> bool:
        """Whether the agent last said that nothing starts."""
        return self.load is not None and self.load.is_draining
