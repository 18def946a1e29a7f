"""Sending: which queued request is sent to which agent next.

The sender considers only what an event has changed: one organisation after
its attempt started, the free slots after a load report, everything after a
change of configuration.
"""

import itertools
import random

from daisypick_core.messages import attempt as attempt_message
from daisypick_core.routing import actions
from daisypick_core.routing import agents as agents_view
from daisypick_core.routing import backlog
from daisypick_core.routing import directory
from daisypick_core.routing import pick
from daisypick_core.routing import rebalance
from daisypick_core.routing import request as request_value
from daisypick_core.routing import sent_attempts
from daisypick_core.routing import service_view


class Sender:
    """Turns queued requests into attempts at agents."""

    def __init__(
        self,
        *,
        router: str,
        rng: random.Random,
        policy: pick.Policy,
        agent_directory: directory.Directory,
        bounds: backlog.BacklogBounds,
    ) -> None:
        self.sent_attempts = sent_attempts.SentAttemptTable()
        self._router = router
        self._rng = rng
        self._policy = policy
        self._directory = agent_directory
        self._bounds = bounds
        self._ids = itertools.count(1)

    def send_all(self, now: float) -> list[actions.Action]:
        """Send requests of all services as far as possible."""
        due: list[actions.Action] = []
        for service in self._directory.services():
            due += self.send_service(service, now)
        return due

    def send_service(
        self, service: service_view.ServiceView, now: float
    ) -> list[actions.Action]:
        """Send what the agents' windows allow, round-robin by organisation."""
        due: list[actions.Action] = []
        organisations = list(service.queues.keys())
        while organisations:
            next_organisations = []
            for organisation in organisations:
                dispatch = self._send_one(service, organisation, now)
                if dispatch is not None:
                    due.append(dispatch)
                    next_organisations.append(organisation)
            organisations = next_organisations
        return due + self._rebalance(service, now)

    def send_free(
        self, service: service_view.ServiceView, now: float
    ) -> list[actions.Action]:
        """Fill free slots; withdraw waiting attempts if some are left."""
        return self.fill(service, now) + self._rebalance(service, now)

    def fill(
        self, service: service_view.ServiceView, now: float
    ) -> list[actions.Action]:
        """Fill free slots only, round-robin by organisation."""
        due: list[actions.Action] = []
        while service.has_free() and len(service.queues):
            organisation = service.queues.next_key()
            dispatch = self._send_one(service, organisation, now)
            if dispatch is None:
                break
            due.append(dispatch)
        return due

    def send_organisation(
        self, service: service_view.ServiceView, organisation: str, now: float
    ) -> list[actions.Action]:
        """Send what the agents' windows allow of one organisation."""
        due: list[actions.Action] = []
        dispatch = self._send_one(service, organisation, now)
        while dispatch is not None:
            due.append(dispatch)
            dispatch = self._send_one(service, organisation, now)
        service.drop_room(organisation)
        return due

    def _send_one(
        self, service: service_view.ServiceView, organisation: str, now: float
    ) -> actions.Dispatch | None:
        job = service.queues.first(organisation)
        if job is None:
            return None
        view = service.choose(job, self._policy, self._rng, now)
        if view is None:
            return None
        service.queues.pop_first(organisation)
        self._bounds.left(organisation, now)
        return self.dispatch(job, view, now)

    def _rebalance(
        self, service: service_view.ServiceView, now: float
    ) -> list[actions.Action]:
        return rebalance.withdraw_for_free_agents(service, self._directory, now)

    def dispatch(
        self,
        job: request_value.Job,
        view: agents_view.AgentView,
        now: float,
    ) -> actions.Dispatch:
        """Send a job to an agent."""
        service = self._directory.service(job.request.service)
        attempt = self._make_attempt(job.request, view, service)
        sent_attempt = sent_attempts.SentAttempt(
            job=job, attempt=attempt, agent=view.address, sent_at=now
        )
        self.sent_attempts.add(sent_attempt)
        service.waiting[attempt.attempt_id] = sent_attempt
        service.waiting_by_organisation[attempt.organisation] += 1
        view.sent(attempt.organisation)
        service.refresh(view, now)
        service.refresh_room(view, attempt.organisation, now)
        return actions.Dispatch(attempt=attempt, agent=view.address)

    def _make_attempt(
        self,
        request: request_value.Request,
        view: agents_view.AgentView,
        service: service_view.ServiceView,
    ) -> attempt_message.Attempt:
        return attempt_message.Attempt(
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
            is_stream=request.is_stream,
        )

    def leave_agent_queue(
        self, sent_attempt: sent_attempts.SentAttempt, now: float
    ) -> service_view.ServiceView:
        """Record that an attempt no longer waits at its agent."""
        service = self._directory.service(sent_attempt.attempt.service)
        organisation = sent_attempt.attempt.organisation
        del service.waiting[sent_attempt.attempt.attempt_id]
        service.waiting_by_organisation[organisation] -= 1
        if sent_attempt.is_withdrawing:
            sent_attempt.is_withdrawing = False
            service.withdrawing -= 1
        view = self._directory.find(sent_attempt.agent)
        if view is not None:
            view.left_queue(organisation)
            service.refresh_room(view, organisation, now)
        return service

    def pop_attempt(
        self, attempt_id: str, now: float
    ) -> sent_attempts.SentAttempt | None:
        """Remove and return an attempt, ``None`` if it is unknown."""
        sent_attempt = self.sent_attempts.pop_attempt(attempt_id)
        if sent_attempt is not None and sent_attempt.started_at is None:
            self.leave_agent_queue(sent_attempt, now)
        return sent_attempt
