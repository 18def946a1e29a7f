"""An agent's state as it travels on every answer.

A router needs to be only roughly right about an agent, so the load is never
asked for: it rides on answers that flow anyway.

Examples:
    >>> load = Load(incarnation="a1", epoch=0, generation=7, limit=8,
    ...             running=5, waiting=0, is_draining=False)
    >>> load.free
    3
"""

import typing


class Load(typing.NamedTuple):
    """What an agent says of itself.

    Attributes:
        incarnation: Random id of this start of the agent.
        epoch: Count of the agent's barring periods, see ``gate.attempts``.
        generation: Generation of the configuration in force.
        limit: Attempts that may run at once, now.
        running: Attempts that run.
        waiting: Attempts that wait at the agent.
        is_draining: Whether nothing new starts.
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
        """Slots that neither run nor are spoken for by waiting attempts."""
        if self.is_draining:
            return 0
        return max(0, self.limit - self.running - self.waiting)
