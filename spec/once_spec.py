"""Specification of at-most-once execution of one idempotency key.

Callers send the same request, with one idempotency key, through several
routers; each becomes an attempt at an agent. The model covers the protocol
only: offers, the gate's table, the claim in the store, the query to the holder
of a key, withdrawal, draining and responses. Messages may be delayed, lost or
duplicated, in every order.

Abstractions, each of which allows more behaviour than the system has:

* A batcher is a read and a conditional write that belong to one attempt but
  are independent of its agent: they continue after the agent gave up or
  restarted.
* An attempt's epoch is 0. An agent's epoch passes once (``epoch_passed``); then
  finished attempts are forgotten and offers of epoch 0 are stale.
* Only agent 0 restarts, drains and passes its epoch; the others only compete
  for the key, to keep the state space small. The agents are symmetric, so this
  loses no generality.

Properties: at most one start in total; an attempt reported as "not run" has
not run; an attempt with a response belongs to a key that ran; nothing starts
while draining; every caller can still get a final outcome if no further faults
occur.
"""

from collections.abc import Iterator

import minicheck
import once_safeguards as safeguards
import once_state

State = tuple
Step = tuple[str, State]


class Specification:
    """The transitions, optionally without one safeguard.

    Attempt ``n`` belongs to agent ``n % agents``.
    """

    def __init__(
        self,
        *,
        attempts: int = 2,
        agents: int = 2,
        without: str | None = None,
        faults: frozenset[str] = safeguards.ALL_FAULTS,
        with_fault_stop: bool = False,
    ) -> None:
        if without is not None and without not in safeguards.SAFEGUARDS:
            raise ValueError(f"without: {without!r} is not a safeguard")
        self._count = attempts
        self._agents = agents
        self._without = without
        self._faults = faults
        self._with_fault_stop = with_fault_stop

    def protocol(self) -> minicheck.Protocol:
        """Return the model for the checker."""
        names = tuple(f"attempt{n}" for n in range(self._count))
        return minicheck.Protocol(
            name="at most once",
            candidate=False,
            fields=(*names, "world"),
            initial=(
                *(once_state.Attempt() for _ in names),
                once_state.World(),
            ),
            transitions=lambda state: list(self._steps(state)),
            invariants={
                safeguards.AT_MOST_ONCE: lambda d: (
                    sum(d[name].starts for name in names) <= 1
                ),
                safeguards.NOT_RUN_IS_TRUE: lambda d: all(
                    not d[name].starts
                    for name in names
                    if d[name].caller == once_state.NOT_RUN
                ),
                safeguards.ANSWER_IS_REAL: lambda d: (
                    all(d[name].caller != once_state.ANSWER for name in names)
                    or any(d[name].starts for name in names)
                ),
                safeguards.DRAIN_HOLDS: lambda d: (
                    not d["world"].started_draining
                ),
            },
            goal=lambda d: all(
                d[name].caller in once_state.FINAL for name in names
            ),
        )

    def _has(self, safeguard: str) -> bool:
        assert safeguard in safeguards.SAFEGUARDS
        return safeguard != self._without

    def _is_at_faulty_agent(self, number: int) -> bool:
        """Return whether an attempt is at agent 0, the one with faults."""
        return number % self._agents == 0

    def _steps(self, state: State) -> Iterator[Step]:
        for number in range(self._count):
            yield from self._caller_steps(state, number)
            yield from self._gate_steps(state, number)
            yield from self._claim_steps(state, number)
        world = state[-1]
        if not world.faults_stopped:
            yield from self._fault_steps(state)
        if self._with_fault_stop and not world.faults_stopped:
            yield "calm", (*state[:-1], world._replace(faults_stopped=True))

    # Faults.

    def _fault_steps(self, state: State) -> Iterator[Step]:
        world = state[-1]
        if safeguards.RESTART in self._faults and not world.has_restarted:
            yield "restart", self._restart(state)
        if safeguards.EPOCH in self._faults and not world.epoch_passed:
            yield "epoch", self._pass_epoch(state)
        if safeguards.DRAIN in self._faults and not world.is_draining:
            yield "drain", self._drain(state)
        if safeguards.OUTAGE in self._faults and not world.is_down:
            yield "outage", (*state[:-1], world._replace(is_down=True))

    def _restart(self, state: State) -> State:
        """Lose the table and the connections of agent 0."""
        attempts = [
            self._lose_state(attempt)
            if self._is_at_faulty_agent(number)
            else attempt
            for number, attempt in enumerate(state[:-1])
        ]
        world = state[-1]._replace(
            has_restarted=True, epoch_passed=False, is_draining=False
        )
        return (*attempts, world)

    def _lose_state(self, attempt: once_state.Attempt) -> once_state.Attempt:
        caller = (
            once_state.BROKEN
            if attempt.caller == once_state.OPEN
            else attempt.caller
        )
        return attempt._replace(
            gate=once_state.NEW, is_granted=False, caller=caller
        )

    def _pass_epoch(self, state: State) -> State:
        attempts = [
            attempt._replace(gate=once_state.NEW)
            if self._is_at_faulty_agent(number)
            and attempt.gate in (once_state.DONE, once_state.BARRED)
            else attempt
            for number, attempt in enumerate(state[:-1])
        ]
        return (*attempts, state[-1]._replace(epoch_passed=True))

    def _drain(self, state: State) -> State:
        attempts = [
            self._bar(attempt, once_state.NOT_RUN)
            if self._is_at_faulty_agent(number)
            and attempt.gate == once_state.WAITING
            else attempt
            for number, attempt in enumerate(state[:-1])
        ]
        return (*attempts, state[-1]._replace(is_draining=True))

    # The caller's router.

    def _caller_steps(self, state: State, number: int) -> Iterator[Step]:
        attempt = state[number]
        can_cut = (
            safeguards.CUT in self._faults and not state[-1].faults_stopped
        )
        if attempt.caller in (once_state.SENDING, once_state.RESENDING):
            is_resent = attempt.caller == once_state.RESENDING
            offered = self._offer(state, number, is_received=True)
            if is_resent:
                offered = self._correct_resent(state, offered, number)
            yield f"offer {number}", offered
            if can_cut and not is_resent:
                late = attempt._replace(caller=once_state.BROKEN, copies=1)
                yield f"cut late {number}", _with(state, number, late)
        if attempt.copies:
            rest = attempt._replace(copies=attempt.copies - 1)
            copied = _with(state, number, rest)
            offered = self._offer(copied, number, is_received=False)
            yield f"late offer {number}", offered
        if attempt.caller == once_state.OPEN:
            if can_cut:
                broken = attempt._replace(caller=once_state.BROKEN)
                yield f"cut {number}", _with(state, number, broken)
            if attempt.gate == once_state.WAITING:
                yield f"withdraw {number}", self._withdraw(state, number)
        if attempt.caller == once_state.BROKEN and self._has(
            "a router asks about a connection that fell silent"
        ):
            yield f"ask {number}", self._withdraw(state, number)
            resent = attempt._replace(caller=once_state.RESENDING)
            yield f"resend {number}", _with(state, number, resent)

    def _offer(self, state: State, number: int, *, is_received: bool) -> State:
        """Deliver an offer; its caller gets the response if ``is_received``."""
        attempt = state[number]
        refused = attempt
        if is_received:
            attempt = attempt._replace(caller=once_state.OPEN)
            refused = attempt._replace(caller=once_state.NOT_RUN)
        if self._is_refused_as_stale(state, number):
            return _with(state, number, refused)
        if attempt.gate == once_state.BARRED:
            return _with(state, number, refused)
        is_known = attempt.gate != once_state.NEW
        if is_known and self._has("a known attempt is not taken in again"):
            if is_received and attempt.gate == once_state.DONE:
                attempt = attempt._replace(caller=once_state.ANSWER)
            return _with(state, number, attempt)
        if self._is_at_faulty_agent(number) and state[-1].is_draining:
            return _with(
                state, number, refused._replace(gate=once_state.BARRED)
            )
        return _with(state, number, attempt._replace(gate=once_state.WAITING))

    def _is_refused_as_stale(self, state: State, number: int) -> bool:
        world = state[-1]
        if not self._is_at_faulty_agent(number):
            return False
        if world.has_restarted and self._has(
            "an offer for an earlier incarnation is refused"
        ):
            return True
        is_stale = world.epoch_passed and state[number].gate == once_state.NEW
        return is_stale and self._has("an offer of a stale epoch is refused")

    def _correct_resent(
        self, state: State, offered: State, number: int
    ) -> State:
        """Correct the caller's conclusion from a refusal as stale.

        The first copy of the offer may have run in an earlier incarnation of
        the agent, or in an epoch that is forgotten.
        """
        is_stale = self._is_refused_as_stale(state, number)
        if is_stale and self._has(
            "a stale refusal of an offer sent again means unknown"
        ):
            unknown = offered[number]._replace(caller=once_state.UNKNOWN)
            return _with(offered, number, unknown)
        return offered

    def _withdraw(self, state: State, number: int) -> State:
        """Let the router query or withdraw, and receive the response."""
        attempt = state[number]
        if self._is_at_faulty_agent(number) and state[-1].has_restarted:
            unknown = attempt._replace(caller=once_state.UNKNOWN)
            return _with(state, number, unknown)
        if attempt.gate in (once_state.RUNNING, once_state.CLAIMING):
            is_kept_open = attempt.gate == once_state.RUNNING or self._has(
                "an attempt that is being claimed is not called not run"
            )
            caller = once_state.OPEN if is_kept_open else once_state.NOT_RUN
            return _with(state, number, attempt._replace(caller=caller))
        if attempt.gate == once_state.DONE:
            return _with(
                state, number, attempt._replace(caller=once_state.ANSWER)
            )
        if self._is_forgotten(state, number):
            unknown = attempt._replace(caller=once_state.UNKNOWN)
            return _with(state, number, unknown)
        barred = attempt._replace(caller=once_state.NOT_RUN)
        if attempt.gate != once_state.NEW or self._has(
            "a withdrawn attempt is barred though it is unknown"
        ):
            barred = barred._replace(gate=once_state.BARRED)
        return _with(state, number, barred)

    def _is_forgotten(self, state: State, number: int) -> bool:
        is_old = self._is_at_faulty_agent(number) and state[-1].epoch_passed
        return (
            is_old
            and state[number].gate == once_state.NEW
            and self._has("a holder that forgot says that it cannot know")
        )

    # The gate.

    def _gate_steps(self, state: State, number: int) -> Iterator[Step]:
        attempt = state[number]
        if attempt.gate == once_state.WAITING:
            if self._has("a request is claimed before it starts"):
                claiming = attempt._replace(gate=once_state.CLAIMING)
                yield f"claim {number}", _with(state, number, claiming)
            else:
                yield f"start {number}", self._start(state, number)
        can_fail = safeguards.STORE in self._faults or state[-1].is_down
        if (
            attempt.gate == once_state.CLAIMING
            and can_fail
            and self._has("a claim is given up in time")
        ):
            yield f"give up {number}", self._give_up(state, number)
        if attempt.is_granted:
            yield f"granted {number}", self._granted(state, number)
        if attempt.gate == once_state.RUNNING:
            caller = (
                once_state.ANSWER
                if attempt.caller == once_state.OPEN
                else attempt.caller
            )
            done = attempt._replace(gate=once_state.DONE, caller=caller)
            yield f"finish {number}", _with(state, number, done)

    def _start(self, state: State, number: int) -> State:
        attempt = state[number]
        started = attempt._replace(
            gate=once_state.RUNNING, is_granted=False, starts=attempt.starts + 1
        )
        world = state[-1]
        if self._is_at_faulty_agent(number) and world.is_draining:
            world = world._replace(started_draining=True)
        return (*_with(state, number, started)[:-1], world)

    def _granted(self, state: State, number: int) -> State:
        attempt = state[number]
        if attempt.gate != once_state.CLAIMING:
            is_barred = attempt.gate == once_state.BARRED
            if is_barred and not self._has(
                "a claim that is given up bars its attempt"
            ):
                return self._start(state, number)
            ignored = attempt._replace(is_granted=False)
            return _with(state, number, ignored)
        is_draining = self._is_at_faulty_agent(number) and state[-1].is_draining
        if is_draining and self._has(
            "a grant that arrives while draining starts nothing"
        ):
            barred = self._bar(attempt, once_state.NOT_RUN)._replace(
                is_granted=False
            )
            return _with(state, number, barred)
        return self._start(state, number)

    def _give_up(self, state: State, number: int) -> State:
        """Refuse a claim that the store did not decide in time."""
        return _with(
            state, number, self._bar(state[number], once_state.NOT_RUN)
        )

    def _bar(
        self, attempt: once_state.Attempt, reported: str
    ) -> once_state.Attempt:
        caller = (
            reported if attempt.caller == once_state.OPEN else attempt.caller
        )
        return attempt._replace(gate=once_state.BARRED, caller=caller)

    # The claim.

    def _claim_steps(self, state: State, number: int) -> Iterator[Step]:
        attempt = state[number]
        world = state[-1]
        if world.is_down:
            return
        if world.holder == number and attempt.gate == once_state.BARRED:
            free = world._replace(version=world.version + 1, holder=None)
            yield f"release {number}", (*state[:-1], free)
        is_claiming = (
            attempt.gate == once_state.CLAIMING and not attempt.is_granted
        )
        if attempt.snapshot is None:
            if is_claiming:
                read = attempt._replace(snapshot=(world.version, world.holder))
                yield f"read {number}", _with(state, number, read)
            return
        holder = attempt.snapshot[1]
        if holder == number:
            granted = attempt._replace(snapshot=None, is_granted=is_claiming)
            yield f"found {number}", _with(state, number, granted)
        elif holder is None or self._may_replace(attempt, holder):
            yield from self._write_steps(state, number)
        elif is_claiming:
            yield (
                f"question {number}",
                self._query_holder(state, number, holder),
            )

    def _may_replace(self, attempt: once_state.Attempt, holder: int) -> bool:
        if self._has(
            "a key is taken over only from the attempt that was asked about"
        ):
            return attempt.replaces == holder
        return attempt.replaces is not None

    def _write_steps(self, state: State, number: int) -> Iterator[Step]:
        attempt = state[number]
        world = state[-1]
        is_current = attempt.snapshot[0] == world.version
        again = attempt._replace(snapshot=None)
        if not is_current and self._has(
            "a claim is written by conditional update"
        ):
            yield f"conflict {number}", _with(state, number, again)
            return
        stored = world._replace(version=world.version + 1, holder=number)
        granted = again._replace(is_granted=attempt.gate == once_state.CLAIMING)
        written = (*_with(state, number, granted)[:-1], stored)
        yield f"write {number}", written
        if safeguards.STORE not in self._faults or world.faults_stopped:
            return
        lost = again
        if not self._has("a lost answer is settled by reading back"):
            lost = granted
        yield f"lost write {number}", (*_with(state, number, lost)[:-1], stored)
        yield f"write lost {number}", _with(state, number, lost)

    def _query_holder(self, state: State, number: int, holder: int) -> State:
        """Query the holder's agent for the outcome of its attempt."""
        attempt = state[number]._replace(snapshot=None)
        queried = state[holder]
        is_gone = self._is_at_faulty_agent(holder) and state[-1].has_restarted
        if is_gone and self._has("a restarted holder says that it cannot know"):
            return _with(state, number, self._bar(attempt, once_state.UNKNOWN))
        if queried.gate == once_state.CLAIMING and not self._has(
            "a holder that is being claimed keeps its key"
        ):
            return _with(state, number, attempt._replace(replaces=holder))
        if queried.gate in (
            once_state.CLAIMING,
            once_state.RUNNING,
            once_state.DONE,
        ):
            reported = (
                once_state.ANSWER
                if queried.gate == once_state.DONE
                else once_state.UNKNOWN
            )
            return _with(state, number, self._bar(attempt, reported))
        if self._is_forgotten(state, holder):
            return _with(state, number, self._bar(attempt, once_state.UNKNOWN))
        state = _with(state, holder, self._bar(queried, once_state.NOT_RUN))
        return _with(state, number, attempt._replace(replaces=holder))


def _with(state: State, number: int, attempt: once_state.Attempt) -> State:
    """Return the state with one attempt replaced."""
    return (*state[:number], attempt, *state[number + 1 :])
