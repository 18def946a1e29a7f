"""What goes wrong at an engine on command."""

import msgspec


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The state of an engine's faults.

    Attributes:
        fail: So many requests answer 500 without having run.
        break_off: So many answers break off after half their tokens.
        stall: So many streams go silent for good after half their tokens.
        cross: So many requests get the answer to another request.
        slow: Factor on the length of each step.
        crash: Fail all that runs and start anew, now.
        turn_cold: Become cold now, without another boot id.
    """

    fail: int = 0
    break_off: int = 0
    stall: int = 0
    cross: int = 0
    slow: float = 1.0
    crash: bool = False
    turn_cold: bool = False
