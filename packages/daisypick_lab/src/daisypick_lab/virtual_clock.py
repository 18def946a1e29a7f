"""A virtual clock and a simulated network with delays and partitions.

Examples:
    >>> clock = VirtualClock()
    >>> network = Network(clock=clock, delay=0.5)
    >>> received = []
    >>> network.send("a", "b", received.append, "late")
    >>> network.disconnect("b"); network.send("a", "b", received.append, "held")
    >>> clock.run(1.0); received
    ['late']
    >>> network.reconnect("b"); clock.run(2.0); received, clock.now
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
        self, delay: float, callback: Callable, *arguments: typing.Any
    ) -> None:
        """Schedule a callback after a delay in seconds."""
        entry = (self.now + delay, next(self._ids), callback, arguments)
        heapq.heappush(self._heap, entry)

    def every(self, period: float, callback: Callable[[], None]) -> None:
        """Schedule a callback periodically."""

        def _run_periodically() -> None:
            callback()
            self.after(period, _run_periodically)

        self.after(period, _run_periodically)

    def run(self, until: float) -> None:
        """Advance the time, running the callbacks that are due."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._heap)
            callback(*arguments)
        self.now = until


class Network:
    """Delivers messages after a delay.

    Messages of a disconnected endpoint are delivered when it is reconnected.
    """

    def __init__(self, *, clock: VirtualClock, delay: float) -> None:
        self._clock = clock
        self._delay = delay
        self._queued_by_endpoint: dict[str, list[tuple[Callable, tuple]]] = {}

    def send(
        self,
        source: str,
        target: str,
        callback: Callable,
        *arguments: typing.Any,
    ) -> None:
        """Deliver a message by calling ``callback`` at the target."""
        for endpoint in (source, target):
            if endpoint in self._queued_by_endpoint:
                self._queued_by_endpoint[endpoint].append((callback, arguments))
                return
        self._clock.after(self._delay, callback, *arguments)

    def disconnect(self, endpoint: str) -> None:
        """Queue all messages to and from an endpoint."""
        self._queued_by_endpoint.setdefault(endpoint, [])

    def reconnect(self, endpoint: str) -> None:
        """Deliver the queued messages of an endpoint in order."""
        for callback, arguments in self._queued_by_endpoint.pop(endpoint, ()):
            self._clock.after(self._delay, callback, *arguments)
