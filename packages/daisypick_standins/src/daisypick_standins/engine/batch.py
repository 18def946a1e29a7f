"""Continuous batching as a cost model, without I/O or clocks.

The batch advances in steps; a request that arrives during a step joins the
next one. In a step each running generation whose prefill is complete emits
one token; the others share the step's prefill. Steps are longer the fuller
the batch is. Requests are admitted in order of arrival, without priorities.
More requests than the cold-start capacity make the engine fail.
"""

import collections
from collections.abc import Callable
import typing

from daisypick_standins.engine import cold_start as engine_cold_start
from daisypick_standins.engine import prefix_cache
from daisypick_standins.engine import settings as engine_settings
from daisypick_standins.engine import text

DONE = "done"
FAILED = "failed"
CANCELLED = "cancelled"


class Generation:
    """One request in the batch.

    Attributes:
        prompt: The whole prompt.
        tokens: The tokens of the answer.
        emitted: Tokens emitted so far.
        outcome: ``""`` until it ends, then ``DONE``, ``FAILED`` or
            ``CANCELLED``.
        cached_tokens: Prompt tokens that were cached.
    """

    def __init__(
        self,
        *,
        prompt: str,
        tokens: list[str],
        notify: Callable[["Generation"], None],
    ) -> None:
        self.prompt = prompt
        self.tokens = tokens
        self.emitted = 0
        self.outcome = ""
        self.cached_tokens = 0
        self.prefill_left = 0.0
        self._notify = notify

    def advance(self) -> None:
        """Emit one token."""
        self.emitted += 1
        if self.emitted == len(self.tokens):
            self.outcome = DONE
        self._notify(self)

    def end(self, outcome: str) -> None:
        """End before all tokens are emitted."""
        self.outcome = outcome
        self._notify(self)


class Load(typing.NamedTuple):
    """The content of the load report."""

    running: int
    waiting: int
    slots: int
    cached_tokens: int

    @property
    def open(self) -> int:
        """Number of requests that run or wait."""
        return self.running + self.waiting


class Batch:
    """All generations of one engine."""

    def __init__(
        self, *, settings: engine_settings.EngineSettings, now: float
    ) -> None:
        self._settings = settings
        self.cold_start = engine_cold_start.ColdStart(
            settings=settings, now=now
        )
        self.cache = prefix_cache.PrefixCache(
            capacity=settings.cache_tokens,
            lag=settings.event_lag,
            loss=settings.event_loss,
            seed=settings.seed,
        )
        self._running: list[Generation] = []
        self._waiting: collections.deque[Generation] = collections.deque()
        self._down_until = now
        self._seconds = 0.0
        self.runs_by_marker: collections.Counter[str] = collections.Counter()
        self.busy_slot_seconds = 0.0
        self.max_running = 0
        self.cancelled_count = 0
        self.overload_count = 0

    def load(self) -> Load:
        """Return the current load."""
        return Load(
            running=len(self._running),
            waiting=len(self._waiting),
            slots=self._settings.slots,
            cached_tokens=self.cache.used_tokens,
        )

    def is_up(self, now: float) -> bool:
        """Return whether the engine has restarted after its last crash."""
        return now >= self._down_until

    def submit(self, generation: Generation, now: float) -> bool:
        """Queue a request; ``False`` if beyond the cold-start capacity."""
        count = len(self._running) + len(self._waiting) + 1
        if self.cold_start.is_cold(now) and count > self.cold_start.capacity(
            now
        ):
            self.overload_count += 1
            if self._settings.cold_failure == engine_settings.CRASH:
                self.crash(now)
            return False
        self._waiting.append(generation)
        return True

    def cancel(self, generation: Generation) -> None:
        """Cancel a generation without a reader, unless it has ended."""
        if generation.outcome:
            return
        if generation in self._running:
            self._running.remove(generation)
        else:
            self._waiting.remove(generation)
        self.cancelled_count += 1
        generation.end(CANCELLED)

    def crash(self, now: float) -> None:
        """Fail all running and waiting generations and restart, cold."""
        failed = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        self.cold_start.restart(now)
        self.cache.clear(now)
        self._down_until = now + self._settings.restart_seconds
        for generation in failed:
            generation.end(FAILED)

    def begin_step(self, now: float) -> float:
        """Begin a step; return its length in seconds, 0 without work."""
        self._admit(now)
        if not self._running:
            return 0.0
        self._seconds = self._step_seconds(now)
        return self._seconds

    def end_step(self) -> None:
        """Apply the work of the step that was begun."""
        self.busy_slot_seconds += self._seconds * len(self._running)
        prefill = self._settings.prefill_rate * self._seconds
        for generation in list(self._running):
            if generation.prefill_left > 0:
                read = min(prefill, generation.prefill_left)
                generation.prefill_left -= read
                prefill -= read
            if generation.prefill_left <= 0:
                generation.advance()
                self.cold_start.serve(1)
        self._running = [g for g in self._running if not g.outcome]

    def _admit(self, now: float) -> None:
        while self._waiting and len(self._running) < self._settings.slots:
            generation = self._waiting.popleft()
            cached = self.cache.use(generation.prompt, now)
            prompt_tokens = text.count_tokens(generation.prompt)
            generation.cached_tokens = cached
            generation.prefill_left = float(prompt_tokens - cached)
            self._running.append(generation)
            self.runs_by_marker[text.find_marker(generation.prompt)] += 1
        self.max_running = max(self.max_running, len(self._running))

    def _step_seconds(self, now: float) -> float:
        fullness = len(self._running) / self._settings.slots
        slowdown = 1.0 + (self._settings.full_slowdown - 1.0) * fullness
        if self.cold_start.is_cold(now):
            slowdown *= self._settings.cold_slowdown
        return self._settings.token_interval * slowdown
