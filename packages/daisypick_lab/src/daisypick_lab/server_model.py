"""A backend server reduced to times: first token, tokens, cold start.

A cold server is slow and bears a few requests; one more and it falls over:
everything that runs on it fails, and it is cold anew.
"""

import collections
from collections.abc import Callable
import typing

from daisypick_lab import virtual_clock


class ServerTimes(typing.NamedTuple):
    """Times of a server.

    Attributes:
        miss: Seconds to first token without a cached prefix.
        hit: Seconds to first token with one.
        token: Seconds between tokens.
        cold_factor: How much slower a cold server is.
        cold_seconds: How long it stays cold.
        cold_bears: Requests that it bears at once while cold.
        prefixes: Prefixes that fit into its cache.
    """

    miss: float = 0.25
    hit: float = 0.05
    token: float = 0.02
    cold_factor: float = 8.0
    cold_seconds: float = 5.0
    cold_bears: int = 1
    prefixes: int = 16


class Outcome(typing.NamedTuple):
    """How a run ended."""

    tokens: int
    is_healthy: bool


class ServerModel:
    """Runs requests in virtual time.

    Attributes:
        factor: How slow the server is, 1 for a good one.
        hits: Runs that found their prefix cached.
        misses: Runs that did not.
        falls: Times it fell over.
    """

    def __init__(
        self, *, clock: virtual_clock.VirtualClock, times: ServerTimes
    ) -> None:
        self.factor = 1.0
        self.hits = 0
        self.misses = 0
        self.falls = 0
        self._clock = clock
        self._times = times
        self._cold_until = 0.0
        self._end_by_run: dict[str, Callable[[Outcome], None]] = {}
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def is_cold(self) -> bool:
        """Whether it is in its cold start."""
        return self._clock.now < self._cold_until

    def turn_cold(self) -> None:
        """Begin a cold start without telling anybody."""
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
        """Run a request; the callbacks tell its first token and its end."""
        self._end_by_run[run_id] = on_end
        if self.is_cold and len(self._end_by_run) > self._times.cold_bears:
            self._fall_over()
            return
        slowness = self.factor
        slowness *= self._times.cold_factor if self.is_cold else 1.0
        first = slowness * self._read(prefix)
        total = first + slowness * tokens * self._times.token
        self._clock.after(first, self._tell, run_id, on_token)
        self._clock.after(total, self._end, run_id, Outcome(tokens, True))

    def _read(self, prefix: str) -> float:
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            self.hits += 1
            return self._times.hit
        self.misses += 1
        self._prefixes[prefix] = None
        if len(self._prefixes) > self._times.prefixes:
            self._prefixes.popitem(last=False)
        return self._times.miss

    def _tell(self, run_id: str, on_token: Callable[[], None]) -> None:
        if run_id in self._end_by_run:
            on_token()

    def _end(self, run_id: str, outcome: Outcome) -> None:
        on_end = self._end_by_run.pop(run_id, None)
        if on_end is not None:
            on_end(outcome)

    def _fall_over(self) -> None:
        self.falls += 1
        self.turn_cold()
        for run_id in list(self._end_by_run):
            self._clock.after(
                0.0, self._end, run_id, Outcome(tokens=0, is_healthy=False)
            )
