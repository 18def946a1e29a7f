"""The registry of numbered result codes.

A code is a stable number that callers, operators and dashboards can rely on;
its title and HTTP status may change. ``docs/RESULT_CODES.md`` is the table of
this registry, and CI compares the two. The thousands group codes by the area
that can resolve them:

* 1xxx the caller's request, 2xxx capacity, 3xxx the gate of a backend server,
* 4xxx at-most-once execution, 5xxx backend servers, 6xxx configuration,
* 7xxx the platform, 8xxx communication between processes of the fleet.

Examples:
    >>> UNAUTHENTICATED.number, UNAUTHENTICATED.status
    (1001, 401)
    >>> by_number[2001].title
    'Queue of the organisation is full'
"""

import typing

RAN_NO = "no"
RAN_UNKNOWN = "unknown"


class Code(typing.NamedTuple):
    """A numbered result.

    Attributes:
        number: Stable number, unique in the registry.
        title: One short human-readable sentence.
        status: HTTP status that callers receive.
        ran: ``"no"`` if the request certainly did not run and never will,
            ``"unknown"`` if it may have run.
    """

    number: int
    title: str
    status: int
    ran: str


by_number: dict[int, Code] = {}


def define(number: int, title: str, status: int, ran: str = RAN_NO) -> Code:
    """Register a code.

    Raises:
        ValueError: ``number`` is already defined, or ``ran`` is neither
            ``"no"`` nor ``"unknown"``.
    """
    if number in by_number:
        raise ValueError(f"number: {number} is taken")
    if ran not in (RAN_NO, RAN_UNKNOWN):
        raise ValueError(f"ran: {ran!r} is neither 'no' nor 'unknown'")
    code = Code(number=number, title=title, status=status, ran=ran)
    by_number[number] = code
    return code


UNAUTHENTICATED = define(1001, "No organisation has this key", 401)
UNKNOWN_SERVICE = define(1002, "No such service", 404)
BAD_REQUEST = define(1003, "Request is malformed", 400)
BODY_TOO_LARGE = define(1004, "Request body is too large", 413)
HEADERS_TOO_LARGE = define(1005, "Request headers are too large", 431)
SLOW_SENDER = define(1006, "Request body came too slowly", 408)
TOO_MANY_CONNECTIONS = define(1007, "Too many open requests", 429)
NO_ROUTE = define(1009, "No route leads there", 404)
CALLER_GONE = define(1008, "Caller closed the connection", 499, RAN_UNKNOWN)

ORGANISATION_QUEUE_FULL = define(2001, "Queue of the organisation is full", 429)
ROUTER_FULL = define(2002, "Queue of the router is full", 503)
DEADLINE_PASSED = define(2003, "Deadline passed before a start", 504)
NO_BACKEND_SERVER = define(2004, "No backend server takes work", 503)
RETRIES_SPENT = define(2005, "Retry budget is spent", 503)
TIMED_OUT = define(2007, "Timeout of the route passed", 504, RAN_UNKNOWN)
TOO_LATE = define(2008, "No start in time is to be expected", 503)
MEMORY_IN_USE = define(2009, "Memory of the router is in use", 503)
NO_SERVER_OF_VERSION = define(
    2010, "No server of the version that began the stream", 503
)
AGENT_QUEUE_FULL = define(2006, "Queue of the agent is full", 503)

DRAINING = define(3001, "Process is draining", 503)
STALE_INCARNATION = define(3002, "Attempt is for an earlier incarnation", 503)
WITHDRAWN = define(3003, "Attempt was withdrawn before it started", 503)
NOT_CONFIGURED = define(3004, "Process has no configuration yet", 503)
STALE_EPOCH = define(3005, "Attempt is of an epoch that has passed", 503)
NOT_CONFIRMED = define(3006, "Configuration may be out of date", 503)

KEY_IN_PROGRESS = define(
    4001, "Idempotency key is in progress", 409, RAN_UNKNOWN
)
OUTCOME_UNKNOWN = define(4002, "Outcome is unknown", 502, RAN_UNKNOWN)
STORE_UNAVAILABLE = define(4003, "Claim store is unavailable", 503)
KEY_REUSED = define(4004, "Idempotency key was used for another request", 422)

ENGINE_FAILED = define(5001, "Backend server failed", 502, RAN_UNKNOWN)
ANSWER_BROKEN = define(5002, "Answer broke off", 502, RAN_UNKNOWN)
ANSWER_DIFFERS = define(
    5004, "Answer differs from its part already sent", 502, RAN_UNKNOWN
)
ENGINE_UNREACHABLE = define(5003, "Backend server is unreachable", 503)
QUARANTINED = define(5005, "Request crashed backend servers before", 503)

UNKNOWN_SETTING = define(6001, "Unknown key in configuration", 400)
BAD_VALUE = define(6002, "Bad value in configuration", 400)
DANGLING_NAME = define(6003, "Name in configuration is not defined", 400)
CONFIGURATION_CONFLICT = define(
    6004, "Configuration was changed by others", 409
)
BAD_FILE = define(6005, "Configuration file is unreadable", 400)
MISSING_KEY = define(6006, "Required key in configuration is missing", 400)
DUPLICATE_VALUE = define(6007, "Value in configuration is used twice", 400)
BAD_CHUNK = define(6008, "Part of the configuration is damaged", 502)

PLATFORM_UNAVAILABLE = define(7001, "Platform is unavailable", 503)
PLATFORM_ANSWER_LOST = define(
    7002, "Platform's answer was lost", 503, RAN_UNKNOWN
)
PLATFORM_CONFLICT = define(7003, "Object was changed by others", 412)
PLATFORM_BUDGET_SPENT = define(7004, "Budget of platform calls is spent", 503)
NOT_FOUND = define(7005, "Object does not exist", 404)
HISTORY_GONE = define(7006, "History of the platform's store is gone", 410)
STORE_RESTORED = define(7007, "Platform's store came back from a copy", 410)

NOT_A_PEER = define(8001, "Key of the fleet is missing or wrong", 401)
PEER_UNREACHABLE = define(8002, "Process is unreachable", 503)
BAD_MESSAGE = define(8003, "Message is malformed", 400)
NO_DESCRIPTORS = define(8004, "Process has no descriptor left", 503)
ERROR_BEFORE_RUN = define(8005, "Unexpected error before the request ran", 503)
ERROR_WITH_REQUEST = define(
    8006, "Unexpected error while the request may have run", 502, RAN_UNKNOWN
)
