"""State of the specification of at-most-once execution."""

import typing

# State of an attempt at its caller: the offer is in transit, the connection is
# open or broken (the router must query), the offer is resent; then one of the
# three final outcomes.
SENDING = "sending"
OPEN = "open"
BROKEN = "broken"
RESENDING = "resending"
NOT_RUN = "not run"
UNKNOWN = "unknown"
ANSWER = "answer"
FINAL = frozenset({NOT_RUN, UNKNOWN, ANSWER})

# State of an attempt in the gate's table.
NEW = "new"
WAITING = "waiting"
CLAIMING = "claiming"
RUNNING = "running"
DONE = "done"
BARRED = "barred"


class Attempt(typing.NamedTuple):
    """One attempt: its caller, its gate, its claim, and what happened.

    Attributes:
        caller: Its state at the caller.
        copies: Offers in transit whose responses are not received.
        gate: Its state in the table of its agent's gate.
        snapshot: Version and holder that its batcher read, if any.
        is_granted: Whether a grant is in transit to the agent.
        replaces: Attempt that, according to its agent, never ran.
        starts: Number of its starts at a backend server.
    """

    caller: str = SENDING
    copies: int = 0
    gate: str = NEW
    snapshot: tuple[int, int | None] | None = None
    is_granted: bool = False
    replaces: int | None = None
    starts: int = 0


class World(typing.NamedTuple):
    """The state shared by all attempts.

    Attributes:
        version: Version of the stored head.
        holder: Attempt that holds the key.
        has_restarted: Whether agent 0 has restarted.
        epoch_passed: Whether the epoch of agent 0 has passed.
        is_draining: Whether agent 0 is draining.
        started_draining: Whether an attempt started while it was draining.
        is_down: Whether the store is permanently down.
        faults_stopped: Whether no further faults occur.
    """

    version: int = 0
    holder: int | None = None
    has_restarted: bool = False
    epoch_passed: bool = False
    is_draining: bool = False
    started_draining: bool = False
    is_down: bool = False
    faults_stopped: bool = False
