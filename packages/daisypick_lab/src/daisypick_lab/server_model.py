"""A timing model of a backend server: first token, tokens, cold start.

A cold server is slow and can handle only a few concurrent requests. One more
makes it crash: all its running requests fail and its cold start begins again.
"""

import collections
from collections.abc import Callable
import typing

from daisypick_lab import virtual_clock


class ServerTimes(typing.NamedTuple):
    """Times of a server.

    Attributes:
        miss: Seconds to first token without a cached prefix.
        hit: Seconds to first token with a cached prefix.
        token: Seconds between tokens.
        cold_factor: Slowdown factor of a cold server.
        cold_seconds: Duration of a cold start.
        cold_concurrency: Concurrent requests that a cold server can handle.
        prefixes: Number of prefixes that the cache holds.
    """

    miss: float = 0.25
    hit: float = 0.05
    token: float = 0.02
    cold_factor: float = 8.0
    cold_seconds: float = 5.0
    cold_concurrency: int = 1
    prefixes: int = 16


class Outcome(typing.NamedTuple):
    """The outcome of a run."""

    tokens: int
    is_healthy: bool


class ServerModel:
    """Runs requests in virtual time.

    Attributes:
        slowdown: Slowdown factor of the server, 1 for a healthy one.
        hits: Number of runs whose prefix was cached.
        misses: Number of runs whose prefix was not cached.
        crashes: Number of crashes.
    """

    def __init__(
        self, *, clock: virtual_clock.VirtualClock, times: ServerTimes
    ) -> None:
        self.slowdown = 1.0
        self.hits = 0
        self.misses = 0
        self.crashes = 0
        self._clock = clock
        self._times = times
        self._cold_until = 0.0
        self._end_by_run: dict[str, Callable[[Outcome], None]] = {}
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def is_cold(self) -> bool:
        """Whether the server is in a cold start."""
        return self._clock.now < self._cold_until

    def turn_cold(self) -> None:
        """Begin a cold start without notifying anyone."""
        self._cold_until = self._clock.now + self._times.cold_seconds
        self._prefixes.clear()

    def start(
        self,
        run_id: str,
        tokens: int,
        prefix: str,
        on_token: Callable[[], None],
        on_end: Callable[[Outcome], None],
    ) -> None:
        """Run a request; call back at its first token and at its end."""
        self._end_by_run[run_id] = on_end
        if (
            self.is_cold
            and len(self._end_by_run) > self._times.cold_concurrency
        ):
            self._crash()
            return
        slowdown = self.slowdown
        slowdown *= self._times.cold_factor if self.is_cold else 1.0
        first = slowdown * self._prefill_seconds(prefix)
        total = first + slowdown * tokens * self._times.token
        self._clock.after(first, self._notify_first_token, run_id, on_token)
        self._clock.after(total, self._end, run_id, Outcome(tokens, True))

    def _prefill_seconds(self, prefix: str) -> float:
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            self.hits += 1
            return self._times.hit
        self.misses += 1
        self._prefixes[prefix] = None
        if len(self._prefixes) > self._times.prefixes:
            self._prefixes.popitem(last=False)
        return self._times.miss

    def _notify_first_token(
        self, run_id: str, on_token: Callable[[], None]
    ) -> None:
        if run_id in self._end_by_run:
            on_token()

    def _end(self, run_id: str, outcome: Outcome) -> None:
        on_end = self._end_by_run.pop(run_id, None)
        if on_end is not None:
            on_end(outcome)

    def _crash(self) -> None:
        self.crashes += 1
        self.turn_cold()
        for run_id in list(self._end_by_run):
            self._clock.after(
                0.0, self._end, run_id, Outcome(tokens=0, is_healthy=False)
            )
