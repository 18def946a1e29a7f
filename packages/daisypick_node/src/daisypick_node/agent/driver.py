"""Performs the actions of the core gate.

Each type of action has one registered handler. Results are reported back to
the gate as events.
"""

from collections.abc import Callable
import functools
import typing

import gevent

from daisypick_core.claims import entry as claim_entry
from daisypick_core.claims import verdicts
from daisypick_core.gate import actions
from daisypick_core.gate import attempts
from daisypick_core.gate import drain_state
from daisypick_core.gate import gate as core_gate
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.messages import frame
from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node import logs
from daisypick_node import records
from daisypick_node.agent import claim_service
from daisypick_node.agent import response_replay as response_replay_module
from daisypick_node.agent import responses
from daisypick_node.agent import runner as runner_module

_log = logs.PartLog("agent.driver")
ABANDON_SECONDS = 10.0


class GateDriver:
    """Performs the actions of one gate and reports their results to it.

    Attributes:
        gate: The core's gate.
        responses: Responses by attempt.
        server: ``host:port`` of the backend server.
    """

    def __init__(
        self,
        *,
        gate: core_gate.Gate,
        store: responses.ResponseStore,
        runner: runner_module.Runner,
        claims: claim_service.ClaimService,
        response_replay: response_replay_module.ResponseReplay,
        server: str,
        clock: Callable[[], float],
        record: records.RequestRecord,
    ) -> None:
        self.gate = gate
        self.responses = store
        self.server = server
        self._runner = runner
        self._claims = claims
        self._response_replay = response_replay
        self._holder_by_attempt: dict[str, claim_entry.Entry] = {}
        self._clock = clock
        self._record = record
        self._work_by_attempt: dict[str, runner_module.Work] = {}
        self._scheduled_by_attempt: dict[str, runner_module.Work] = {}
        self._greenlet_by_attempt: dict[str, gevent.Greenlet] = {}

    def detail(self) -> frame.Detail:
        """Return the load to send with response frames."""
        return frame.Detail(load=self.gate.load())

    def offer(self, work: runner_module.Work) -> responses.AttemptResponse:
        """Accept an attempt; return its response, which may be incomplete."""
        attempt_id = work.attempt.attempt_id
        now = self._clock()
        is_new = self.gate.attempts.state(attempt_id) is None
        if is_new:
            self.responses.get_or_make(attempt_id).last_read_at = now
            self._work_by_attempt[attempt_id] = work
            self._note(work.attempt.request_id, "offered", attempt_id)
        due = self.gate.offer(work.attempt, now)
        if not due and self.responses.get(attempt_id) is None:
            # A duplicate offer of an attempt whose response was dropped. A
            # new response would never end and would be checked for ever.
            return responses.make_dropped(now)
        self.perform(due)
        return self.responses.get_or_make(attempt_id)

    def withdraw(
        self, attempt_id: str, *, epoch: int
    ) -> attempts.AttemptStatus:
        """Withdraw an attempt unless it has started."""
        status, due = self.gate.withdraw(attempt_id, self._clock(), epoch=epoch)
        self.perform(due)
        return status

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt that no caller waits for."""
        self.perform(self.gate.cancel(attempt_id, self._clock()))

    def drain(self, reason: str) -> None:
        """Stop starting attempts."""
        self.perform(self.gate.drain(reason, self._clock()))

    def apply_drain_state(self, state: drain_state.DrainState) -> None:
        """Apply the drain state from the configuration and VM signals."""
        self.perform(self.gate.apply_drain_state(state, self._clock()))

    def tick(self) -> None:
        """Process timeouts of the gate; cancel attempts without a reader."""
        now = self._clock()
        self.perform(self.gate.tick(now))
        self.responses.drop_old(now)
        for attempt_id in self.responses.find_abandoned(now, ABANDON_SECONDS):
            # The router disconnected and did not resume its stream. If they
            # were not cancelled, its requests would occupy slots until their
            # end although no caller receives the responses.
            self.cancel(attempt_id)

    def note_progress(self, attempt_id: str, tokens: int) -> None:
        """Report the number of streamed tokens to the gate."""
        self.gate.progress(attempt_id, tokens, self._clock())

    def perform(self, due: typing.Iterable[actions.Action]) -> None:
        """Perform actions in order."""
        for action in due:
            _perform(action, self)

    def start(self, attempt_id: str) -> None:
        """Send an attempt to the backend server."""
        work = self._work_by_attempt.pop(attempt_id)
        response = self.responses.get_or_make(attempt_id)
        response.start()
        self._note(work.attempt.request_id, "started", attempt_id)
        self._scheduled_by_attempt[attempt_id] = work
        greenlet = gevent.spawn(self._run, work, response)
        self._greenlet_by_attempt[attempt_id] = greenlet

    def refuse(self, attempt_id: str, failure: failure_value.Failure) -> None:
        """Fail the response to an attempt.

        If another attempt holds its key, copy that response instead.
        """
        work = self._work_by_attempt.pop(attempt_id, None)
        response = self.responses.get_or_make(attempt_id)
        if response.is_over:
            return
        holder = self._holder_by_attempt.pop(attempt_id, None)
        if holder is not None:
            gevent.spawn(self._copy, attempt_id, holder, response, failure)
            return
        response.fail(failure, self._clock())
        self.responses.note_finished(attempt_id, self._clock())
        if work is not None:
            request_id = work.attempt.request_id
            self._note(request_id, f"refused: {failure.reason}", attempt_id)

    def hint(self, action: actions.Hint) -> None:
        """Report an idle agent to the readers of an attempt."""
        response = self.responses.get(action.attempt.attempt_id)
        if response is not None:
            response.hint(responses.Hint(agent=action.agent, load=action.load))

    def note_idle(self, peer: str, load: load_message.Load) -> None:
        """Record that a peer is idle."""
        self.perform(self.gate.note_idle(peer, load, self._clock()))

    def release(self, attempt: attempt_message.Attempt) -> None:
        """Release the key of a withdrawn or refused attempt."""
        self._claims.release(attempt)

    def claim(self, action: actions.Claim) -> None:
        """Claim the key of an attempt and report the verdict to the gate."""
        gevent.spawn(self._claim, action)

    def stop(self, attempt_id: str) -> None:
        """Abort the call of a running attempt."""
        greenlet = self._greenlet_by_attempt.get(attempt_id)
        if greenlet is None:
            return
        greenlet.kill(block=False)
        work = self._scheduled_by_attempt.pop(attempt_id, None)
        if work is not None:
            # A greenlet killed before its first step never runs its cleanup:
            # the slot would stay occupied until the agent restarts.
            del self._greenlet_by_attempt[attempt_id]
            self._cancelled(work, self.responses.get_or_make(attempt_id))

    def _claim(self, action: actions.Claim) -> None:
        attempt_id = action.attempt.attempt_id
        verdict = self._claims.claim(action.attempt)
        if isinstance(verdict, verdicts.SameAnswer):
            self._holder_by_attempt[attempt_id] = verdict.holder
        self.perform(
            self.gate.claim_settled(attempt_id, verdict.refusal, self._clock())
        )

    def _copy(
        self,
        attempt_id: str,
        holder: claim_entry.Entry,
        response: responses.AttemptResponse,
        fallback: failure_value.Failure,
    ) -> None:
        """Copy the response of the attempt that holds the key."""
        self._response_replay.copy(holder, response, fallback)
        self.responses.note_finished(attempt_id, self._clock())

    def _run(
        self, work: runner_module.Work, response: responses.AttemptResponse
    ) -> None:
        attempt_id = work.attempt.attempt_id
        self._scheduled_by_attempt.pop(attempt_id, None)
        outcome = _CANCELLED
        try:
            outcome = self._runner.run(work, self.server, response)
        except gevent.GreenletExit:
            response.fail(_cancelled_failure(), self._clock())
        finally:
            self._greenlet_by_attempt.pop(attempt_id, None)
            self._end(work, response, outcome)

    def _cancelled(
        self, work: runner_module.Work, response: responses.AttemptResponse
    ) -> None:
        response.fail(_cancelled_failure(), self._clock())
        self._end(work, response, _CANCELLED)

    def _end(
        self,
        work: runner_module.Work,
        response: responses.AttemptResponse,
        outcome: runner_module.Outcome,
    ) -> None:
        now = self._clock()
        if not response.is_over:
            response.fail(_internal_failure(), now)
        attempt_id = work.attempt.attempt_id
        self.responses.note_finished(attempt_id, now)
        self._note(work.attempt.request_id, "ended", attempt_id)
        has_run = not _was_not_delivered(response)
        self.perform(
            self.gate.finish(
                attempt_id,
                cost=outcome.cost,
                is_healthy=outcome.is_healthy,
                now=now,
                has_run=has_run,
            )
        )
        if not has_run and work.attempt.idempotency_key is not None:
            self._claims.release(work.attempt)

    def _note(self, request_id: str, event: str, attempt_id: str) -> None:
        self._record.note(
            request_id, self._clock(), event, attempt_id=attempt_id
        )


_CANCELLED = runner_module.Outcome(
    cost=0.0, is_healthy=True, first_byte_seconds=0.0
)


@functools.singledispatch
def _perform(action: typing.Any, driver: GateDriver) -> None:
    raise TypeError(f"action: {type(action).__name__} has no handler")


@_perform.register
def _perform_start(action: actions.Start, driver: GateDriver) -> None:
    driver.start(action.attempt.attempt_id)


@_perform.register
def _perform_refuse(action: actions.Refuse, driver: GateDriver) -> None:
    driver.refuse(action.attempt.attempt_id, action.failure)
    if action.release_claim:
        driver.release(action.attempt)


@_perform.register
def _perform_claim(action: actions.Claim, driver: GateDriver) -> None:
    driver.claim(action)


@_perform.register
def _perform_hint(action: actions.Hint, driver: GateDriver) -> None:
    driver.hint(action)


@_perform.register
def _perform_cancel(action: actions.Cancel, driver: GateDriver) -> None:
    driver.stop(action.attempt.attempt_id)


def _was_not_delivered(response: responses.AttemptResponse) -> bool:
    """Return whether the attempt certainly did not reach the server."""
    failure = response.failure
    return failure is not None and failure.code == codes.ENGINE_UNREACHABLE


def _cancelled_failure() -> failure_value.Failure:
    return failure_value.Failure(
        code=codes.CALLER_GONE, reason="attempt: cancelled while it ran"
    )


def _internal_failure() -> failure_value.Failure:
    return failure_value.Failure(
        code=codes.OUTCOME_UNKNOWN, reason="agent: failed while it ran"
    )
