"""What a router believes of each agent.

It is soft state: learned from the load on every answer, roughly right, and
thrown away when the agent's incarnation changes.
"""

import collections

from daisypick_core.messages import load as load_message


class AgentView:
    """One agent as one router sees it.

    Attributes:
        address: ``host:port`` of the agent.
        service: Name of the service behind it.
        data_centre: Name of its data centre.
        load: The load last heard, ``None`` before the first answer.
        waiting_by_organisation: Attempts of this router that were sent and
            have not started, by organisation.
        sent_since_load: Attempts sent since the load was heard.
        suspended_until: Time before which nothing is sent.
    """

    def __init__(self, *, address: str, service: str, data_centre: str) -> None:
        self.address = address
        self.service = service
        self.data_centre = data_centre
        self.load: load_message.Load | None = None
        self.waiting_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        self.sent_since_load = 0
        self.suspended_until = 0.0

    def hear(self, load: load_message.Load) -> None:
        """Take the load of an answer."""
        self.load = load
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

    @property
    def free(self) -> int:
        """Slots believed to be free."""
        if self.load is None:
            return 1 - min(1, self.sent_since_load)
        return max(0, self.load.free - self.sent_since_load)

    @property
    def is_draining(self) -> bool:
        """Whether the agent last said that nothing starts."""
        return self.load is not None and self.load.is_draining
