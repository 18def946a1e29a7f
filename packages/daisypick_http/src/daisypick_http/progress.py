"""A lower bound on progress: bytes within a time.

A timeout for a whole transfer would cut a slow link that works, and one for
each send lets a peer hold it with a byte at a time.

Examples:
    >>> progress = Progress(ProgressBound(amount=100, seconds=2.0), now=0.0)
    >>> progress.note(100)
    >>> progress.is_late(now=2.0), progress.is_late(now=4.0)
    (False, True)
"""

import typing


class ProgressBound(typing.NamedTuple):
    """The least progress of a transfer.

    Attributes:
        amount: Bytes that are to pass within each span of time.
        seconds: Length of that span.
    """

    amount: int
    seconds: float


class Progress:
    """Progress of one transfer while it has bytes to pass.

    Attributes:
        due_at: When the current span ends.
    """

    def __init__(self, bound: ProgressBound, now: float) -> None:
        self._bound = bound
        self.restart(now)

    def restart(self, now: float) -> None:
        """Begin a new span."""
        self._passed = 0
        self.due_at = now + self._bound.seconds

    def note(self, amount: int) -> None:
        """Count bytes that have passed."""
        self._passed += amount

    def is_late(self, now: float) -> bool:
        """Return whether the span has ended with too little progress."""
        if now < self.due_at:
            return False
        late = self._passed < self._bound.amount
        self.restart(now)
        return late
