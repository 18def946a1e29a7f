"""What goes wrong at a plain service on command."""

import msgspec


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The state of a plain service's faults.

    Attributes:
        delay: Seconds that each call takes.
        refuse: So many calls answer 503 without having run.
        fail: So many calls run, then answer 500.
        lose: So many calls run, then their connection breaks unanswered.
        half: So many calls run, then break off in the middle of the body.
        stall: So many calls run, then stay silent until the faults change.
    """

    delay: float = 0.0
    refuse: int = 0
    fail: int = 0
    lose: int = 0
    half: int = 0
    stall: int = 0
