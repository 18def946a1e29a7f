"""The calls that the bench makes."""

import itertools

import gevent
from gevent import pool as gevent_pool

from daisypick_lab import callers
from daisypick_lab.bench import processes
from daisypick_node.http import client

_TIMEOUT = 60.0
_OPEN_SECONDS = 0.004
_names = (f"bench.{n}" for n in itertools.count())


class FaultyAnswerError(Exception):
    """An answer was not whole, not its own, or a refusal."""


class Work:
    """Calls one address, be it a router or an engine."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._pool = client.ClientPool(timeout=_TIMEOUT)
        self._caller = callers.Caller(key=processes.CALLER_KEY, pool=self._pool)

    def call(self, *, tokens: int, is_stream: bool) -> callers.Answered:
        """Make one call and check its answer.

        Raises:
            FaultyAnswerError: The answer is not good; a bench that counted
                it would measure something else.
        """
        call = callers.ChatCall(
            service=processes.SERVICE,
            marker=next(_names),
            prompt="When are you open?",
            tokens=tokens,
            max_tokens=tokens,
            is_stream=is_stream,
        )
        answered = self._caller.chat(self._address, call, lambda count: None)
        if answered.outcome != callers.WHOLE:
            raise FaultyAnswerError(answered.reason)
        return answered

    def call_many(
        self, *, count: int, at_once: int, tokens: int, is_stream: bool
    ) -> None:
        """Make calls, so many at once."""
        workers = gevent_pool.Pool(at_once)
        greenlets = [
            workers.spawn(self.call, tokens=tokens, is_stream=is_stream)
            for _ in range(count)
        ]
        gevent.joinall(greenlets, raise_error=True)

    def open_streams(self, *, count: int, tokens: int) -> list[gevent.Greenlet]:
        """Begin streams that go on, spread over some time.

        Hundreds of connections in one moment overflow the listening
        socket's backlog; the kernel drops them and they come a second late.
        """
        streams = []
        for _ in range(count):
            streams.append(
                gevent.spawn(self.call, tokens=tokens, is_stream=True)
            )
            gevent.sleep(_OPEN_SECONDS)
        return streams

    def close(self) -> None:
        """Drop idle connections."""
        self._pool.close()
