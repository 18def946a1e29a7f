"""Safeguards of at-most-once execution, their properties, and the faults.

Each safeguard can be removed from the specification; ``SAFEGUARDS`` states
which property is then violated, and which setting is needed to show it.
"""

import typing


class Removal(typing.NamedTuple):
    """The effect of the removal of a safeguard.

    Attributes:
        violated: The property that is violated.
        faults: Faults needed for the violation.
        attempts: Number of attempts needed for the violation.
    """

    violated: str
    faults: frozenset[str] = frozenset()
    attempts: int = 2


AT_MOST_ONCE = "at most once"
NOT_RUN_IS_TRUE = "not run is true"
ANSWER_IS_REAL = "an answer is of a key that ran"
DRAIN_HOLDS = "nothing starts while draining"
REQUEST_ENDS = "every request ends"

CUT = "cut"
RESTART = "restart"
EPOCH = "epoch"
DRAIN = "drain"
STORE = "store"
OUTAGE = "outage"
ALL_FAULTS = frozenset({CUT, RESTART, EPOCH, DRAIN, STORE})

SAFEGUARDS: dict[str, Removal] = {
    "a request is claimed before it starts": Removal(AT_MOST_ONCE),
    "a claim is written by conditional update": Removal(AT_MOST_ONCE),
    "a lost answer is settled by reading back": Removal(
        AT_MOST_ONCE, frozenset({STORE})
    ),
    "a key is taken over only from the attempt that was asked about": Removal(
        AT_MOST_ONCE, frozenset({STORE}), attempts=3
    ),
    "a claim that is given up bars its attempt": Removal(
        NOT_RUN_IS_TRUE, frozenset({STORE})
    ),
    "a holder that is being claimed keeps its key": Removal(AT_MOST_ONCE),
    "a restarted holder says that it cannot know": Removal(
        AT_MOST_ONCE, frozenset({RESTART})
    ),
    "a holder that forgot says that it cannot know": Removal(
        AT_MOST_ONCE, frozenset({EPOCH})
    ),
    "an offer for an earlier incarnation is refused": Removal(
        NOT_RUN_IS_TRUE, frozenset({RESTART, CUT})
    ),
    "an offer of a stale epoch is refused": Removal(
        NOT_RUN_IS_TRUE, frozenset({EPOCH, CUT})
    ),
    "a withdrawn attempt is barred though it is unknown": Removal(
        NOT_RUN_IS_TRUE, frozenset({CUT})
    ),
    "a known attempt is not taken in again": Removal(
        NOT_RUN_IS_TRUE, frozenset({CUT})
    ),
    "an attempt that is being claimed is not called not run": Removal(
        NOT_RUN_IS_TRUE, frozenset({CUT})
    ),
    "a stale refusal of an offer sent again means unknown": Removal(
        NOT_RUN_IS_TRUE, frozenset({RESTART, CUT})
    ),
    "a grant that arrives while draining starts nothing": Removal(
        DRAIN_HOLDS, frozenset({DRAIN})
    ),
    "a claim is given up in time": Removal(REQUEST_ENDS, frozenset({OUTAGE})),
    "a router asks about a connection that fell silent": Removal(
        REQUEST_ENDS, frozenset({CUT})
    ),
}
