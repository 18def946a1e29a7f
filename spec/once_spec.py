"""Specification of at most once: one key, several attempts, any faults.

Callers send the same request, with one idempotency key, through several
routers: each becomes an attempt at an agent. The model is the protocol alone:
an offer, the gate's table, the claim in the store, the question to the holder
of a key, withdrawing, draining, answers. Everything that can be late, lost or
doubled is, in every order.

Abstractions, each of which allows more behaviour than the system has:

* A batcher is a read and a conditional write that belong to one attempt but
  live outside its agent: they go on after it gave up or restarted.
* An attempt's epoch is 0. An agent's epoch passes once (``is_late``); then
  settled attempts are forgotten and offers of epoch 0 are stale.
* Agent 0 restarts, drains and passes its epoch; the others only serve as
  rivals, to keep the state space small. Agents are alike, so nothing is lost.

Properties: at most one start in all; who was told "not run" has not run; who
was given an answer belongs to a key that ran; nothing starts while draining;
every caller can still be told something, without further faults.
"""

from collections.abc import Iterator
import typing

import minicheck

# What the caller of an attempt sees: its offer is on the way, its connection
# is open, broken (the router must ask), its offer is sent again; then one of
# the three final answers.
SENDING = "sending"
OPEN = "open"
BROKEN = "broken"
RESENDING = "resending"
NOT_RUN = "not run"
UNKNOWN = "unknown"
ANSWER = "answer"
_FINAL = frozenset({NOT_RUN, UNKNOWN, ANSWER})

# What the gate's table says of an attempt.
NEW = "new"
WAITING = "waiting"
CLAIMING = "claiming"
RUNNING = "running"
DONE = "done"
BARRED = "barred"


class Removal(typing.NamedTuple):
    """Where the removal of a safeguard shows.

    Attributes:
        broken: The property that no longer holds.
        faults: Faults that it takes.
        attempts: Attempts that it takes.
    """

    broken: str
    faults: frozenset[str] = frozenset()
    attempts: int = 2


AT_MOST_ONCE = "at most once"
NOT_RUN_IS_TRUE = "not run is true"
ANSWER_IS_REAL = "an answer is of a key that ran"
DRAIN_HOLDS = "nothing starts while draining"
REQUEST_ENDS = "every request ends"

CUT = "cut"
RESTART = "restart"
EPOCH = "epoch"
DRAIN = "drain"
STORE = "store"
OUTAGE = "outage"
ALL_FAULTS = frozenset({CUT, RESTART, EPOCH, DRAIN, STORE})

SAFEGUARDS: dict[str, Removal] = {
    "a request is claimed before it starts": Removal(AT_MOST_ONCE),
    "a claim is written by conditional update": Removal(AT_MOST_ONCE),
    "a lost answer is settled by reading back": Removal(
        AT_MOST_ONCE, frozenset({STORE})
    ),
    "a key is taken over only from the attempt that was asked about": Removal(
        AT_MOST_ONCE, frozenset({STORE}), attempts=3
    ),
    "a claim that is given up bars its attempt": Removal(
        NOT_RUN_IS_TRUE, frozenset({STORE})
    ),
    "a holder that is being claimed keeps its key": Removal(AT_MOST_ONCE),
    "a restarted holder says that it cannot know": Removal(
        AT_MOST_ONCE, frozenset({RESTART})
    ),
    "a holder that forgot says that it cannot know": Removal(
        AT_MOST_ONCE, frozenset({EPOCH})
    ),
    "an offer for an earlier incarnation is refused": Removal(
        NOT_RUN_IS_TRUE, frozenset({RESTART, CUT})
    ),
    "an offer of a stale epoch is refused": Removal(
        NOT_RUN_IS_TRUE, frozenset({EPOCH, CUT})
    ),
    "a withdrawn attempt is barred though it is unknown": Removal(
        NOT_RUN_IS_TRUE, frozenset({CUT})
    ),
    "a known attempt is not taken in again": Removal(
        NOT_RUN_IS_TRUE, frozenset({CUT})
    ),
    "an attempt that is being claimed is not called not run": Removal(
        NOT_RUN_IS_TRUE, frozenset({CUT})
    ),
    "a stale refusal of an offer sent again means unknown": Removal(
        NOT_RUN_IS_TRUE, frozenset({RESTART, CUT})
    ),
    "a grant that arrives while draining starts nothing": Removal(
        DRAIN_HOLDS, frozenset({DRAIN})
    ),
    "a claim is given up in time": Removal(REQUEST_ENDS, frozenset({OUTAGE})),
    "a router asks about a connection that fell silent": Removal(
        REQUEST_ENDS, frozenset({CUT})
    ),
}


class Attempt(typing.NamedTuple):
    """One attempt: its caller, its gate, its claim, and what happened.

    Attributes:
        caller: What its caller sees.
        copies: Offers under way whose answers nobody hears.
        gate: What the table of its agent says.
        snapshot: Version and holder that its batcher read, if any.
        is_granted: Whether a grant is on its way to the agent.
        replaces: Attempt that, as its agent said, never ran.
        starts: How often it started at a backend server.
    """

    caller: str = SENDING
    copies: int = 0
    gate: str = NEW
    snapshot: tuple[int, int | None] | None = None
    is_granted: bool = False
    replaces: int | None = None
    starts: int = 0


class World(typing.NamedTuple):
    """All the state that is not an attempt's.

    Attributes:
        version: Version of the stored head.
        holder: Attempt that holds the key.
        has_restarted: Whether agent 0 has restarted.
        is_late: Whether the epoch of agent 0 has passed.
        is_draining: Whether agent 0 drains.
        started_draining: Whether anything started while it drained.
        is_down: Whether the store is down for good.
        is_calm: Whether no further fault happens.
    """

    version: int = 0
    holder: int | None = None
    has_restarted: bool = False
    is_late: bool = False
    is_draining: bool = False
    started_draining: bool = False
    is_down: bool = False
    is_calm: bool = False


State = tuple
Step = tuple[str, State]


class Specification:
    """The transitions, with some safeguards removed.

    Attempt ``n`` belongs to agent ``n % agents``.
    """

    def __init__(
        self,
        *,
        attempts: int = 2,
        agents: int = 2,
        without: str | None = None,
        faults: frozenset[str] = ALL_FAULTS,
        with_calm: bool = False,
    ) -> None:
        if without is not None and without not in SAFEGUARDS:
            raise ValueError(f"without: {without!r} is no safeguard")
        self._count = attempts
        self._agents = agents
        self._without = without
        self._faults = faults
        self._with_calm = with_calm

    def protocol(self) -> minicheck.Protocol:
        """Return the model for the checker."""
        names = tuple(f"attempt{n}" for n in range(self._count))
        return minicheck.Protocol(
            name="at most once",
            candidate=False,
            fields=(*names, "world"),
            initial=(*(Attempt() for _ in names), World()),
            transitions=lambda state: list(self._steps(state)),
            invariants={
                AT_MOST_ONCE: lambda d: (
                    sum(d[name].starts for name in names) <= 1
                ),
                NOT_RUN_IS_TRUE: lambda d: all(
                    not d[name].starts
                    for name in names
                    if d[name].caller == NOT_RUN
                ),
                ANSWER_IS_REAL: lambda d: (
                    all(d[name].caller != ANSWER for name in names)
                    or any(d[name].starts for name in names)
                ),
                DRAIN_HOLDS: lambda d: not d["world"].started_draining,
            },
            goal=lambda d: all(d[name].caller in _FINAL for name in names),
        )

    def _has(self, safeguard: str) -> bool:
        assert safeguard in SAFEGUARDS
        return safeguard != self._without

    def _is_mine(self, number: int) -> bool:
        """Tell whether an attempt is at agent 0, the one with faults."""
        return number % self._agents == 0

    def _steps(self, state: State) -> Iterator[Step]:
        for number in range(self._count):
            yield from self._caller_steps(state, number)
            yield from self._gate_steps(state, number)
            yield from self._claim_steps(state, number)
        world = state[-1]
        if not world.is_calm:
            yield from self._fault_steps(state)
        if self._with_calm and not world.is_calm:
            yield "calm", (*state[:-1], world._replace(is_calm=True))

    # Faults.

    def _fault_steps(self, state: State) -> Iterator[Step]:
        world = state[-1]
        if RESTART in self._faults and not world.has_restarted:
            yield "restart", self._restart(state)
        if EPOCH in self._faults and not world.is_late:
            yield "epoch", self._pass_epoch(state)
        if DRAIN in self._faults and not world.is_draining:
            yield "drain", self._drain(state)
        if OUTAGE in self._faults and not world.is_down:
            yield "outage", (*state[:-1], world._replace(is_down=True))

    def _restart(self, state: State) -> State:
        """Lose the table and the connections of agent 0."""
        attempts = [
            self._lose(attempt) if self._is_mine(number) else attempt
            for number, attempt in enumerate(state[:-1])
        ]
        world = state[-1]._replace(
            has_restarted=True, is_late=False, is_draining=False
        )
        return (*attempts, world)

    def _lose(self, attempt: Attempt) -> Attempt:
        caller = BROKEN if attempt.caller == OPEN else attempt.caller
        return attempt._replace(gate=NEW, is_granted=False, caller=caller)

    def _pass_epoch(self, state: State) -> State:
        attempts = [
            attempt._replace(gate=NEW)
            if self._is_mine(number) and attempt.gate in (DONE, BARRED)
            else attempt
            for number, attempt in enumerate(state[:-1])
        ]
        return (*attempts, state[-1]._replace(is_late=True))

    def _drain(self, state: State) -> State:
        attempts = [
            self._bar(attempt, NOT_RUN)
            if self._is_mine(number) and attempt.gate == WAITING
            else attempt
            for number, attempt in enumerate(state[:-1])
        ]
        return (*attempts, state[-1]._replace(is_draining=True))

    # The caller's router.

    def _caller_steps(self, state: State, number: int) -> Iterator[Step]:
        attempt = state[number]
        can_cut = CUT in self._faults and not state[-1].is_calm
        if attempt.caller in (SENDING, RESENDING):
            is_resent = attempt.caller == RESENDING
            offered = self._offer(state, number, is_heard=True)
            if is_resent:
                offered = self._judge_resent(state, offered, number)
            yield f"offer {number}", offered
            if can_cut and not is_resent:
                late = attempt._replace(caller=BROKEN, copies=1)
                yield f"cut late {number}", _with(state, number, late)
        if attempt.copies:
            rest = attempt._replace(copies=attempt.copies - 1)
            copied = _with(state, number, rest)
            offered = self._offer(copied, number, is_heard=False)
            yield f"late offer {number}", offered
        if attempt.caller == OPEN:
            if can_cut:
                broken = attempt._replace(caller=BROKEN)
                yield f"cut {number}", _with(state, number, broken)
            if attempt.gate == WAITING:
                yield f"withdraw {number}", self._withdraw(state, number)
        if attempt.caller == BROKEN and self._has(
            "a router asks about a connection that fell silent"
        ):
            yield f"ask {number}", self._withdraw(state, number)
            resent = attempt._replace(caller=RESENDING)
            yield f"resend {number}", _with(state, number, resent)

    def _offer(self, state: State, number: int, *, is_heard: bool) -> State:
        """Deliver an offer; the caller hears what it leads to."""
        attempt = state[number]
        refused = attempt
        if is_heard:
            attempt = attempt._replace(caller=OPEN)
            refused = attempt._replace(caller=NOT_RUN)
        if self._is_refused_as_stale(state, number):
            return _with(state, number, refused)
        if attempt.gate == BARRED:
            return _with(state, number, refused)
        is_known = attempt.gate != NEW
        if is_known and self._has("a known attempt is not taken in again"):
            if is_heard and attempt.gate == DONE:
                attempt = attempt._replace(caller=ANSWER)
            return _with(state, number, attempt)
        if self._is_mine(number) and state[-1].is_draining:
            return _with(state, number, refused._replace(gate=BARRED))
        return _with(state, number, attempt._replace(gate=WAITING))

    def _is_refused_as_stale(self, state: State, number: int) -> bool:
        world = state[-1]
        if not self._is_mine(number):
            return False
        if world.has_restarted and self._has(
            "an offer for an earlier incarnation is refused"
        ):
            return True
        is_stale = world.is_late and state[number].gate == NEW
        return is_stale and self._has("an offer of a stale epoch is refused")

    def _judge_resent(self, state: State, offered: State, number: int) -> State:
        """Correct what the caller makes of a stale refusal.

        The first copy of the offer may have run at the predecessor, or in
        an epoch that is forgotten.
        """
        is_stale = self._is_refused_as_stale(state, number)
        if is_stale and self._has(
            "a stale refusal of an offer sent again means unknown"
        ):
            unknown = offered[number]._replace(caller=UNKNOWN)
            return _with(offered, number, unknown)
        return offered

    def _withdraw(self, state: State, number: int) -> State:
        """Let the router ask or withdraw, and hear the answer."""
        attempt = state[number]
        if self._is_mine(number) and state[-1].has_restarted:
            unknown = attempt._replace(caller=UNKNOWN)
            return _with(state, number, unknown)
        if attempt.gate in (RUNNING, CLAIMING):
            is_safe = attempt.gate == RUNNING or self._has(
                "an attempt that is being claimed is not called not run"
            )
            caller = OPEN if is_safe else NOT_RUN
            return _with(state, number, attempt._replace(caller=caller))
        if attempt.gate == DONE:
            return _with(state, number, attempt._replace(caller=ANSWER))
        if self._is_forgotten(state, number):
            unknown = attempt._replace(caller=UNKNOWN)
            return _with(state, number, unknown)
        barred = attempt._replace(caller=NOT_RUN)
        if attempt.gate != NEW or self._has(
            "a withdrawn attempt is barred though it is unknown"
        ):
            barred = barred._replace(gate=BARRED)
        return _with(state, number, barred)

    def _is_forgotten(self, state: State, number: int) -> bool:
        is_old = self._is_mine(number) and state[-1].is_late
        return (
            is_old
            and state[number].gate == NEW
            and self._has("a holder that forgot says that it cannot know")
        )

    # The gate.

    def _gate_steps(self, state: State, number: int) -> Iterator[Step]:
        attempt = state[number]
        if attempt.gate == WAITING:
            if self._has("a request is claimed before it starts"):
                claiming = attempt._replace(gate=CLAIMING)
                yield f"claim {number}", _with(state, number, claiming)
            else:
                yield f"start {number}", self._start(state, number)
        can_fail = STORE in self._faults or state[-1].is_down
        if (
            attempt.gate == CLAIMING
            and can_fail
            and self._has("a claim is given up in time")
        ):
            yield f"give up {number}", self._give_up(state, number)
        if attempt.is_granted:
            yield f"granted {number}", self._granted(state, number)
        if attempt.gate == RUNNING:
            caller = ANSWER if attempt.caller == OPEN else attempt.caller
            done = attempt._replace(gate=DONE, caller=caller)
            yield f"finish {number}", _with(state, number, done)

    def _start(self, state: State, number: int) -> State:
        attempt = state[number]
        started = attempt._replace(
            gate=RUNNING, is_granted=False, starts=attempt.starts + 1
        )
        world = state[-1]
        if self._is_mine(number) and world.is_draining:
            world = world._replace(started_draining=True)
        return (*_with(state, number, started)[:-1], world)

    def _granted(self, state: State, number: int) -> State:
        attempt = state[number]
        if attempt.gate != CLAIMING:
            is_barred = attempt.gate == BARRED
            if is_barred and not self._has(
                "a claim that is given up bars its attempt"
            ):
                return self._start(state, number)
            ignored = attempt._replace(is_granted=False)
            return _with(state, number, ignored)
        is_draining = self._is_mine(number) and state[-1].is_draining
        if is_draining and self._has(
            "a grant that arrives while draining starts nothing"
        ):
            barred = self._bar(attempt, NOT_RUN)._replace(is_granted=False)
            return _with(state, number, barred)
        return self._start(state, number)

    def _give_up(self, state: State, number: int) -> State:
        """Refuse a claim that the store did not settle in time."""
        return _with(state, number, self._bar(state[number], NOT_RUN))

    def _bar(self, attempt: Attempt, told: str) -> Attempt:
        caller = told if attempt.caller == OPEN else attempt.caller
        return attempt._replace(gate=BARRED, caller=caller)

    # The claim.

    def _claim_steps(self, state: State, number: int) -> Iterator[Step]:
        attempt = state[number]
        world = state[-1]
        if world.is_down:
            return
        is_claiming = attempt.gate == CLAIMING and not attempt.is_granted
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
            yield f"question {number}", self._question(state, number, holder)

    def _may_replace(self, attempt: Attempt, holder: int) -> bool:
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
        granted = again._replace(is_granted=attempt.gate == CLAIMING)
        written = (*_with(state, number, granted)[:-1], stored)
        yield f"write {number}", written
        if STORE not in self._faults or world.is_calm:
            return
        lost = again
        if not self._has("a lost answer is settled by reading back"):
            lost = granted
        yield f"lost write {number}", (*_with(state, number, lost)[:-1], stored)
        yield f"write lost {number}", _with(state, number, lost)

    def _question(self, state: State, number: int, holder: int) -> State:
        """Ask the holder's agent what became of its attempt."""
        attempt = state[number]._replace(snapshot=None)
        asked = state[holder]
        is_gone = self._is_mine(holder) and state[-1].has_restarted
        if is_gone and self._has("a restarted holder says that it cannot know"):
            return _with(state, number, self._bar(attempt, UNKNOWN))
        if asked.gate == CLAIMING and not self._has(
            "a holder that is being claimed keeps its key"
        ):
            return _with(state, number, attempt._replace(replaces=holder))
        if asked.gate in (CLAIMING, RUNNING, DONE):
            told = ANSWER if asked.gate == DONE else UNKNOWN
            return _with(state, number, self._bar(attempt, told))
        if self._is_forgotten(state, holder):
            return _with(state, number, self._bar(attempt, UNKNOWN))
        state = _with(state, holder, self._bar(asked, NOT_RUN))
        return _with(state, number, attempt._replace(replaces=holder))


def _with(state: State, number: int, attempt: Attempt) -> State:
    """Return the state with one attempt replaced."""
    return (*state[:number], attempt, *state[number + 1 :])
