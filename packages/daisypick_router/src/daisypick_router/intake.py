"""Starts new requests in small batches, round-robin over API keys.

The event loop has one run queue, shared by new requests and by messages of
scheduler hosts and engines that running requests wait for. In a load spike,
hundreds of new requests would be queued ahead of each such message. A request
passes the run queue about four times, so first events would be seconds late
for every caller of the VM. New requests are therefore queued here, which keeps
the run queue short. Round-robin order makes a load spike of one organisation
delay only its own requests.
"""

import collections
import time
import typing

import gevent
from gevent import event

from daisypick_http import messages
from daisypick_platform import request_headers
from daisypick_router import loops

# Requests started before the loop runs everything else that is ready. Their
# first steps take a few milliseconds on a small VM.
_MAX_STARTS_PER_TURN = 8


class _QueuedRequest(typing.NamedTuple):
    """A request that has not been started.

    Attributes:
        handler: Greenlet to start.
        queued_at: When the request was queued.
    """

    handler: gevent.Greenlet
    queued_at: float


class Intake:
    """Queues requests that were read but not started, by API key."""

    def __init__(self) -> None:
        # In round-robin order.
        self._queue_by_key: collections.OrderedDict[
            bytes, collections.deque[_QueuedRequest]
        ] = collections.OrderedDict()
        self._started_count = 0
        self._has_started = event.Event()

    def start(self) -> None:
        """Start the greenlet that starts queued requests."""
        loops.spawn(self._run)

    def add(self, handler: gevent.Greenlet, request: messages.Request) -> None:
        """Start a request's handler now, or queue it."""
        if (
            not self._queue_by_key
            and self._started_count < _MAX_STARTS_PER_TURN
        ):
            self._start_handler(handler)
            return
        api_key = request_headers.find_api_key(request.headers)
        queue = self._queue_by_key.setdefault(api_key, collections.deque())
        queue.append(
            _QueuedRequest(handler=handler, queued_at=time.monotonic())
        )

    def find_wait(self, now: float) -> float:
        """Return the age of the oldest queued request in seconds."""
        oldest = min(
            (queue[0].queued_at for queue in self._queue_by_key.values()),
            default=now,
        )
        return now - oldest

    def _start_handler(self, handler: gevent.Greenlet) -> None:
        self._started_count += 1
        handler.start()
        self._has_started.set()

    def _run(self) -> None:
        while True:
            if not self._queue_by_key:
                self._has_started.wait()
            self._has_started.clear()
            # Let everything that is ready run first, including the requests
            # started just now.
            gevent.sleep(0)
            self._started_count = 0
            while (
                self._queue_by_key
                and self._started_count < _MAX_STARTS_PER_TURN
            ):
                self._start_next()

    def _start_next(self) -> None:
        api_key, queue = self._queue_by_key.popitem(last=False)
        handler = queue.popleft().handler
        if queue:
            self._queue_by_key[api_key] = queue
        # The handler was killed if its caller disconnected meanwhile.
        if not handler.dead:
            self._start_handler(handler)
