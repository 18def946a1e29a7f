"""The router's core: queueing, load balancing and retries.

Each organisation has a bounded queue of requests. The dispatcher sends to each
agent attempts for its free slots, and beyond those at most ``window`` waiting
attempts per organisation and agent, so that the agents' gates decide on the
order. A request that a gate returns as "not run" goes to the front of its
queue and to another agent; an attempt that waits at a busy agent while another
one has free slots is withdrawn.

Every event takes ``now`` (seconds, any monotonic clock) and returns actions.

See Also:
    ``daisypick_core.routing.service_view``: the selection of the next agent.
    ``daisypick_core.routing.refusals``: the classification of refusals.
"""

import random
import typing

from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import actions
from daisypick_core.routing import agents as agents_view
from daisypick_core.routing import backlog
from daisypick_core.routing import directory
from daisypick_core.routing import pick
from daisypick_core.routing import rebalance
from daisypick_core.routing import refusals
from daisypick_core.routing import request as request_value
from daisypick_core.routing import retries
from daisypick_core.routing import retry_budget
from daisypick_core.routing import return_handler
from daisypick_core.routing import sender
from daisypick_core.routing import sent_attempts
from daisypick_core.routing import timers

Request = request_value.Request
DispatcherLimits = request_value.DispatcherLimits
AgentAddress = request_value.AgentAddress


class Dispatcher:
    """Sends requests to agents and decides on retries."""

    def __init__(
        self,
        *,
        router: str,
        rng: random.Random,
        policy: str = "least_of_two",
        limits: DispatcherLimits = DispatcherLimits(),  # noqa: B008
        budget: retry_budget.RetryBudget | None = None,
    ) -> None:
        self._timers = timers.Timers()
        self._directory = directory.Directory(
            window=limits.window, rng=rng, clock=self._timers
        )
        self._bounds = backlog.BacklogBounds(limits=limits)
        self._retries = retries.Retries(
            budget=budget or retry_budget.RetryBudget(),
            rng=rng,
            clock=self._timers,
        )
        self._sender = sender.Sender(
            router=router,
            rng=rng,
            policy=pick.by_name[policy],
            agent_directory=self._directory,
            bounds=self._bounds,
        )
        self._return_handler = return_handler.ReturnHandler(
            agent_directory=self._directory,
            attempt_sender=self._sender,
            job_retries=self._retries,
            clock=self._timers,
        )
        self._closed: failure_value.Failure | None = None

    def set_agents(
        self, addresses: typing.Iterable[AgentAddress], now: float
    ) -> list[actions.Action]:
        """Set the agents of a new configuration.

        Attempts that wait at an agent that was removed or is out of service
        are withdrawn, so that they move even if the agent does not know of the
        change yet.
        """
        gone = set(self._directory.set_agents(addresses, now))
        due: list[actions.Action] = []
        for service in self._directory.services():
            for sent_attempt in list(service.waiting.values()):
                if (
                    sent_attempt.agent in gone
                    and not sent_attempt.is_withdrawing
                ):
                    due.append(rebalance.withdraw(service, sent_attempt, now))
        return due + self._sender.send_all(now)

    def set_queue_bounds(
        self, bound_by_organisation: typing.Mapping[str, int]
    ) -> None:
        """Set the queue limits of the organisations (``max_queued``)."""
        self._bounds.set_bounds(bound_by_organisation)

    def close(self) -> None:
        """Refuse new requests; accepted requests are completed."""
        self._closed = failure_value.Failure(
            code=codes.DRAINING, reason="router is shutting down"
        )

    @property
    def is_ready(self) -> bool:
        """Whether the router accepts new requests."""
        return self._closed is None

    @property
    def is_idle(self) -> bool:
        """Whether the router has no open request and may exit."""
        return not self.queued_count and not self.in_flight_count

    def submit(self, request: Request, now: float) -> list[actions.Action]:
        """Accept a request of a caller, or refuse it."""
        due = self._return_handler.run_timers(now)
        job = request_value.Job(request=request)
        verdict = self._closed or self._bounds.check(
            request, self._directory.services()
        )
        if isinstance(verdict, failure_value.Failure):
            return [*due, self._return_handler.fail(job, verdict)]
        if verdict is not None:
            due.append(self._return_handler.fail(verdict.job, verdict.failure))
        self._retries.budget.earn()
        service = self._directory.service(request.service)
        service.queues.append(request.organisation, request.request_id, job)
        return due + self._sender.send_organisation(
            service, request.organisation, now
        )

    def record_load(
        self, agent: str, load: load_message.Load, now: float
    ) -> list[actions.Action]:
        """Record the load report of an agent."""
        due = self._return_handler.run_timers(now)
        view = self._directory.find(agent)
        if view is None:
            return due
        service = self._directory.service(view.service)
        was_usable = view in service.usable
        self._directory.record_load(view, load, now)
        if view in service.usable and not was_usable:
            return due + self._sender.send_service(service, now)
        return due + self._sender.send_free(service, now)

    def hinted(
        self, attempt_id: str, agent: str, load: load_message.Load, now: float
    ) -> list[actions.Action]:
        """Process a hint that an attempt waits while another agent is idle."""
        due = self.record_load(agent, load, now)
        sent_attempt = self._sender.sent_attempts.find(attempt_id)
        view = self._directory.find(agent)
        if sent_attempt is None or view is None:
            return due
        service = self._directory.service(view.service)
        if view in service.free and rebalance.may_withdraw(sent_attempt):
            due.append(rebalance.withdraw(service, sent_attempt, now))
        return due

    def started(self, attempt_id: str, now: float) -> list[actions.Action]:
        """Record that an attempt has left the agent's queue and runs."""
        due = self._return_handler.run_timers(now)
        sent_attempt = self._sender.sent_attempts.find(attempt_id)
        if sent_attempt is None or sent_attempt.started_at is not None:
            return due
        sent_attempt.started_at = now
        service = self._sender.leave_agent_queue(sent_attempt, now)
        organisation = sent_attempt.attempt.organisation
        allowance = service.known_allowance(organisation)
        if allowance is not None:
            allowance.started()
        return due + self._sender.send_organisation(service, organisation, now)

    def first_token(self, attempt_id: str, now: float) -> None:
        """Record the first token of a response, for outlier detection."""
        sent_attempt = self._sender.sent_attempts.find(attempt_id)
        if sent_attempt is None or sent_attempt.started_at is None:
            return
        if not sent_attempt.attempt.is_stream:
            # A response that is not streamed has no separate first token.
            return
        view = self._directory.find(sent_attempt.agent)
        if view is not None:
            seconds = now - sent_attempt.started_at
            self._directory.note_first_token(view, seconds, now)

    def returned(
        self, attempt_id: str, refusal: failure_value.Failure, now: float
    ) -> list[actions.Action]:
        """Process a refusal of an attempt that never ran."""
        due = self._return_handler.run_timers(now)
        sent_attempt = self._sender.pop_attempt(attempt_id, now)
        if sent_attempt is None:
            return due
        job = sent_attempt.job
        view = self._directory.find(sent_attempt.agent)
        if refusal.code.number in refusals.FINAL:
            due.append(self._return_handler.fail(job, refusal))
            return due + self._return_handler.send_queued(job.request, now)
        if view is not None:
            view.attempt_returned()
            self._directory.note_refusal(
                view, job.request.organisation, refusal, now
            )
        if self._return_handler.can_resend_to_agent(
            sent_attempt, refusal, view
        ):
            return [*due, self._sender.dispatch(job, view, now)]
        return due + self._return_handler.resend(sent_attempt, refusal, now)

    def broken(
        self,
        attempt_id: str,
        refusal: failure_value.Failure,
        now: float,
        *,
        is_answered: bool = False,
    ) -> list[actions.Action]:
        """Process the failure of an attempt that may have run.

        Args:
            attempt_id: The attempt.
            refusal: The failure.
            now: Seconds.
            is_answered: Whether the agent itself reported the failure;
                otherwise its response was lost.
        """
        due = self._return_handler.run_timers(now)
        sent_attempt = self._sender.pop_attempt(attempt_id, now)
        if sent_attempt is None:
            return due
        job = sent_attempt.job
        job.avoided_agent = sent_attempt.agent
        view = self._directory.find(sent_attempt.agent)
        if view is not None:
            view.attempt_returned()
            if _is_agent_failure(sent_attempt, view, is_answered=is_answered):
                self._directory.note_failure(view, refusal, now)
        is_final = refusal.code.number in refusals.NO_RETRY
        if is_final or self._retries.failed(job, now) == retries.SPENT:
            due.append(self._return_handler.fail(job, refusal))
        return due + self._return_handler.send_queued(job.request, now)

    def finished(self, attempt_id: str, now: float) -> list[actions.Action]:
        """Record that the complete response of an attempt has arrived."""
        due = self._return_handler.run_timers(now)
        sent_attempt = self._sender.pop_attempt(attempt_id, now)
        if sent_attempt is None:
            return due
        view = self._directory.find(sent_attempt.agent)
        if view is not None:
            view.failures = 0
        return due + self._return_handler.send_queued(
            sent_attempt.job.request, now
        )

    def cancel(self, request_id: str, now: float) -> list[actions.Action]:
        """Drop a request whose caller has disconnected."""
        due = self._return_handler.run_timers(now)
        sent_attempt = self._sender.sent_attempts.find_request(request_id)
        if sent_attempt is not None:
            self._sender.pop_attempt(sent_attempt.attempt.attempt_id, now)
            due.append(
                actions.Cancel(
                    attempt=sent_attempt.attempt, agent=sent_attempt.agent
                )
            )
            return due + self._return_handler.send_queued(
                sent_attempt.job.request, now
            )
        self._retries.forget(request_id)
        for service in self._directory.services():
            service.queues.remove(request_id)
        return due

    def tick(self, now: float) -> list[actions.Action]:
        """Fail requests past their deadlines and send what can be sent."""
        due = self._return_handler.run_timers(now)
        self._retries.budget.refill(now)
        for service in self._directory.services():
            for job in service.queues.expire(now):
                due.append(self._return_handler.expire(job))
            due += self._return_handler.hedge(service, now)
            due += self._sender.send_free(service, now)
        return due

    def next_wake(self) -> float | None:
        """Return the time at which ``tick`` must be called next."""
        times = [
            service.queues.next_deadline()
            for service in self._directory.services()
        ]
        times.append(self._timers.next_due())
        return min((t for t in times if t is not None), default=None)

    @property
    def queued_count(self) -> int:
        """Number of requests that wait at the router."""
        queued = sum(len(s.queues) for s in self._directory.services())
        return queued + len(self._retries)

    @property
    def in_flight_count(self) -> int:
        """Number of requests in flight at agents."""
        return len(self._sender.sent_attempts)


def _is_agent_failure(
    sent_attempt: sent_attempts.SentAttempt,
    view: agents_view.AgentView,
    *,
    is_answered: bool,
) -> bool:
    """Return whether a failed attempt counts as a failure of the agent.

    A suspended agent is idle while the requests of all organisations wait. Two
    kinds of failure are not due to the agent: the response for an idempotency
    key whose outcome is unknown, which is repeated on each retry of the caller,
    and the loss of attempts of an earlier incarnation in a restart.
    """
    if is_answered and not sent_attempt.job.request.is_repeatable:
        return False
    load = view.load
    return load is None or load.incarnation == sent_attempt.attempt.incarnation
