"""A virtual clock and a simulated network with delays and partitions.

Examples:
    >>> clock = VirtualClock()
    >>> network = Network(clock=clock, delay=0.5)
    >>> heard = []
    >>> network.send("a", "b", heard.append, "late")
    >>> network.cut("b"); network.send("a", "b", heard.append, "held")
    >>> clock.run(1.0); heard
    ['late']
    >>> network.heal("b"); clock.run(2.0); heard, clock.now
    (['late', 'held'], 2.0)
"""

from collections.abc import Callable
import heapq
import itertools
import typing


class VirtualClock:
    """Runs callbacks in order of their scheduled times.

    Attributes:
        now: Seconds since the start.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._ids = itertools.count()

    def after(
        self, delay: float, act: Callable, *arguments: typing.Any
    ) -> None:
        """Schedule a callback after a delay in seconds."""
        entry = (self.now + delay, next(self._ids), act, arguments)
        heapq.heappush(self._heap, entry)

    def every(self, period: float, act: Callable[[], None]) -> None:
        """Schedule a callback periodically."""

        def _again() -> None:
            act()
            self.after(period, _again)

        self.after(period, _again)

    def run(self, until: float) -> None:
        """Advance the time, running the callbacks that are due."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act, arguments = heapq.heappop(self._heap)
            act(*arguments)
        self.now = until


class Network:
    """Delivers messages after a delay.

    Messages of a disconnected endpoint are delivered when it is reconnected.
    """

    def __init__(self, *, clock: VirtualClock, delay: float) -> None:
        self._clock = clock
        self._delay = delay
        self._held_by_end: dict[str, list[tuple[Callable, tuple]]] = {}

    def send(
        self, source: str, target: str, act: Callable, *arguments: typing.Any
    ) -> None:
        """Deliver a message by calling ``act`` at the target."""
        for end in (source, target):
            if end in self._held_by_end:
                self._held_by_end[end].append((act, arguments))
                return
        self._clock.after(self._delay, act, *arguments)

    def cut(self, end: str) -> None:
        """Queue all messages to and from an endpoint."""
        self._held_by_end.setdefault(end, [])

    def heal(self, end: str) -> None:
        """Deliver the queued messages in order; end the cut."""
        for act, arguments in self._held_by_end.pop(end, ()):
            self._clock.after(self._delay, act, *arguments)
