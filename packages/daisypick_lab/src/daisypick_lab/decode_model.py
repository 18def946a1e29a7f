"""A model engine that decodes in steps and prefills chunks between them.

In a step each running answer advances by one token. A step takes a base time
and a time for each running answer; while prompts wait, it also prefills one
chunk of the oldest of them. So an engine that prefills without a pause makes
tokens at a fraction of its speed.
"""

import collections
from collections.abc import Callable
import typing

from daisypick_lab import virtual_clock


class EngineTimes(typing.NamedTuple):
    """Times of an engine.

    Attributes:
        step: Seconds of a step without any answer.
        answer: Seconds that each running answer adds to a step.
        token: Seconds of prefill per prompt token.
        chunk: Most prompt tokens that one step prefills.
        event_tokens: Tokens of one event of an answer.
    """

    step: float = 0.0029
    answer: float = 0.0001
    token: float = 1.0 / 55_000.0
    chunk: int = 2048
    event_tokens: int = 9


class _Run:
    """One request at the engine."""

    def __init__(
        self,
        *,
        prompt_tokens: int,
        output_tokens: int,
        on_first: Callable[[], None],
        on_end: Callable[[float], None],
    ) -> None:
        self.prefill_left = prompt_tokens
        self.event_at: float | None = None
        self.event_tokens = 0
        self.longest_pause = 0.0
        self.tokens_left = output_tokens
        self.on_first = on_first
        self.on_end = on_end


class ModelEngine:
    """Runs requests on a virtual clock, in the order of their arrival."""

    def __init__(
        self, *, clock: virtual_clock.VirtualClock, times: EngineTimes
    ) -> None:
        self._clock = clock
        self._times = times
        self._waiting: collections.deque[str] = collections.deque()
        self._run_by_key: dict[str, _Run] = {}
        self._decoding: dict[str, _Run] = {}
        self._is_stepping = False

    def start(
        self,
        key: str,
        *,
        prompt_tokens: int,
        output_tokens: int,
        on_first: Callable[[], None],
        on_end: Callable[[float], None],
    ) -> None:
        """Run a request; call back at its first token and at its end.

        ``on_end`` gets the longest pause between two events, in seconds.
        """
        self._run_by_key[key] = _Run(
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            on_first=on_first,
            on_end=on_end,
        )
        self._waiting.append(key)
        if not self._is_stepping:
            self._is_stepping = True
            self._begin_step()

    def cancel(self, key: str) -> None:
        """End a request whose caller has disconnected."""
        if self._run_by_key.pop(key, None) is not None:
            self._decoding.pop(key, None)

    def _begin_step(self) -> None:
        while self._waiting and self._waiting[0] not in self._run_by_key:
            self._waiting.popleft()
        seconds = self._times.step + self._times.answer * len(self._decoding)
        tokens = 0
        if self._waiting:
            oldest = self._run_by_key[self._waiting[0]]
            tokens = min(oldest.prefill_left, self._times.chunk)
            seconds += tokens * self._times.token
        self._clock.after(seconds, self._end_step, tokens)

    def _end_step(self, tokens: int) -> None:
        for key, run in list(self._decoding.items()):
            self._advance(key, run)
        if self._waiting:
            self._prefill(self._waiting[0], tokens)
        if self._run_by_key:
            self._begin_step()
        else:
            self._waiting.clear()
            self._is_stepping = False

    def _prefill(self, key: str, tokens: int) -> None:
        run = self._run_by_key.get(key)
        if run is None:
            return
        run.prefill_left -= tokens
        if run.prefill_left <= 0:
            self._waiting.popleft()
            self._decoding[key] = run
            run.event_at = self._clock.now
            run.on_first()
            self._advance(key, run)

    def _advance(self, key: str, run: _Run) -> None:
        run.tokens_left -= 1
        run.event_tokens += 1
        if run.event_tokens >= self._times.event_tokens or not run.tokens_left:
            pause = self._clock.now - run.event_at
            run.longest_pause = max(run.longest_pause, pause)
            run.event_at = self._clock.now
            run.event_tokens = 0
        if run.tokens_left <= 0:
            del self._decoding[key]
            del self._run_by_key[key]
            run.on_end(run.longest_pause)
