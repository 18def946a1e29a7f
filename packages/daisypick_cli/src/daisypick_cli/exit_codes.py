"""Exit codes of the operators' command line.

Examples:
    >>> from daisypick_core.results import codes
    >>> of_failure(failure_value.Failure(codes.PLATFORM_UNAVAILABLE, "down"))
    4
"""

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

OK = 0
USAGE = 1
FAULTS = 2
CONFLICT = 3
UNAVAILABLE = 4
UNKNOWN = 5
DIFFERENT = 6

MEANING_BY_CODE = {
    OK: "done",
    USAGE: "invalid command line",
    FAULTS: "the folder or an argument is invalid; nothing was changed",
    CONFLICT: "others changed the configuration; nothing was changed",
    UNAVAILABLE: "the platform or a process is unavailable; nothing was "
    "changed",
    UNKNOWN: "the change may be in force; apply again to find out",
    DIFFERENT: "diff: the folder differs from the configuration in force",
}

_BY_NUMBER = {
    codes.CONFIGURATION_CONFLICT.number: CONFLICT,
    codes.PLATFORM_ANSWER_LOST.number: UNKNOWN,
    codes.PLATFORM_UNAVAILABLE.number: UNAVAILABLE,
    codes.PLATFORM_BUDGET_SPENT.number: UNAVAILABLE,
    codes.PEER_UNREACHABLE.number: UNAVAILABLE,
    codes.NOT_A_PEER.number: UNAVAILABLE,
    codes.BAD_MESSAGE.number: UNAVAILABLE,
    codes.BAD_CHUNK.number: UNAVAILABLE,
    codes.NOT_FOUND.number: UNAVAILABLE,
}


def of_failure(failure: failure_value.Failure) -> int:
    """Return the exit code of a failure."""
    return _BY_NUMBER.get(failure.code.number, FAULTS)
