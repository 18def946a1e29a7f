"""State of the specification of at most once: attempts and the world."""

import typing

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
FINAL = frozenset({NOT_RUN, UNKNOWN, ANSWER})

# What the gate's table says of an attempt.
NEW = "new"
WAITING = "waiting"
CLAIMING = "claiming"
RUNNING = "running"
DONE = "done"
BARRED = "barred"


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
