"""Faults that can be injected into an engine."""

import msgspec


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The injected faults of an engine.

    Attributes:
        fail: Number of requests that return 500 without having run.
        break_off: Number of responses that break off after half their
            tokens.
        stall: Number of streams that stall permanently after half their
            tokens.
        cross: Number of requests that get the answer to another request.
        slow: Factor on the length of each step.
        crash: Fail all running and waiting requests and restart, now.
        turn_cold: Become cold now, without changing the boot id.
    """

    fail: int = 0
    break_off: int = 0
    stall: int = 0
    cross: int = 0
    slow: float = 1.0
    crash: bool = False
    turn_cold: bool = False
