"""Specification of configuration generations: operators, store, processes.

Two operators each try to put one change in force. Two processes receive the
configuration from the store or from each other, by messages that may be
delayed and duplicated, and restart without state. The store may be down.

Properties: a generation has one content; an operator to whom a conflict is
reported has changed nothing; a process never goes back to a lower generation
than it has been ready with, even across a restart; every process can still
reach the newest generation.
"""

from collections.abc import Iterator
import typing

import minicheck

OPERATORS = (0, 1)
PROCESSES = (0, 1)
RESTARTS = 1

# Outcomes of a change, as reported to its operator.
IN_PROGRESS = "editing"
LOST = "answer lost"
ACCEPTED = "accepted"
CONFLICT = "conflict"

ONE_CONTENT = "a generation has one content"
CONFLICT_IS_TRUE = "a conflict has changed nothing"
NEVER_REGRESSES = "a generation never falls"

SAFEGUARDS = {
    "the root is written by conditional update": ONE_CONTENT,
    "a lost answer is settled by reading back": CONFLICT_IS_TRUE,
    "the root names the latest changes": CONFLICT_IS_TRUE,
    "a lower generation is ignored": NEVER_REGRESSES,
    "a restarted process is ready only after the store has answered": (
        NEVER_REGRESSES
    ),
}

# A root is the sequence of the operators whose changes are in force; its length
# is the generation.
Root = tuple[int, ...]


class Operator(typing.NamedTuple):
    """An operator: the root read, and the outcome of the write."""

    base: Root | None = None
    outcome: str = IN_PROGRESS


class Process(typing.NamedTuple):
    """A process: the root in force, the highest generation served, restarts."""

    root: Root = ()
    is_ready: bool = False
    has_regressed: bool = False
    highest: int = 0
    restarts: int = 0


class World(typing.NamedTuple):
    """The stored root, all roots ever written, and the store outage."""

    root: Root = ()
    written: frozenset[Root] = frozenset()
    is_down: bool = False


State = tuple
Step = tuple[str, State]


class Specification:
    """The transitions, optionally without one safeguard."""

    def __init__(self, *, without: str | None = None) -> None:
        if without is not None and without not in SAFEGUARDS:
            raise ValueError(f"without: {without!r} is not a safeguard")
        self._without = without

    def protocol(self) -> minicheck.Protocol:
        """Return the model for the checker."""
        operators = [f"operator{n}" for n in OPERATORS]
        processes = [f"process{n}" for n in PROCESSES]
        return minicheck.Protocol(
            name="configuration generations",
            candidate=False,
            fields=(*operators, *processes, "world"),
            initial=(
                *(Operator() for _ in operators),
                *(Process() for _ in processes),
                World(),
            ),
            transitions=lambda state: list(self._steps(state)),
            invariants={
                ONE_CONTENT: lambda d: _has_one_content(d["world"].written),
                CONFLICT_IS_TRUE: lambda d: all(
                    not _is_in(n, d["world"].written)
                    for n in OPERATORS
                    if d[f"operator{n}"].outcome == CONFLICT
                ),
                NEVER_REGRESSES: lambda d: (
                    not any(d[name].has_regressed for name in processes)
                ),
            },
            goal=lambda d: all(
                d[name].is_ready and d[name].root == d["world"].root
                for name in processes
            ),
        )

    def _has(self, safeguard: str) -> bool:
        assert safeguard in SAFEGUARDS
        return safeguard != self._without

    def _steps(self, state: State) -> Iterator[Step]:
        world = state[-1]
        is_down = not world.is_down
        yield "store", (*state[:-1], world._replace(is_down=is_down))
        if not world.is_down:
            for number in OPERATORS:
                yield from self._operator_steps(state, number)
        for number in PROCESSES:
            yield from self._process_steps(state, number)

    # Operators.

    def _operator_steps(self, state: State, number: int) -> Iterator[Step]:
        operator = state[number]
        world = state[-1]
        if operator.outcome == IN_PROGRESS and operator.base is None:
            read = operator._replace(base=world.root)
            yield f"operator {number} reads", _with(state, number, read)
        elif operator.outcome == IN_PROGRESS:
            yield from self._write_steps(state, number)
        elif operator.outcome == LOST:
            outcome = self._read_back(operator, world.root, number)
            settled = operator._replace(outcome=outcome)
            yield f"operator {number} reads back", _with(state, number, settled)

    def _write_steps(self, state: State, number: int) -> Iterator[Step]:
        operator = state[number]
        world = state[-1]
        lost = operator._replace(outcome=LOST)
        if not self._has("a lost answer is settled by reading back"):
            lost = operator._replace(outcome=CONFLICT)
        is_current = operator.base == world.root
        if not is_current and self._has(
            "the root is written by conditional update"
        ):
            refused = operator._replace(outcome=CONFLICT)
            yield f"operator {number} conflicts", _with(state, number, refused)
            yield f"operator {number} loses", _with(state, number, lost)
            return
        root = (*operator.base, number)
        stored = world._replace(root=root, written=world.written | {root})
        accepted = operator._replace(outcome=ACCEPTED)
        for result in (accepted, lost):
            written = _with(state, number, result)
            yield f"operator {number} writes", (*written[:-1], stored)

    def _read_back(self, operator: Operator, root: Root, number: int) -> str:
        if self._has("the root names the latest changes"):
            return ACCEPTED if number in root else CONFLICT
        return ACCEPTED if root[-1:] == (number,) else CONFLICT

    # Processes.

    def _process_steps(self, state: State, number: int) -> Iterator[Step]:
        index = len(OPERATORS) + number
        process = state[index]
        world = state[-1]
        if not world.is_down:
            queried = self._receive(process, world.root)._replace(is_ready=True)
            yield (
                f"process {number} asks",
                self._activate(state, index, queried),
            )
        for root in world.written:
            # A message with this root may arrive at any later time.
            received = self._receive(process, root)
            if not self._has(
                "a restarted process is ready only after the store has answered"
            ):
                received = received._replace(is_ready=True)
            yield (
                f"process {number} hears",
                self._activate(state, index, received),
            )
        if process.restarts < RESTARTS:
            restarted = process._replace(
                root=(), is_ready=False, restarts=process.restarts + 1
            )
            yield f"process {number} restarts", _with(state, index, restarted)

    def _receive(self, process: Process, root: Root) -> Process:
        is_lower = len(root) < len(process.root)
        if is_lower and self._has("a lower generation is ignored"):
            return process
        return process._replace(root=root)

    def _activate(self, state: State, index: int, process: Process) -> State:
        """Record the generation a process serves, and whether it decreased."""
        if process.is_ready:
            generation = len(process.root)
            process = process._replace(
                has_regressed=generation < process.highest,
                highest=max(process.highest, generation),
            )
        return _with(state, index, process)


def _has_one_content(written: frozenset[Root]) -> bool:
    return len({len(root) for root in written}) == len(written)


def _is_in(operator: int, written: frozenset[Root]) -> bool:
    return any(operator in root for root in written)


def _with(state: State, index: int, part: Operator | Process) -> State:
    """Return the state with one operator or process replaced."""
    return (*state[:index], part, *state[index + 1 :])
