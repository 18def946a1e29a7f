"""The timers of the dispatcher, in order of time.

Examples:
    >>> timers = Timers()
    >>> timers.add(2.0, WakeAgent(address="127.0.0.1:1"))
    >>> timers.add(1.0, Release(request_id="x"))
    >>> timers.next_due(), timers.pop_due(1.5)
    (1.0, [Release(request_id='x')])
"""

import heapq
import itertools
import typing


class WakeAgent(typing.NamedTuple):
    """The suspension of an agent has ended."""

    address: str


class AgeLoad(typing.NamedTuple):
    """The load report of an agent may have become stale."""

    address: str


class WakeRoom(typing.NamedTuple):
    """An organisation's queue at an agent may have room again."""

    address: str
    organisation: str


class Release(typing.NamedTuple):
    """The backoff of a request has ended."""

    request_id: str


Timer = WakeAgent | AgeLoad | WakeRoom | Release


class Timers:
    """A heap of timers, which cannot be cancelled."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._ids = itertools.count()

    def add(self, due: float, timer: Timer) -> None:
        """Add a timer."""
        heapq.heappush(self._heap, (due, next(self._ids), timer))

    def next_due(self) -> float | None:
        """Return the earliest time, ``None`` without timers."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> list[Timer]:
        """Remove and return the timers that are due, earliest first."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due
