"""Faults that can be injected into a plain service."""

import msgspec


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The injected faults of a plain service.

    Attributes:
        delay: Seconds that each call takes.
        refuse: Number of calls that return 503 without having run.
        fail: Number of calls that run, then return 500.
        lose: Number of calls that run, then lose their connection before
            the response.
        half: Number of calls that run, then break off after half the body.
        stall: Number of calls that run, then do not respond; their
            connections break when the faults change.
    """

    delay: float = 0.0
    refuse: int = 0
    fail: int = 0
    lose: int = 0
    half: int = 0
    stall: int = 0
