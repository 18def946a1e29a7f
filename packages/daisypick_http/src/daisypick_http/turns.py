"""Divides the event loop's time between connections with much to parse.

64 KB of header lines or of chunks of one byte take ten thousand callbacks of
the parser. Connections that need so many would delay all others for as long as
there are such connections, so each gets a turn after the other, a few per
iteration of the event loop.
"""

import collections

import gevent
from gevent import event

_TURNS_PER_ITERATION = 4


class Turns:
    """A queue of greenlets that wait for their turn.

    Examples:
        >>> turns = Turns()
        >>> turns.wait()
        >>> len(turns)
        0
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[event.Event] = collections.deque()
        self._greenlet: gevent.Greenlet | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def wait(self) -> None:
        """Wait until those that came before have had their turns."""
        turn = event.Event()
        self._waiting.append(turn)
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._run)
        turn.wait()

    def _run(self) -> None:
        while self._waiting:
            # Lets the loop read from all other connections first.
            gevent.idle()
            for _ in range(min(_TURNS_PER_ITERATION, len(self._waiting))):
                self._waiting.popleft().set()
        self._greenlet = None
