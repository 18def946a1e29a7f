"""Estimated load, memory and speed of a model engine.

An engine prefills prompts one after the other, in chunks between the decode
steps of running requests, so the first token of a new request waits for the
prefill of all prompt tokens ahead of it. The estimate is made from the
requests sent to the engine and from their first tokens and ends; the engine's
own reports are older than these.
"""

import itertools
import math

from daisypick_core.scheduling import decode_load
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefill_credit
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import prefix_cache

# Share of the KV cache that is given to running requests. Outputs are longer
# than expected about half of the time, and an engine that runs out of memory
# preempts a running request and prefills it again from the start.
_MEMORY_SHARE = 0.9

# A router reports an end within a few milliseconds; an end that is not
# reported this long after the caller's deadline never will be.
_OVERDUE_SECONDS = 1.0


class _Run:
    """A request at the engine.

    Attributes:
        job: The request.
        own_tokens: Prompt tokens of its own to prefill.
        total_tokens: The same plus those ahead of it; ``None`` if these are
            not known.
        started_at: When it was sent.
        first_at: When its first token is expected.
        was_idle: Whether all earlier requests had their first token.
    """

    __slots__ = (
        "first_at",
        "job",
        "started_at",
        "total_tokens",
        "own_tokens",
        "was_idle",
    )

    def __init__(
        self,
        *,
        work: job.Job,
        own_tokens: int,
        total_tokens: float | None,
        started_at: float,
        first_at: float,
        was_idle: bool,
    ) -> None:
        self.job = work
        self.own_tokens = own_tokens
        self.total_tokens = total_tokens
        self.started_at = started_at
        self.first_at = first_at
        self.was_idle = was_idle


class EngineEstimate:
    """Requests, memory and speed of one engine.

    Prompts are prefilled in the order of their starts. A first token implies
    that its prefill ended a base time earlier, and so how far the next
    prefill has come. While the first token of the oldest prompt is overdue
    the backlog does not shrink, so an engine that has stopped gets no more.

    Attributes:
        cache: Its prefix cache.
        decode: Progress of its answers.
        prefill_credit: Prefill that it may start beside its decoding.
    """

    def __init__(
        self,
        *,
        slots: int,
        kv_tokens: int,
        speed: prefill_speed.EngineSpeed,
    ) -> None:
        self.slots = slots
        self.kv_tokens = kv_tokens
        self.speed = speed
        self.cache = prefix_cache.PrefixCache(capacity=kv_tokens)
        self.decode = decode_load.DecodeLoad(speed=speed.decode)
        self.prefill_credit = prefill_credit.PrefillCredit()
        # Seconds of prefill that were started so far; those since the last
        # break, and when the last prompt of them was prefilled.
        self._prefill_started = 0.0
        self._stretch = 0.0
        self._stretch_until = -math.inf
        self._run_by_key: dict[str, _Run] = {}
        # Requests without a first token in the order of their start, and the
        # sum of their prefill tokens. The sum is kept up to date because a
        # host needs it for every engine at every start; computed anew over
        # all requests of all engines, it kept a small VM from responding in
        # time.
        self._prefilling_by_key: dict[str, _Run] = {}
        self._prefill_tokens = 0
        # Prefill backlog in tokens at an earlier time.
        self._backlog = 0.0
        self._backlog_at = 0.0

    @property
    def running(self) -> int:
        """Number of requests at the engine."""
        return len(self._run_by_key)

    def __contains__(self, key: str) -> bool:
        """Return whether a request is at the engine."""
        return key in self._run_by_key

    def has_isolated(self) -> bool:
        """Return whether an isolated request is at the engine."""
        return any(run.job.isolated for run in self._run_by_key.values())

    def has_slot(self, share: float) -> bool:
        """Return whether a share of the slots has one free."""
        return self.running < max(self.slots * share, 1.0)

    def prefill_backlog(self, now: float) -> float:
        """Return the prompt tokens that still wait for their prefill."""
        if not self._prefilling_by_key:
            return 0.0
        head = next(iter(self._prefilling_by_key.values()))
        elapsed = max(min(now, head.first_at) - self._backlog_at, 0.0)
        return max(self._backlog - elapsed / self.speed.token_seconds, 0.0)

    def prefill_wait(self, now: float) -> float:
        """Return the seconds of prefill that are ahead of a new request."""
        return self.prefill_backlog(now) * self.speed.token_seconds

    def prefilled_seconds(self, now: float) -> float:
        """Return the seconds of prefill that the engine has done so far."""
        return self._prefill_started - self.prefill_wait(now)

    def prefill_stretch(self, now: float) -> float:
        """Return the seconds of prefill, done or ahead, since the last break.

        A break is long enough for running answers to advance by an event.
        """
        until = now
        if not self._prefilling_by_key:
            until = min(now, self._stretch_until)
        if now - until >= self.decode.speed.predict(self.running):
            return 0.0
        return self._stretch

    def update_headroom(self, now: float) -> decode_load.Headroom:
        """Return the prefill that the running answers leave room for.

        What has accrued of it is added to ``prefill_credit``.
        """
        backlog = self.prefill_wait(now)
        room = self.decode.find_headroom(
            now,
            running=self.running,
            prefilled=self._prefill_started - backlog,
            backlog=backlog,
        )
        self.prefill_credit.update(now, headroom=room.share)
        return room

    def note_pace(
        self,
        key: str,
        *,
        events: int,
        seconds: float,
        longest: float,
        now: float,
    ) -> None:
        """Learn from the events of an answer that has just ended.

        Args:
            key: The request.
            events: Its events after the first.
            seconds: Time from the first to the last of them.
            longest: The longest time between two of them.
            now: The time.
        """
        self.decode.note_running(self.running, now)
        self.decode.note_pace(
            key,
            events=events,
            seconds=seconds,
            longest=longest,
            prefilled=self.prefilled_seconds(now),
        )

    def has_memory(self, work: job.Job, share: float = 1.0) -> bool:
        """Return whether a request's tokens fit beside the running ones."""
        wanted = self.cache.count_unpinned(work.parts) + work.output_tokens
        room = self.kv_tokens * _MEMORY_SHARE * share - self.cache.pinned
        return wanted <= room or not self._run_by_key

    def start(
        self,
        work: job.Job,
        now: float,
        *,
        ahead: float | None,
        saved: float = 0.0,
    ) -> None:
        """Record that a request is sent to the engine.

        Args:
            work: The request.
            now: The time.
            ahead: Prompt tokens that the engine prefills before; ``None`` if
                the request was sent some time ago, so that its first token
                gives no measure of the engine's speed.
            saved: Prefill work in prompt tokens that copying KV cache saves.
        """
        cached = self.cache.count_cached(work.parts)
        own_tokens = max(work.prompt_tokens - cached - int(saved), 0)
        self._backlog = self.prefill_backlog(now) + own_tokens
        self._backlog_at = now
        run = _Run(
            work=work,
            own_tokens=own_tokens,
            total_tokens=None if ahead is None else ahead + own_tokens,
            started_at=now,
            first_at=now + self.speed.predict((ahead or 0.0) + own_tokens),
            was_idle=not self._prefilling_by_key,
        )
        self.decode.note_running(self.running, now)
        self.decode.begin(
            work.key,
            deadline_at=work.deadline_at,
            events=work.expected_events,
            max_pause=work.max_pause,
        )
        self.update_headroom(now)
        prefill_seconds = own_tokens * self.speed.token_seconds
        self._stretch = self.prefill_stretch(now) + prefill_seconds
        self._prefill_started += prefill_seconds
        self.prefill_credit.spend(prefill_seconds)
        self._run_by_key[work.key] = run
        self._prefilling_by_key[work.key] = run
        self._prefill_tokens += own_tokens
        self.cache.output_tokens += work.output_tokens
        self.cache.begin(work.parts)

    def note_first_token(
        self, key: str, now: float, *, learn: bool = True, late: bool = False
    ) -> None:
        """Record the first token of a request.

        Args:
            key: The request.
            now: The time.
            learn: Whether it came just now. Then all requests that started
                before it count as prefilled too: a router whose event loop
                lags reports first tokens late, and until then the engine
                would seem stalled and get no work.
            late: Whether it may have been observed late, so that its time
                does not measure the engine.
        """
        if key not in self._prefilling_by_key:
            return
        if learn:
            for earlier in self._find_started_before(key):
                self._record_prefilled(earlier, now)
        run = self._record_prefilled(key, now)
        if not learn or late:
            return
        self._backlog = float(self._prefill_tokens)
        if self._prefilling_by_key:
            head = next(iter(self._prefilling_by_key.values()))
            base = self.speed.predict(0.0)
            since = min(max(now - head.started_at, 0.0), base)
            self._backlog -= min(
                since / self.speed.token_seconds, head.own_tokens
            )
        if run.total_tokens is not None:
            self.speed.learn(
                run.total_tokens, now - run.started_at, was_idle=run.was_idle
            )

    def _find_started_before(self, key: str) -> list[str]:
        """Return the keys of requests that are prefilled before one."""
        earlier = itertools.takewhile(
            lambda other: other != key, self._prefilling_by_key
        )
        return list(earlier)

    def _record_prefilled(self, key: str, now: float) -> _Run:
        run = self._end_prefill(key, now)
        self.cache.mark_prefilled(run.job.parts)
        self.decode.note_running(self.running, now)
        self.decode.note_first(key, now, prefilled=self.prefilled_seconds(now))
        return run

    def _end_prefill(self, key: str, now: float) -> _Run | None:
        run = self._prefilling_by_key.pop(key, None)
        if run is not None:
            self._prefill_tokens -= run.own_tokens
            self._stretch_until = now
            self._backlog = min(
                self.prefill_backlog(now), float(self._prefill_tokens)
            )
            self._backlog_at = now
        return run

    def end(self, key: str, now: float) -> None:
        """Record that a request ended, whether it succeeded or failed."""
        run = self._run_by_key.get(key)
        if run is None:
            return
        self.decode.note_running(self.running, now)
        del self._run_by_key[key]
        self.decode.end(key)
        was_prefilling = self._end_prefill(key, now) is not None
        if was_prefilling:
            self._prefill_started -= run.own_tokens * self.speed.token_seconds
        self.cache.output_tokens -= run.job.output_tokens
        self.cache.end(run.job.parts)
        if was_prefilling:
            self.cache.drop_unprefilled(run.job.parts)

    def find_running(self, router: str) -> list[str]:
        """Return the keys of a router's requests at the engine."""
        return [
            key
            for key, run in self._run_by_key.items()
            if run.job.router == router
        ]

    def find_overdue(self, now: float) -> list[str]:
        """Return the keys of requests that are past their deadline."""
        return [
            key
            for key, run in self._run_by_key.items()
            if now > run.job.deadline_at + _OVERDUE_SECONDS
        ]
