"""The gate of one backend server.

Attempts of many organisations arrive from many routers. The gate keeps a
short bounded queue per organisation, runs as many attempts as the backend
server can handle, and gives a free slot to the organisation that is first in
the share order. When it withdraws, refuses or drains, its reports are
reliable: an attempt reported as "not run" is barred and can never start.

Every event takes ``now`` (seconds, any monotonic clock) and returns actions.

See Also:
    ``daisypick_core.gate.attempts``: the meaning of barred.
    ``daisypick_core.gate.drain_state``: the reasons for draining.
    ``daisypick_core.fairness``: how the share order is computed.
"""

from daisypick_core.fairness import share_order
from daisypick_core.gate import actions
from daisypick_core.gate import admission
from daisypick_core.gate import attempts
from daisypick_core.gate import concurrency
from daisypick_core.gate import drain_state
from daisypick_core.gate import idle_peers
from daisypick_core.gate import offer_check
from daisypick_core.gate import running
from daisypick_core.gate import waiting
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

_DEADLINE_PASSED = failure_value.Failure(
    code=codes.DEADLINE_PASSED, reason="waited past its deadline"
)

# These offers are refused whenever they arrive, so no state is stored for
# them. A burst of them must not fill the table and shorten its epochs.
_REFUSED_WITHOUT_STATE = frozenset({codes.STALE_INCARNATION, codes.STALE_EPOCH})


GateLimits = waiting.GateLimits


class Gate:
    """Admission control of one backend server."""

    def __init__(
        self,
        *,
        incarnation: str,
        order: share_order.ShareOrder,
        limit: concurrency.ConcurrencyLimit,
        limits: GateLimits = GateLimits(),  # noqa: B008 (immutable)
    ) -> None:
        self.incarnation = incarnation
        self.order = order
        self.limit = limit
        self.admission = admission.Admission()
        self.attempts = attempts.AttemptTable()
        self.generation = 0
        self._waiting = waiting.WaitingQueues(order=order, limits=limits)
        self._idle_peers = idle_peers.IdlePeers()
        self._running = running.RunningTable()

    def load(self) -> load_message.Load:
        """Return the state that is attached to every response."""
        return load_message.Load(
            incarnation=self.incarnation,
            epoch=self.epoch,
            generation=self.generation,
            limit=self.limit.limit,
            running=len(self._running),
            waiting=len(self._waiting),
            is_draining=not self.admission.is_open,
        )

    @property
    def epoch(self) -> int:
        """Epoch of the attempt table, attached to every response."""
        return self.attempts.epoch

    @property
    def running_count(self) -> int:
        """Number of attempts that hold a slot."""
        return len(self._running)

    def offer(
        self, attempt: attempt_message.Attempt, now: float
    ) -> list[actions.Action]:
        """Handle an attempt sent by a router.

        A known attempt that waits or runs yields no action: the driver
        attaches the router to the response in progress.
        """
        refusal = self._check_offer(attempt, now)
        if refusal is not None:
            return [self._refuse(attempt, refusal)]
        if self.attempts.state(attempt.attempt_id) is not None:
            return []
        self.attempts.set_state(attempt.attempt_id, attempts.WAITING)
        due: list[actions.Action] = []
        dropped = self._waiting.add(attempt, now)
        if dropped is not None:
            due.append(self._refuse(*dropped))
        due += self._start_waiting(now)
        if self.attempts.state(attempt.attempt_id) == attempts.WAITING:
            due += self._hint([attempt], now)
        return due

    def note_idle(
        self, peer: str, load: load_message.Load, now: float
    ) -> list[actions.Action]:
        """Record a peer's report that it has free slots and an empty queue."""
        self._idle_peers.note(peer, load, now)
        return self._hint(self._waiting.heads(), now)

    def withdraw(
        self, attempt_id: str, now: float, *, epoch: int = 0
    ) -> tuple[attempts.AttemptStatus, list[actions.Action]]:
        """Withdraw an attempt unless it has started; return its status.

        An unknown attempt is barred as well: its offer may still be in
        transit and must not start after "not run" was reported. An attempt
        whose claim is in progress may still start, so it is reported as run.

        ``epoch`` is that of the attempt. An unknown attempt of a stale epoch
        may have run and been removed, so it cannot be reported as "not run".
        """
        state = self.attempts.state(attempt_id)
        if state in (attempts.CLAIMING, attempts.RUNNING, attempts.DONE):
            return attempts.AttemptStatus(state=state, ran=True), []
        if state is None and self.attempts.is_stale(epoch):
            forgotten = attempts.AttemptStatus(
                state=attempts.FORGOTTEN, ran=True
            )
            return forgotten, []
        actions_due: list[actions.Action] = []
        attempt = self._waiting.remove(attempt_id)
        if attempt is None:
            self.attempts.set_state(attempt_id, attempts.BARRED)
        else:
            reason = failure_value.Failure(
                code=codes.WITHDRAWN, reason="withdrawn by the router"
            )
            actions_due = [self._refuse(attempt, reason)]
        status = attempts.AttemptStatus(state=attempts.BARRED, ran=False)
        return status, actions_due + self._start_waiting(now)

    def cancel(self, attempt_id: str, now: float) -> list[actions.Action]:
        """Stop an attempt whose caller has disconnected."""
        run = self._running.find(attempt_id)
        if run is None:
            return self.withdraw(attempt_id, now)[1]
        if not run.attempt.is_repeatable:
            # Cancelling a request that must not be repeated, such as a
            # payment, leaves an unknown outcome. It runs to completion and
            # its response is kept.
            return []
        return [actions.Cancel(attempt=run.attempt)]

    def claim_settled(
        self,
        attempt_id: str,
        refusal: failure_value.Failure | None,
        now: float,
    ) -> list[actions.Action]:
        """Record the result of a claim; ``None`` means that it is granted.

        A duplicate or late report of a settled claim has no effect: the
        attempt already runs or is barred permanently.
        """
        attempt = self._running.end_claim(attempt_id)
        if attempt is None:
            return []
        if refusal is not None:
            return [
                self._release_and_refuse(attempt, refusal),
                *self._start_waiting(now),
            ]
        late = offer_check.check_start(
            attempt, gate_admission=self.admission, now=now
        )
        if late is not None:
            # The store can take long to grant a claim. If the attempt started
            # now, it would run at a draining server, or for a caller whose
            # request has already failed with an expired deadline.
            given_up = self._release_and_refuse(attempt, late)
            return [
                given_up._replace(release_claim=True),
                *self._start_waiting(now),
            ]
        return [self._start(attempt, now)]

    def progress(self, attempt_id: str, tokens: int, now: float) -> None:
        """Record the tokens served so far for a running attempt."""
        run = self._running.find(attempt_id)
        if run is None:
            return
        self.order.progress(run.attempt, tokens)
        if tokens and self._running.first_token(attempt_id) is not None:
            self.limit.first_token(now - run.started_at, now)

    def finish(
        self,
        attempt_id: str,
        *,
        cost: float,
        is_healthy: bool,
        now: float,
        has_run: bool = True,
    ) -> list[actions.Action]:
        """Record the end of a running attempt and its actual cost in tokens.

        ``has_run`` is false only if no part of it reached the backend
        server; the attempt is then barred, and its key may be claimed again.
        """
        run = self._running.finish(attempt_id)
        if run is None:
            return []
        state = attempts.DONE if has_run else attempts.BARRED
        self.attempts.set_state(attempt_id, state)
        self.order.settle(run.attempt, cost)
        self.limit.finished(
            is_healthy=is_healthy,
            started_at=run.started_at,
            now=now,
            tokens=cost,
        )
        return self._start_waiting(now)

    def drain(
        self, reason: str, now: float, generation: int | None = None
    ) -> list[actions.Action]:
        """Stop admitting attempts; refuse all waiting ones as "not run".

        ``generation`` is that of the configuration which gives the reason,
        if one does; a generation older than one seen before has no effect.
        """
        del now
        self.admission.close(reason, generation)
        return self._refuse_waiting()

    def undrain(
        self, reason: str, now: float, generation: int | None = None
    ) -> list[actions.Action]:
        """Remove a reason for draining; reopening counts as a cold start."""
        if self.admission.open(reason, generation):
            self.limit.restart()
        return self._start_waiting(now)

    def apply_drain_state(
        self, state: drain_state.DrainState, now: float
    ) -> list[actions.Action]:
        """Apply the drain state of a configuration and of the VM's signals.

        Reasons of the configuration are added and removed with its
        generation. The reason that the VM leaves is only ever added: the
        platform's list lags and may show a leaving VM as live again.
        """
        self.generation = max(self.generation, state.generation)
        actions_due: list[actions.Action] = []
        for reason in sorted(state.reasons):
            generation = state.generation
            if reason not in drain_state.CONFIGURED_REASONS:
                generation = None
            actions_due += self.drain(reason, now, generation)
        for reason in drain_state.CONFIGURED_REASONS:
            if reason not in state.reasons:
                actions_due += self.undrain(reason, now, state.generation)
        return actions_due

    def tick(self, now: float) -> list[actions.Action]:
        """Refuse attempts that waited past their deadline, fill free slots."""
        self.attempts.advance(now)
        actions_due: list[actions.Action] = []
        for attempt in self._waiting.expire(now):
            actions_due.append(self._refuse(attempt, _DEADLINE_PASSED))
        self._report_overdue(now)
        return actions_due + self._start_waiting(now)

    def _check_offer(
        self, attempt: attempt_message.Attempt, now: float
    ) -> failure_value.Failure | None:
        """Return why an offered attempt is refused, if it is."""
        refusal = offer_check.check_offer(
            attempt,
            incarnation=self.incarnation,
            table=self.attempts,
            gate_admission=self.admission,
            now=now,
        )
        is_known = self.attempts.state(attempt.attempt_id) is not None
        if refusal is not None or is_known:
            return refusal
        return self._waiting.check_bounds(attempt)

    def _refuse(
        self,
        attempt: attempt_message.Attempt,
        reason: failure_value.Failure,
    ) -> actions.Refuse:
        if reason.code not in _REFUSED_WITHOUT_STATE:
            self.attempts.set_state(attempt.attempt_id, attempts.BARRED)
        return actions.Refuse(attempt=attempt, failure=reason)

    def _release_and_refuse(
        self,
        attempt: attempt_message.Attempt,
        reason: failure_value.Failure,
    ) -> actions.Refuse:
        """Bar an attempt that was charged and does not start."""
        self.order.release(attempt)
        return self._refuse(attempt, reason)

    def _refuse_waiting(self) -> list[actions.Action]:
        if self.admission.is_open:
            return []
        refusal = offer_check.make_draining_failure(self.admission.reasons[0])
        return [self._refuse(a, refusal) for a in self._waiting.clear()]

    def _hint(
        self, waiting_attempts: list[attempt_message.Attempt], now: float
    ) -> list[actions.Action]:
        """Notify routers of waiting attempts where a slot is free."""
        due: list[actions.Action] = []
        for attempt in waiting_attempts:
            idle = self._idle_peers.take(now)
            if idle is None:
                break
            peer, load = idle
            due.append(actions.Hint(attempt=attempt, agent=peer, load=load))
        return due

    def _report_overdue(self, now: float) -> None:
        """Report attempts with an overdue first token to the limit."""
        overdue_after = self.limit.overdue_after
        if overdue_after is None:
            return
        for run in self._running.take_overdue(now - overdue_after):
            self.limit.overdue(run.started_at, now)

    def _start_waiting(self, now: float) -> list[actions.Action]:
        """Give free slots to waiting attempts in the share order."""
        actions_due: list[actions.Action] = []
        if not self.admission.is_open:
            return actions_due
        while len(self._waiting) and self.limit.allows(
            running=len(self._running),
            without_token=self._running.without_token,
        ):
            attempt = self._waiting.pop_next(now)
            if attempt.deadline <= now:
                # After a pause of the process, attempts may still wait whose
                # routers have already reported the expired deadline.
                actions_due.append(self._refuse(attempt, _DEADLINE_PASSED))
                continue
            self.order.start(attempt)
            actions_due.append(self._claim_or_start(attempt, now))
        return actions_due

    def _claim_or_start(
        self, attempt: attempt_message.Attempt, now: float
    ) -> actions.Action:
        if attempt.is_repeatable or attempt.idempotency_key is None:
            return self._start(attempt, now)
        self._running.claim(attempt)
        self.attempts.set_state(attempt.attempt_id, attempts.CLAIMING)
        return actions.Claim(attempt=attempt)

    def _start(
        self, attempt: attempt_message.Attempt, now: float
    ) -> actions.Start:
        self._running.start(attempt, now)
        self.attempts.set_state(attempt.attempt_id, attempts.RUNNING)
        return actions.Start(attempt=attempt)
