"""What a router knows of a request, and of the agents that can take it."""

import typing


class Request(typing.NamedTuple):
    """A caller's request as the dispatcher sees it.

    Attributes:
        request_id: Unique id.
        organisation: Name of the organisation that pays.
        service: Name of the service.
        estimate: Expected cost, tokens.
        deadline: Time by which it must have started.
        is_repeatable: Whether a second run does no harm.
        idempotency_key: The caller's key, if any.
        fingerprint: Hash of method, path and body.
        prefix: Hash of the prompt's prefix, ``""`` if none.
        is_stream: Whether the answer streams.
    """

    request_id: str
    organisation: str
    service: str
    estimate: float
    deadline: float
    is_repeatable: bool = True
    idempotency_key: str | None = None
    fingerprint: str = ""
    prefix: str = ""
    is_stream: bool = False


class DispatcherLimits(typing.NamedTuple):
    """Bounds of the router's queues.

    Attributes:
        queued_per_organisation: Requests of one organisation that wait,
            unless ``Dispatcher.set_queue_bounds`` names another number.
        queued_in_all: Requests that wait in all.
        window: Attempts waiting at one agent, an organisation.
    """

    queued_per_organisation: int = 512
    queued_in_all: int = 8192
    window: int = 2


class AgentAddress(typing.NamedTuple):
    """Where the agent of a backend server listens.

    Attributes:
        address: ``host:port`` of the agent.
        service: Name of the service behind it.
        data_centre: Name of its data centre.
        is_in: Whether its data centre takes work.
    """

    address: str
    service: str
    data_centre: str
    is_in: bool = True


class Job:
    """A request on its way to an answer.

    Attributes:
        request: The request.
        moves: Times it came back as "not run".
        retries: Times an attempt of it failed.
        withdrawals: Times the router took it back from an agent.
        avoid: Agent that refused it last, ``""`` if none.
        may_have_run: Whether an attempt of it broke off without an answer.
        needs_budget: Whether its next attempt spends from the retry budget.
    """

    __slots__ = (
        "request",
        "moves",
        "retries",
        "withdrawals",
        "avoid",
        "may_have_run",
        "needs_budget",
    )

    def __init__(self, *, request: Request) -> None:
        self.request = request
        self.moves = 0
        self.retries = 0
        self.withdrawals = 0
        self.avoid = ""
        self.may_have_run = False
        self.needs_budget = False

    @property
    def deadline(self) -> float:
        """Time by which it must have started, seconds."""
        return self.request.deadline
