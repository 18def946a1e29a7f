"""Moves a silent try to another backend server once one accepts it.

A server that is silent may be sound and prefill a long prompt. It is read on
while the next place is acquired, as its answer would be lost if no other server
accepts the request. The next server gets the request only after the connection
to the silent one was closed, so that the two never run together.
"""

from collections.abc import Callable
import time
import typing

import gevent

from daisypick_core.scheduling import job
from daisypick_core.serving import backend_server
from daisypick_core.serving import fleet_configuration

# Interval in seconds at which a silent server's connection is read while the
# next place is acquired; it delays the move by half of it on average.
_POLL_SECONDS = 0.02


class Place(typing.NamedTuple):
    """A place for a request at a backend server.

    Attributes:
        work: The request as it was scheduled.
        service: Its service with the version of the server.
        server: The server.
        source: Server that has more of the prompt in its KV cache.
        prefill_seconds: Seconds predicted for its prefill and that of requests
            ahead of it.
        decided_at: When the server was chosen.
    """

    work: job.Job
    service: fleet_configuration.Service
    server: backend_server.BackendServer
    source: backend_server.BackendServer | None
    prefill_seconds: float
    decided_at: float


class Takeover:
    """Acquires the next place of one request while its server is silent.

    Args:
        deadline: When the request's caller or route times out.
        may_move: Whether the request may be sent to one more server, given the
            number of servers that have received it.
        acquire: Waits for a place; returns ``None`` if no server accepts the
            request.
        confirm: Counts the retry; returns whether it is still allowed.
        release: Gives an unused place back.
    """

    def __init__(
        self,
        *,
        deadline: float,
        may_move: Callable[[int], bool],
        acquire: Callable[[], Place | None],
        confirm: Callable[[], bool],
        release: Callable[[Place], None],
    ) -> None:
        self._deadline = deadline
        self._may_move = may_move
        self._acquire = acquire
        self._confirm = confirm
        self._release = release
        self._timeout = 0.0
        self._servers_reached = 0
        self._acquiring: gevent.Greenlet | None = None
        self._place: Place | None = None

    def watch(self, timeout: float, *, servers_reached: int) -> float:
        """Return until when to wait for the server's next bytes.

        Args:
            timeout: Seconds of silence after which a place is acquired.
            servers_reached: Servers that received the request, including the
                current one.
        """
        self.cancel()
        self._timeout = timeout
        self._servers_reached = servers_reached
        return self._find_end(timeout)

    def extend(self) -> float | None:
        """Return until when to go on waiting for a server that was silent.

        ``None`` at the deadline, and once another server accepts the request.
        """
        if time.monotonic() >= self._deadline:
            return None
        if self._acquiring is None:
            if not self._may_move(self._servers_reached):
                return self._find_end(self._timeout)
            self._acquiring = gevent.spawn(self._acquire)
        if not self._acquiring.ready():
            return self._find_end(_POLL_SECONDS)
        place = self._take_acquired()
        if place is None:
            return self._find_end(self._timeout)
        if not self._may_move(self._servers_reached) or not self._confirm():
            self._release(place)
            return self._find_end(self._timeout)
        self._place = place
        return None

    def _find_end(self, seconds: float) -> float:
        return min(time.monotonic() + seconds, self._deadline)

    def _take_acquired(self) -> Place | None:
        acquiring, self._acquiring = self._acquiring, None
        if acquiring is None or not isinstance(acquiring.value, Place):
            return None
        return acquiring.value

    def take(self) -> Place | None:
        """Return the place that ended the waiting, if one did.

        The request has to be sent there, or the place to be released.
        """
        place, self._place = self._place, None
        self.cancel()
        return place

    def cancel(self) -> None:
        """Stop acquiring and release what was acquired."""
        if self._acquiring is not None:
            # Waits for its end: the next place may be acquired under the same
            # key.
            self._acquiring.kill()
        for place in (self._take_acquired(), self._place):
            if place is not None:
                self._release(place)
        self._place = None
