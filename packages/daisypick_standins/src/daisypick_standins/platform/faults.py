"""What goes wrong at the platform on command."""

import msgspec

NONE = ""
UNAVAILABLE = "unavailable"
SILENT = "silent"


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The state of the platform's faults.

    Attributes:
        outage: ``UNAVAILABLE`` answers 503 to all, ``SILENT`` holds each
            call until the outage ends and then breaks its connection
            without having done it.
        delay: Seconds before each call is looked at.
        lose_answers: So many writes take effect, then their connection
            breaks before the answer.
        lose_silently: So many writes take effect, then nothing is heard.
        server_errors: So many writes take effect, then answer 500.
        abort_writes: So many writes are given up with 409.
    """

    outage: str = NONE
    delay: float = 0.0
    lose_answers: int = 0
    lose_silently: int = 0
    server_errors: int = 0
    abort_writes: int = 0
