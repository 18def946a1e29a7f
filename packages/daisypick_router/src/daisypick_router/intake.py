"""Lets callers' requests begin a few at a time, the organisations in turn.

Whatever is ready to run waits in one queue of the loop: new requests, and
the words of hosts and engines for which older ones wait. Under a flood
hundreds of new requests stand before each such word, a request passes that
queue some four times, and first events come seconds late for every caller of
the VM. Here new requests wait apart, so that the queue stays short; and a
flood waits for itself, since organisations begin in turn.
"""

import collections
import time
import typing

import gevent
from gevent import event

from daisypick_http import messages
from daisypick_platform import request_headers

# Requests that begin before everything else that is ready has its turn; what
# they do at once takes some milliseconds on a small VM.
_MOST_AT_ONCE = 8


class _Waiting(typing.NamedTuple):
    """A request that has not begun.

    Attributes:
        handler: Greenlet to start.
        since: When it came.
    """

    handler: gevent.Greenlet
    since: float


class Intake:
    """Requests that were read and have not begun, by their callers' keys."""

    def __init__(self) -> None:
        # In the order of their turns.
        self._waiting_by_key: collections.OrderedDict[
            bytes, collections.deque[_Waiting]
        ] = collections.OrderedDict()
        self._begun = 0
        self._has_begun = event.Event()

    def start(self) -> None:
        """Begin to let requests begin."""
        gevent.spawn(self._run)

    def add(self, handler: gevent.Greenlet, request: messages.Request) -> None:
        """Start a request's handler when it is its turn."""
        if not self._waiting_by_key and self._begun < _MOST_AT_ONCE:
            self._begin(handler)
            return
        key = request_headers.find_key(request.headers)
        waiting = self._waiting_by_key.setdefault(key, collections.deque())
        waiting.append(_Waiting(handler=handler, since=time.monotonic()))

    def find_wait(self, now: float) -> float:
        """Return for how many seconds the longest waiting one has waited."""
        oldest = min(
            (waiting[0].since for waiting in self._waiting_by_key.values()),
            default=now,
        )
        return now - oldest

    def _begin(self, handler: gevent.Greenlet) -> None:
        self._begun += 1
        handler.start()
        self._has_begun.set()

    def _run(self) -> None:
        while True:
            self._has_begun.wait()
            self._has_begun.clear()
            # All that is ready goes first, what has just begun among it.
            gevent.sleep(0)
            self._begun = 0
            while self._waiting_by_key and self._begun < _MOST_AT_ONCE:
                self._begin_next()

    def _begin_next(self) -> None:
        key, waiting = self._waiting_by_key.popitem(last=False)
        handler = waiting.popleft().handler
        if waiting:
            self._waiting_by_key[key] = waiting
        # One whose caller has left was ended before it began.
        if not handler.dead:
            self._begin(handler)
