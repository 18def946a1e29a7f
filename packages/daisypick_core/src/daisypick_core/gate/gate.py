"""The gate of one backend server.

Attempts of many organisations arrive from many routers. The gate keeps a
short bounded queue an organisation, lets as many attempts run as the backend
server bears, and gives a free slot to the organisation that the share order
puts first. It withdraws, refuses and drains with true answers: what it
reports as "not run" can never start later, because the attempt is barred.

Every event takes ``now`` (seconds, any monotonic clock) and returns actions.

See Also:
    ``daisypick_core.gate.attempts``: what barred means.
    ``daisypick_core.fairness``: how the share order is computed.
"""

import collections
import typing

from daisypick_core.fairness import share_order
from daisypick_core.gate import actions
from daisypick_core.gate import admission
from daisypick_core.gate import attempts
from daisypick_core.gate import concurrency
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

DEFAULT_RETRY_AFTER = 1.0

# The rule refuses these offers each time they come, so they need no memory;
# a flood of them must not fill the table and hasten its epochs.
_REFUSED_BY_RULE = frozenset({codes.STALE_INCARNATION, codes.STALE_EPOCH})


class GateLimits(typing.NamedTuple):
    """Bounds of the gate's queues.

    Attributes:
        waiting_per_organisation: Waiting attempts of one organisation.
        waiting_in_all: Waiting attempts of all organisations.
    """

    waiting_per_organisation: int = 64
    waiting_in_all: int = 1024


class Gate:
    """Decides what reaches one backend server, and when."""

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
        self._limits = limits
        self._waiting_by_organisation: dict[
            str, collections.deque[attempt_message.Attempt]
        ] = {}
        self._waiting_count = 0
        self._claiming_by_id: dict[str, attempt_message.Attempt] = {}
        self._running_by_id: dict[str, attempt_message.Attempt] = {}

    def load(self) -> load_message.Load:
        """Return the state that rides on every answer."""
        return load_message.Load(
            incarnation=self.incarnation,
            epoch=self.epoch,
            generation=self.generation,
            limit=self.limit.limit,
            running=len(self._running_by_id) + len(self._claiming_by_id),
            waiting=self._waiting_count,
            is_draining=not self.admission.is_open,
        )

    @property
    def epoch(self) -> int:
        """Epoch of the attempt table, carried on every answer."""
        return self.attempts.epoch

    @property
    def running_count(self) -> int:
        """Attempts that hold a slot."""
        return len(self._running_by_id) + len(self._claiming_by_id)

    def offer(
        self, attempt: attempt_message.Attempt, now: float
    ) -> list[actions.Action]:
        """Take in an attempt that a router has sent.

        A known attempt that waits or runs yields no action: the driver
        attaches the router to the answer that is being made.
        """
        refusal = self._check_offer(attempt, now)
        if refusal is not None:
            return [self._bar(attempt, refusal)]
        if self.attempts.state(attempt.attempt_id) is not None:
            return []
        self._enqueue(attempt, now)
        return self._fill(now)

    def withdraw(
        self, attempt_id: str, now: float, *, epoch: int = 0
    ) -> tuple[attempts.AttemptStatus, list[actions.Action]]:
        """Take an attempt back unless it has started; tell what became of it.

        An attempt that is not known yet is barred as well: its offer may
        still be on the way, and must not start after "not run" was said.
        One that is claimed just now may still start, so it is not "not run".

        ``epoch`` is the attempt's own. An unknown attempt of a stale epoch
        may have run and been forgotten, so "not run" would be a guess.
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
        if state == attempts.WAITING:
            attempt = self._remove_waiting(attempt_id)
            reason = failure_value.Failure(
                code=codes.WITHDRAWN, reason="withdrawn by the router"
            )
            actions_due = [self._bar(attempt, reason)]
        else:
            self.attempts.set_state(attempt_id, attempts.BARRED)
        status = attempts.AttemptStatus(state=attempts.BARRED, ran=False)
        return status, actions_due + self._fill(now)

    def cancel(self, attempt_id: str, now: float) -> list[actions.Action]:
        """Stop an attempt that nobody waits for any more."""
        attempt = self._running_by_id.get(attempt_id)
        if attempt is None:
            return self.withdraw(attempt_id, now)[1]
        if not attempt.is_repeatable:
            # Cutting a payment in the middle leaves the caller with an
            # unknown outcome; it runs to its end and its answer is kept.
            return []
        return [actions.Cancel(attempt=attempt)]

    def claim_settled(
        self,
        attempt_id: str,
        refusal: failure_value.Failure | None,
        now: float,
    ) -> list[actions.Action]:
        """Note what became of a claim; ``None`` means it is granted.

        A doubled or late report of a claim that was settled before does
        nothing: the attempt runs already or is barred for good.
        """
        attempt = self._claiming_by_id.pop(attempt_id, None)
        if attempt is None:
            return []
        if refusal is None:
            refusal = self._check_start(attempt, now)
        if refusal is not None:
            self.order.charge(attempt.organisation, -attempt.estimate)
            return [self._bar(attempt, refusal), *self._fill(now)]
        return [self._start(attempt)]

    def progress(self, attempt_id: str, tokens: int, now: float) -> None:
        """Note tokens served beyond those already charged."""
        del now
        attempt = self._running_by_id.get(attempt_id)
        if attempt is not None:
            self.order.progress(attempt.attempt_id, tokens)

    def finish(
        self, attempt_id: str, *, cost: float, is_healthy: bool, now: float
    ) -> list[actions.Action]:
        """Note the end of a running attempt and its true cost, tokens."""
        attempt = self._running_by_id.pop(attempt_id, None)
        if attempt is None:
            return []
        self.attempts.set_state(attempt_id, attempts.DONE)
        self.order.settle(attempt, cost)
        self.limit.finished(is_healthy=is_healthy)
        return self._fill(now)

    def drain(self, reason: str, now: float) -> list[actions.Action]:
        """Start nothing new; give back all that waits as "not run"."""
        del now
        self.admission.close(reason)
        return self._return_waiting(reason)

    def undrain(self, reason: str, now: float) -> list[actions.Action]:
        """Take a reason for draining back; a return is a cold start."""
        if self.admission.open(reason):
            self.limit.restart()
        return self._fill(now)

    def tick(self, now: float) -> list[actions.Action]:
        """Refuse what waited past its deadline, fill free slots."""
        self.attempts.advance(now)
        expired = [
            attempt
            for queue in self._waiting_by_organisation.values()
            for attempt in queue
            if attempt.deadline <= now
        ]
        actions_due: list[actions.Action] = []
        for attempt in expired:
            self._remove_waiting(attempt.attempt_id)
            reason = failure_value.Failure(
                code=codes.DEADLINE_PASSED, reason="waited past its deadline"
            )
            actions_due.append(self._bar(attempt, reason))
        return actions_due + self._fill(now)

    def _check_offer(
        self, attempt: attempt_message.Attempt, now: float
    ) -> failure_value.Failure | None:
        """Return why an offered attempt cannot be taken, if so."""
        if attempt.incarnation != self.incarnation:
            # After a restart the table is empty: an attempt that was sent to
            # the predecessor may have run there. Only the address in the
            # attempt can tell, so what is not for this start is refused.
            return failure_value.Failure(
                code=codes.STALE_INCARNATION,
                reason=f"incarnation: {attempt.incarnation} is not this one",
            )
        state = self.attempts.state(attempt.attempt_id)
        if state == attempts.BARRED:
            return failure_value.Failure(
                code=codes.WITHDRAWN, reason="attempt was refused before"
            )
        if state is not None:
            return None
        if self.attempts.is_stale(attempt.epoch):
            # Settled attempts of that age are forgotten: this one may have
            # run, or been reported as "not run". It must not start.
            return failure_value.Failure(
                code=codes.STALE_EPOCH,
                reason=f"epoch: {attempt.epoch} is not near {self.epoch}",
            )
        refusal = self._check_start(attempt, now)
        return refusal or self._check_bounds(attempt)

    def _check_start(
        self, attempt: attempt_message.Attempt, now: float
    ) -> failure_value.Failure | None:
        """Return why nothing starts now, or this attempt does not."""
        if not self.admission.is_open:
            return failure_value.Failure(
                code=codes.DRAINING, reason=self.admission.reasons[0]
            )
        if attempt.deadline <= now:
            return failure_value.Failure(
                code=codes.DEADLINE_PASSED, reason="deadline: already passed"
            )
        return None

    def _check_bounds(
        self, attempt: attempt_message.Attempt
    ) -> failure_value.Failure | None:
        queue = self._waiting_by_organisation.get(attempt.organisation, ())
        is_full = (
            len(queue) >= self._limits.waiting_per_organisation
            or self._waiting_count >= self._limits.waiting_in_all
        )
        if not is_full:
            return None
        return failure_value.Failure(
            code=codes.AGENT_QUEUE_FULL,
            reason=f"organisation: {attempt.organisation} waits enough here",
            retry_after=DEFAULT_RETRY_AFTER,
        )

    def _bar(
        self,
        attempt: attempt_message.Attempt,
        reason: failure_value.Failure,
    ) -> actions.Refuse:
        if reason.code not in _REFUSED_BY_RULE:
            self.attempts.set_state(attempt.attempt_id, attempts.BARRED)
        return actions.Refuse(attempt=attempt, failure=reason)

    def _enqueue(self, attempt: attempt_message.Attempt, now: float) -> None:
        queue = self._waiting_by_organisation.get(attempt.organisation)
        if queue is None:
            queue = collections.deque()
            self._waiting_by_organisation[attempt.organisation] = queue
            self.order.arrive(attempt.organisation, now)
        queue.append(attempt)
        self._waiting_count += 1
        self.attempts.set_state(attempt.attempt_id, attempts.WAITING)

    def _remove_waiting(self, attempt_id: str) -> attempt_message.Attempt:
        for organisation, queue in self._waiting_by_organisation.items():
            for attempt in queue:
                if attempt.attempt_id == attempt_id:
                    queue.remove(attempt)
                    self._waiting_count -= 1
                    self._drop_if_empty(organisation)
                    return attempt
        raise ValueError(f"attempt_id: {attempt_id} does not wait")

    def _drop_if_empty(self, organisation: str) -> None:
        if not self._waiting_by_organisation[organisation]:
            del self._waiting_by_organisation[organisation]
            self.order.depart(organisation)

    def _return_waiting(self, reason: str) -> list[actions.Action]:
        refusal = failure_value.Failure(code=codes.DRAINING, reason=reason)
        waiting = [
            attempt
            for queue in self._waiting_by_organisation.values()
            for attempt in queue
        ]
        for organisation in list(self._waiting_by_organisation):
            self._waiting_by_organisation[organisation].clear()
            self._drop_if_empty(organisation)
        self._waiting_count = 0
        return [self._bar(attempt, refusal) for attempt in waiting]

    def _fill(self, now: float) -> list[actions.Action]:
        """Give free slots to waiting attempts in the share order."""
        actions_due: list[actions.Action] = []
        if not self.admission.is_open:
            return actions_due
        while (
            self._waiting_by_organisation
            and self.running_count < self.limit.limit
        ):
            organisation = self.order.pick(self._waiting_by_organisation, now)
            attempt = self._waiting_by_organisation[organisation].popleft()
            self._waiting_count -= 1
            self._drop_if_empty(organisation)
            self.order.charge(organisation, attempt.estimate)
            actions_due.append(self._claim_or_start(attempt))
        return actions_due

    def _claim_or_start(
        self, attempt: attempt_message.Attempt
    ) -> actions.Action:
        if attempt.is_repeatable or attempt.idempotency_key is None:
            return self._start(attempt)
        self._claiming_by_id[attempt.attempt_id] = attempt
        self.attempts.set_state(attempt.attempt_id, attempts.CLAIMING)
        return actions.Claim(attempt=attempt)

    def _start(self, attempt: attempt_message.Attempt) -> actions.Start:
        self._running_by_id[attempt.attempt_id] = attempt
        self.attempts.set_state(attempt.attempt_id, attempts.RUNNING)
        return actions.Start(attempt=attempt)
