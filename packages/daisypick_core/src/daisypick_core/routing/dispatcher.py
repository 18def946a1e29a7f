"""The router's core: what waits, where it is sent, what is retried.

Requests wait in a bounded queue an organisation. The dispatcher sends to each
agent no more than it has free slots for, and beyond those no more than
``window`` waiting attempts an organisation and agent, so that the choice of
who goes next stays with the gates. What a gate gives back as "not run" goes
to the front of its queue and elsewhere.

Every event takes ``now`` (seconds, any monotonic clock) and returns actions.
"""

import collections
import itertools
import random
import typing

from daisypick_core.messages import attempt as attempt_message
from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import actions
from daisypick_core.routing import agents as agents_view
from daisypick_core.routing import pick
from daisypick_core.routing import retry_budget

SUSPEND_SECONDS = 1.0

# Codes by which an agent says that it takes nothing now, not that the
# request is at fault; the next attempt goes elsewhere and costs no budget.
_MOVES = frozenset(
    {
        codes.DRAINING.number,
        codes.STALE_INCARNATION.number,
        codes.STALE_EPOCH.number,
        codes.WITHDRAWN.number,
        codes.AGENT_QUEUE_FULL.number,
        codes.NOT_CONFIGURED.number,
    }
)
# Codes by which an agent gives the request its final answer.
_FINAL = frozenset(
    {
        codes.DEADLINE_PASSED.number,
        codes.STORE_UNAVAILABLE.number,
        codes.KEY_IN_PROGRESS.number,
        codes.KEY_REUSED.number,
        codes.OUTCOME_UNKNOWN.number,
    }
)


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


class DispatcherLimits(typing.NamedTuple):
    """Bounds of the router's queues.

    Attributes:
        queued_per_organisation: Requests of one organisation that wait.
        queued_in_all: Requests that wait in all.
        window: Attempts waiting at one agent, an organisation.
    """

    queued_per_organisation: int = 512
    queued_in_all: int = 8192
    window: int = 2


class AgentAddress(typing.NamedTuple):
    """Where the agent of a backend server listens."""

    address: str
    service: str
    data_centre: str


class _Flight(typing.NamedTuple):
    """A request's attempt that is out at an agent."""

    request: Request
    attempt: attempt_message.Attempt
    agent: str
    has_started: bool


class Dispatcher:
    """Sends requests to agents and decides on their retries."""

    def __init__(
        self,
        *,
        router: str,
        rng: random.Random,
        policy: str = "least_of_two",
        limits: DispatcherLimits = DispatcherLimits(),  # noqa: B008
        budget: retry_budget.RetryBudget | None = None,
    ) -> None:
        self._router = router
        self._rng = rng
        self._policy = pick.by_name[policy]
        self._limits = limits
        self._budget = budget or retry_budget.RetryBudget()
        self._ids = itertools.count(1)
        self._agents_by_address: dict[str, agents_view.AgentView] = {}
        self._queue_by_organisation: dict[
            tuple[str, str], collections.deque[Request]
        ] = {}
        self._queued_count = 0
        self._flight_by_request: dict[str, _Flight] = {}
        self._request_by_attempt: dict[str, str] = {}

    def set_agents(
        self, addresses: typing.Iterable[AgentAddress], now: float
    ) -> list[actions.Action]:
        """Take the agents of a new configuration."""
        known = self._agents_by_address
        self._agents_by_address = {
            entry.address: known.get(entry.address)
            or agents_view.AgentView(
                address=entry.address,
                service=entry.service,
                data_centre=entry.data_centre,
            )
            for entry in addresses
        }
        return self._send(now)

    def submit(self, request: Request, now: float) -> list[actions.Action]:
        """Take a caller's request."""
        refusal = self._check_bounds(request)
        if refusal is not None:
            return [
                actions.Fail(request_id=request.request_id, failure=refusal)
            ]
        self._budget.earn()
        self._queue(request).append(request)
        self._queued_count += 1
        return self._send(now)

    def hear(
        self, agent: str, load: load_message.Load, now: float
    ) -> list[actions.Action]:
        """Take an agent's load."""
        view = self._agents_by_address.get(agent)
        if view is None:
            return []
        view.hear(load)
        return self._send(now)

    def started(self, attempt_id: str, now: float) -> list[actions.Action]:
        """Note that an attempt has left the agent's queue and runs."""
        request_id = self._request_by_attempt.get(attempt_id)
        if request_id is None:
            return []
        flight = self._flight_by_request[request_id]
        if not flight.has_started:
            self._leave_queue(flight)
            self._flight_by_request[request_id] = flight._replace(
                has_started=True
            )
        return self._send(now)

    def returned(
        self, attempt_id: str, refusal: failure_value.Failure, now: float
    ) -> list[actions.Action]:
        """Note that an attempt came back and never ran."""
        flight = self._land(attempt_id)
        if flight is None:
            return []
        request = flight.request
        if refusal.code.number in _FINAL:
            return [self._fail(request, refusal), *self._send(now)]
        if refusal.code != codes.STALE_EPOCH:
            # The refusal brought the agent's epoch along: the next attempt
            # may go there at once.
            self._suspend(flight.agent, refusal, now)
        if refusal.code.number not in _MOVES and not self._budget.try_spend():
            spent = failure_value.Failure(
                code=codes.RETRIES_SPENT, reason=refusal.reason
            )
            return [self._fail(request, spent), *self._send(now)]
        self._queue(request).appendleft(request)
        self._queued_count += 1
        return self._send(now)

    def broken(
        self, attempt_id: str, refusal: failure_value.Failure, now: float
    ) -> list[actions.Action]:
        """Note that an attempt may have run and has no answer."""
        flight = self._land(attempt_id)
        if flight is None:
            return []
        request = flight.request
        self._suspend(flight.agent, refusal, now)
        if request.is_repeatable and self._budget.try_spend():
            self._queue(request).appendleft(request)
            self._queued_count += 1
            return self._send(now)
        return [self._fail(request, refusal), *self._send(now)]

    def finished(self, attempt_id: str, now: float) -> list[actions.Action]:
        """Note that an attempt's whole answer has arrived."""
        self._land(attempt_id)
        return self._send(now)

    def cancel(self, request_id: str, now: float) -> list[actions.Action]:
        """Forget a request whose caller has gone."""
        flight = self._flight_by_request.get(request_id)
        if flight is not None:
            self._land(flight.attempt.attempt_id)
            cancel = actions.Cancel(attempt=flight.attempt, agent=flight.agent)
            return [cancel, *self._send(now)]
        for key, queue in list(self._queue_by_organisation.items()):
            for request in queue:
                if request.request_id == request_id:
                    queue.remove(request)
                    self._queued_count -= 1
                    self._drop_if_empty(key)
                    return []
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Fail what waited past its deadline, send what can be sent."""
        actions_due: list[actions.Action] = []
        for key, queue in list(self._queue_by_organisation.items()):
            for request in [r for r in queue if r.deadline <= now]:
                queue.remove(request)
                self._queued_count -= 1
                refusal = failure_value.Failure(
                    code=codes.DEADLINE_PASSED,
                    reason="waited past its deadline at the router",
                )
                actions_due.append(self._fail(request, refusal))
            self._drop_if_empty(key)
        return actions_due + self._send(now)

    @property
    def queued_count(self) -> int:
        """Requests that wait at the router."""
        return self._queued_count

    @property
    def in_flight_count(self) -> int:
        """Requests that are out at agents."""
        return len(self._flight_by_request)

    def _check_bounds(self, request: Request) -> failure_value.Failure | None:
        if self._queued_count >= self._limits.queued_in_all:
            return failure_value.Failure(
                code=codes.ROUTER_FULL,
                reason="the router holds as much as it may",
                retry_after=1.0,
            )
        key = (request.service, request.organisation)
        queue = self._queue_by_organisation.get(key, ())
        if len(queue) >= self._limits.queued_per_organisation:
            return failure_value.Failure(
                code=codes.ORGANISATION_QUEUE_FULL,
                reason=f"organisation: {request.organisation} waits enough",
                retry_after=1.0,
            )
        return None

    def _queue(self, request: Request) -> collections.deque[Request]:
        key = (request.service, request.organisation)
        return self._queue_by_organisation.setdefault(key, collections.deque())

    def _drop_if_empty(self, key: tuple[str, str]) -> None:
        if not self._queue_by_organisation[key]:
            del self._queue_by_organisation[key]

    def _fail(
        self, request: Request, refusal: failure_value.Failure
    ) -> actions.Fail:
        return actions.Fail(request_id=request.request_id, failure=refusal)

    def _suspend(
        self, agent: str, refusal: failure_value.Failure, now: float
    ) -> None:
        view = self._agents_by_address.get(agent)
        if view is not None:
            pause = refusal.retry_after or SUSPEND_SECONDS
            view.suspended_until = now + pause

    def _leave_queue(self, flight: _Flight) -> None:
        view = self._agents_by_address.get(flight.agent)
        if view is not None:
            view.left_queue(flight.request.organisation)

    def _land(self, attempt_id: str) -> _Flight | None:
        request_id = self._request_by_attempt.pop(attempt_id, None)
        if request_id is None:
            return None
        flight = self._flight_by_request.pop(request_id)
        if not flight.has_started:
            self._leave_queue(flight)
        return flight

    def _send(self, now: float) -> list[actions.Action]:
        """Send what the agents' windows allow, one an organisation a turn."""
        actions_due: list[actions.Action] = []
        has_sent = True
        while has_sent and self._queue_by_organisation:
            has_sent = False
            for key in list(self._queue_by_organisation):
                dispatch = self._send_one(key, now)
                if dispatch is not None:
                    actions_due.append(dispatch)
                    has_sent = True
        return actions_due

    def _send_one(
        self, key: tuple[str, str], now: float
    ) -> actions.Dispatch | None:
        service, organisation = key
        candidates = self._candidates(service, organisation, now)
        if not candidates:
            return None
        queue = self._queue_by_organisation[key]
        request = queue.popleft()
        self._queued_count -= 1
        self._drop_if_empty(key)
        view = self._policy(candidates, request.prefix, self._rng)
        return self._dispatch(request, view)

    def _candidates(
        self, service: str, organisation: str, now: float
    ) -> list[agents_view.AgentView]:
        """Return the agents with free slots, else those with room to wait."""
        usable = [
            view
            for view in self._agents_by_address.values()
            if view.service == service
            and not view.is_draining
            and view.suspended_until <= now
        ]
        free = [view for view in usable if view.free > 0]
        if free:
            return free
        return [
            view
            for view in usable
            if view.waiting_by_organisation[organisation] < self._limits.window
        ]

    def _dispatch(
        self, request: Request, view: agents_view.AgentView
    ) -> actions.Dispatch:
        attempt = attempt_message.Attempt(
            attempt_id=f"{request.request_id}.{next(self._ids)}",
            request_id=request.request_id,
            organisation=request.organisation,
            service=request.service,
            estimate=request.estimate,
            deadline=request.deadline,
            incarnation=view.load.incarnation if view.load else "",
            epoch=view.load.epoch if view.load else 0,
            router=self._router,
            is_repeatable=request.is_repeatable,
            idempotency_key=request.idempotency_key,
            fingerprint=request.fingerprint,
            prefix=request.prefix,
        )
        view.sent(request.organisation)
        self._request_by_attempt[attempt.attempt_id] = request.request_id
        self._flight_by_request[request.request_id] = _Flight(
            request=request,
            attempt=attempt,
            agent=view.address,
            has_started=False,
        )
        return actions.Dispatch(attempt=attempt, agent=view.address)
