"""A request that is ready to start at a model engine."""

import typing


class Part(typing.NamedTuple):
    """A part of a prompt; its name also identifies all parts before it."""

    name: str
    tokens: int


class Job(typing.NamedTuple):
    """A request that is ready to start.

    Attributes:
        key: Unique in the fleet.
        router: Router that submits it.
        organisation: Organisation of the caller.
        parts: Parts of the prompt in their order.
        prompt_tokens: Tokens of the whole prompt.
        output_tokens: Expected number of generated tokens.
        arrived_at: When the caller's request was read.
        objective_at: When its first event should be sent at the latest.
        deadline_at: Deadline of the caller, whether or not events were
            received.
        avoid: Backend servers that it must not go to.
        data_centre: Data centre of its router.
        isolated: Whether it must not share a server with another such request.
            Both may have crashed servers, and the next crash has to tell which
            of them did.
        expected_events: Events of the answer, as predicted at the median; zero
            if unknown.
        high_events: Events that nine in ten such answers do not exceed; zero if
            unknown.
        max_pause: Longest time between two events for which the answer is in
            time, in seconds; zero if unknown.
        only: Backend servers that it may go to, if it goes on with an answer
            that another server began; empty for any.
    """

    key: str
    router: str
    organisation: str
    parts: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    arrived_at: float
    objective_at: float
    deadline_at: float
    avoid: frozenset[str] = frozenset()
    data_centre: str = ""
    isolated: bool = False
    expected_events: float = 0.0
    high_events: float = 0.0
    max_pause: float = 0.0
    only: frozenset[str] = frozenset()

    @property
    def goes_on(self) -> bool:
        """Whether its caller has a part of the answer already."""
        return bool(self.only)

    def may_use(self, server: str) -> bool:
        """Return whether it may go to a backend server."""
        return server not in self.avoid and (
            not self.only or server in self.only
        )

    @property
    def cost(self) -> float:
        """Tokens that count against the organisation's share."""
        return find_cost(self.prompt_tokens, self.output_tokens)

    def find_waited_share(self, now: float) -> float:
        """Return the share of its objective that the request has waited."""
        objective_seconds = self.objective_at - self.arrived_at
        return (now - self.arrived_at) / max(objective_seconds, 0.001)


def find_cost(prompt_tokens: int, output_tokens: int) -> float:
    """Return the tokens that a request counts against its share.

    A generated token counts as two prompt tokens, as in the platform's measure
    of the fleet's capacity.

    Examples:
        >>> find_cost(1000, 50)
        1100.0
    """
    return prompt_tokens + 2.0 * output_tokens
