"""Finds out whether a backend server ended when a connection to it broke.

A connection also breaks for reasons that leave the server running. If the
process has ended, its host refuses new connections until the next one listens,
seconds later. A host that does not respond at all has failed as a whole or is
unreachable, which no request causes.
"""

import time

import gevent
from gevent import event

from daisypick_core.serving import backend_server
from daisypick_http import connection as connections
from daisypick_http import pool as pools

# How long an ended server is remembered. A router whose loop lags handles the
# connections that broke together one after the other.
_REMEMBERED_SECONDS = 10.0


class CrashProbe:
    """Probes servers, one connection for all requests that broke together."""

    def __init__(self, *, pool: pools.Pool) -> None:
        self._pool = pool
        self._ended_at: dict[tuple[str, int], float] = {}
        self._result_by_server: dict[tuple[str, int], event.AsyncResult] = {}

    def has_ended(
        self, server: backend_server.BackendServer, *, sent_at: float
    ) -> bool:
        """Return whether a server to which a connection broke has ended.

        Args:
            server: The server.
            sent_at: When the request on that connection was sent. One that was
                sent after the end that is remembered reached the process that
                listens there since, which the entry may not name yet.
        """
        key = (server.name, server.born)
        self._forget(time.monotonic())
        if sent_at < self._ended_at.get(key, sent_at):
            return True
        result = self._result_by_server.get(key)
        if result is None:
            result = event.AsyncResult()
            self._result_by_server[key] = result
            gevent.spawn(self._probe, server, result)
        return result.get()

    def is_up(
        self, server: backend_server.BackendServer, *, sent_at: float
    ) -> bool:
        """Return whether a server is shown to run, by a connection of now.

        The answer of a probe that is under way may be older than the end of
        the connection that is asked about, so it is not shared.

        Args:
            server: The server.
            sent_at: When the request on that connection was sent.
        """
        key = (server.name, server.born)
        self._forget(time.monotonic())
        if sent_at < self._ended_at.get(key, sent_at):
            return False
        try:
            return self._pool.is_listening(server.address)
        except connections.RefusedError:
            self._note_ended(key)
            return False

    def _note_ended(self, key: tuple[str, int]) -> None:
        self._ended_at.pop(key, None)
        self._ended_at[key] = time.monotonic()

    def _probe(
        self, server: backend_server.BackendServer, result: event.AsyncResult
    ) -> None:
        key = (server.name, server.born)
        ended = False
        try:
            ended = self._pool.is_refused(server.address)
            if ended:
                self._note_ended(key)
        finally:
            # Requests wait for the result, whatever has become of the probe.
            del self._result_by_server[key]
            result.set(ended)

    def _forget(self, now: float) -> None:
        for key, ended_at in list(self._ended_at.items()):
            if now - ended_at < _REMEMBERED_SECONDS:
                return
            del self._ended_at[key]
