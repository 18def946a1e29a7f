"""An agent's state, which is sent with every response.

A router needs only an approximate view of an agent, so the load is never
polled: it is piggybacked on responses.

Examples:
    >>> load = Load(incarnation="a1", epoch=0, generation=7, limit=8,
    ...             running=5, waiting=0, is_draining=False)
    >>> load.free
    3
"""

import typing


class Load(typing.NamedTuple):
    """The load that an agent reports.

    Attributes:
        incarnation: Random id of this run of the agent process.
        epoch: Number of the agent's current epoch, see ``gate.attempts``.
        generation: Generation of the configuration in force.
        limit: Current limit of concurrent attempts.
        running: Number of running attempts.
        waiting: Number of attempts queued at the agent.
        is_draining: Whether the agent starts no new attempts.
    """

    incarnation: str
    epoch: int
    generation: int
    limit: int
    running: int
    waiting: int
    is_draining: bool

    @property
    def free(self) -> int:
        """Slots that are neither in use nor needed by queued attempts."""
        if self.is_draining:
            return 0
        return max(0, self.limit - self.running - self.waiting)
