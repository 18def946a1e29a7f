"""The calls that the benchmark makes."""

import itertools

import gevent
from gevent import pool as gevent_pool

from daisypick_lab import callers
from daisypick_lab.bench import processes
from daisypick_node.http import client

_TIMEOUT = 60.0
_OPEN_SECONDS = 0.004
_names = (f"bench.{n}" for n in itertools.count())


class InvalidResponseError(Exception):
    """A response was incomplete, of another request, or a refusal."""


class BenchClient:
    """Calls a router or an engine at one address."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._pool = client.ClientPool(timeout=_TIMEOUT)
        self._caller = callers.Caller(key=processes.CALLER_KEY, pool=self._pool)

    def call(self, *, tokens: int, is_stream: bool) -> callers.CallResult:
        """Make one call and check its response.

        Raises:
            FaultyAnswerError: The response is not as expected; its cost
                differs from that of a complete response, so the measurement
                fails.
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
            raise InvalidResponseError(answered.reason)
        return answered

    def call_many(
        self, *, count: int, concurrency: int, tokens: int, is_stream: bool
    ) -> None:
        """Make calls with limited concurrency and wait for all of them."""
        workers = gevent_pool.Pool(concurrency)
        greenlets = [
            workers.spawn(self.call, tokens=tokens, is_stream=is_stream)
            for _ in range(count)
        ]
        gevent.joinall(greenlets, raise_error=True)

    def open_streams(self, *, count: int, tokens: int) -> list[gevent.Greenlet]:
        """Open streams with a short delay between them; don't wait for them.

        Hundreds of simultaneous connections overflow the backlog of the
        listening socket; the kernel drops them and they connect a second
        late.
        """
        streams = []
        for _ in range(count):
            streams.append(
                gevent.spawn(self.call, tokens=tokens, is_stream=True)
            )
            gevent.sleep(_OPEN_SECONDS)
        return streams

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
