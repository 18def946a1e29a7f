"""Handling of requests that were returned or waited too long.

They are resent at once or after a backoff, or receive their final response.
"""

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import actions
from daisypick_core.routing import agents as agents_view
from daisypick_core.routing import directory
from daisypick_core.routing import hedge as hedge_module
from daisypick_core.routing import refusals
from daisypick_core.routing import request as request_value
from daisypick_core.routing import retries
from daisypick_core.routing import sender
from daisypick_core.routing import sent_attempts
from daisypick_core.routing import service_view
from daisypick_core.routing import timers

_RETRY_AFTER = 1.0
_UNRESPONSIVE = failure_value.Failure(
    code=codes.PEER_UNREACHABLE, reason="agent: does not answer"
)


class ReturnHandler:
    """Resends returned requests, or gives them their final response."""

    def __init__(
        self,
        *,
        agent_directory: directory.Directory,
        attempt_sender: sender.Sender,
        job_retries: retries.Retries,
        clock: timers.Timers,
    ) -> None:
        self._directory = agent_directory
        self._sender = attempt_sender
        self._retries = job_retries
        self._timers = clock

    def run_timers(self, now: float) -> list[actions.Action]:
        """Process the timers that are due."""
        due: list[actions.Action] = []
        for timer in self._timers.pop_due(now):
            if isinstance(timer, timers.WakeAgent):
                service = self._directory.wake(timer.address, now)
                if service is not None:
                    due += self._sender.send_service(service, now)
            elif isinstance(timer, timers.AgeLoad):
                service = self._directory.age_load(timer.address, now)
                if service is not None:
                    due += self._sender.fill(service, now)
            elif isinstance(timer, timers.WakeRoom):
                service = self._directory.wake_room(timer, now)
                if service is not None:
                    due += self._sender.send_organisation(
                        service, timer.organisation, now
                    )
            else:
                job = self._retries.release(timer.request_id, now)
                if job is not None:
                    due += self.requeue(job, now)
        return due

    def resend(
        self,
        sent_attempt: sent_attempts.SentAttempt,
        refusal: failure_value.Failure,
        now: float,
    ) -> list[actions.Action]:
        """Resend a request returned as "not run", now or after a backoff."""
        job = sent_attempt.job
        job.avoided_agent = sent_attempt.agent
        verdict = self._retries.returned(job, refusal, now)
        if verdict == retries.NOW:
            return self.requeue(job, now)
        due: list[actions.Action] = []
        if verdict == retries.SPENT:
            spent = failure_value.Failure(
                code=codes.RETRIES_SPENT,
                reason=refusal.reason,
                retry_after=refusal.retry_after or _RETRY_AFTER,
            )
            due.append(self.fail(job, spent))
        return due + self.send_queued(job.request, now)

    def hedge(
        self, service: service_view.ServiceView, now: float
    ) -> list[actions.Action]:
        """Fail over the attempts that unresponsive agents do not return."""
        due: list[actions.Action] = []
        for sent_attempt in hedge_module.find_unresponsive(
            service, self._retries.budget, now
        ):
            attempt = sent_attempt.attempt
            self._sender.pop_attempt(attempt.attempt_id, now)
            due.append(
                actions.Cancel(attempt=attempt, agent=sent_attempt.agent)
            )
            job = sent_attempt.job
            job.avoided_agent = sent_attempt.agent
            job.may_have_run = True
            view = self._directory.find(sent_attempt.agent)
            if view is not None:
                self._directory.note_failure(view, _UNRESPONSIVE, now)
            due += self.requeue(job, now)
        return due

    def can_resend_to_agent(
        self,
        sent_attempt: sent_attempts.SentAttempt,
        refusal: failure_value.Failure,
        view: agents_view.AgentView | None,
    ) -> bool:
        """Return whether the agent accepts the request on a resend.

        A refusal as stale carries the current incarnation and epoch of the
        agent, so that the next attempt may be sent to it at once.
        """
        if refusal.code not in (codes.STALE_INCARNATION, codes.STALE_EPOCH):
            return False
        if view is None or view.load is None or not view.free:
            return False
        current = (view.load.incarnation, view.load.epoch)
        return current != (
            sent_attempt.attempt.incarnation,
            sent_attempt.attempt.epoch,
        )

    def requeue(
        self, job: request_value.Job, now: float
    ) -> list[actions.Action]:
        """Put a job at the front of its organisation's queue and send."""
        if job.deadline <= now:
            return [self.expire(job)]
        request = job.request
        service = self._directory.service(request.service)
        service.queues.prepend(request.organisation, request.request_id, job)
        return self.send_queued(request, now)

    def send_queued(
        self, request: request_value.Request, now: float
    ) -> list[actions.Action]:
        """Send queued requests of the same service and organisation."""
        service = self._directory.service(request.service)
        return self._sender.send_organisation(
            service, request.organisation, now
        )

    def fail(
        self, job: request_value.Job, refusal: failure_value.Failure
    ) -> actions.Fail:
        """Return the final response of a failed job."""
        return actions.Fail(
            request_id=job.request.request_id,
            failure=refusals.final_failure(job, refusal),
        )

    def expire(self, job: request_value.Job) -> actions.Fail:
        """Return the final response of a job whose deadline has passed."""
        refusal = failure_value.Failure(
            code=codes.DEADLINE_PASSED,
            reason="waited past its deadline at the router",
        )
        return self.fail(job, refusal)
