"""Faults that can be injected into the platform."""

import msgspec

NONE = ""
UNAVAILABLE = "unavailable"
SILENT = "silent"


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The injected faults of the platform.

    Attributes:
        outage: ``UNAVAILABLE`` returns 503 to all calls, ``SILENT`` blocks
            each call until the faults change and then breaks its connection
            without having executed it.
        delay: Seconds before each call is handled.
        lose_answers: Number of writes that take effect, then lose their
            connection before the response.
        lose_silently: Number of writes that take effect, then do not
            respond; their connections break when the faults change.
        server_errors: Number of writes that take effect, then return 500.
        abort_writes: Number of writes that are aborted with 409.
    """

    outage: str = NONE
    delay: float = 0.0
    lose_answers: int = 0
    lose_silently: int = 0
    server_errors: int = 0
    abort_writes: int = 0
