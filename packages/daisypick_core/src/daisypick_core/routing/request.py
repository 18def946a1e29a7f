"""Requests, queue limits and agent addresses as the dispatcher sees them."""

import typing


class Request(typing.NamedTuple):
    """A caller's request as the dispatcher sees it.

    Attributes:
        request_id: Unique id.
        organisation: Name of the organisation that is charged.
        service: Name of the service.
        estimate: Expected cost, tokens.
        deadline: Time by which it must have started.
        is_repeatable: Whether the request may run more than once.
        idempotency_key: The caller's key, if any.
        fingerprint: Hash of method, path and body.
        prefix: Hash of the prompt's prefix, ``""`` if none.
        is_stream: Whether the response is streamed.
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
    """Limits of the router's queues.

    Attributes:
        queued_per_organisation: Maximum number of waiting requests of one
            organisation, unless set by ``Dispatcher.set_queue_bounds``.
        queued_in_all: Maximum number of waiting requests in total.
        window: Maximum number of waiting attempts per organisation and agent.
    """

    queued_per_organisation: int = 512
    queued_in_all: int = 8192
    window: int = 2


class AgentAddress(typing.NamedTuple):
    """The address of the agent of a backend server.

    Attributes:
        address: ``host:port`` of the agent.
        service: Name of the service behind it.
        data_centre: Name of its data centre.
        is_in: Whether its data centre is in service.
    """

    address: str
    service: str
    data_centre: str
    is_in: bool = True


class Job:
    """A request in progress.

    Attributes:
        request: The request.
        moves: Number of attempts returned as "not run".
        retries: Number of attempts that were retried after a failure.
        withdrawals: Number of withdrawals from an agent.
        avoided_agent: Agent that last refused or failed it, ``""`` if none.
        may_have_run: Whether an attempt broke off without a response.
        needs_budget: Whether its next attempt spends from the retry budget.
    """

    __slots__ = (
        "request",
        "moves",
        "retries",
        "withdrawals",
        "avoided_agent",
        "may_have_run",
        "needs_budget",
    )

    def __init__(self, *, request: Request) -> None:
        self.request = request
        self.moves = 0
        self.retries = 0
        self.withdrawals = 0
        self.avoided_agent = ""
        self.may_have_run = False
        self.needs_budget = False

    @property
    def deadline(self) -> float:
        """Time by which it must have started, seconds."""
        return self.request.deadline
