"""What a model engine is believed to be doing.

An engine reads prompts one after the other, a chunk at a time between the
tokens of running requests, so the first token of a new request waits for all
prompt tokens ahead of it. The belief is made of what was sent there and of
the first tokens and ends that came back; the engine's own reports are older
than that.
"""

import itertools

from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefix_cache
from daisypick_core.scheduling import reading_speed

# Part of the memory that is given to running requests. Outputs are longer
# than expected about half of the time, and an engine that runs out throws a
# running request out of its memory and reads it from the start.
_MEMORY_SHARE = 0.9

# A router tells of an end within a few milliseconds; what is not told after
# this time past the caller's deadline never will be.
_OVERDUE_SECONDS = 1.0


class _Run:
    """A request at the engine.

    Attributes:
        job: The request.
        unread: Prompt tokens of its own to read.
        tokens: The same and those ahead of it; ``None`` if these are not
            known.
        started_at: When it was sent.
        first_at: When its first token is expected.
        was_idle: Whether the first tokens of all before had come.
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

    Prompts are read in the order of their starts. A first token tells that
    its prompt was read a base time before, and so how much of the next ones
    is read. While the first token of the oldest prompt is overdue nothing
    counts as read, so an engine that has stopped gets no more.
    """

    def __init__(
        self,
        *,
        slots: int,
        kv_tokens: int,
        speed: reading_speed.EngineSpeed,
    ) -> None:
        self.slots = slots
        self.kv_tokens = kv_tokens
        self.speed = speed
        self.cache = prefix_cache.PrefixCache(capacity=kv_tokens)
        self._run_by_key: dict[str, _Run] = {}
        # Requests without a first token in the order of their start, and
        # the sum of what they have to read: a host asks for it for every
        # engine at every start, and a sum over all requests of all engines
        # kept a small VM from answering in time.
        self._prefilling_by_key: dict[str, _Run] = {}
        self._prefill_tokens = 0
        # What was still to read at a moment in the past.
        self._backlog = 0.0
        self._backlog_at = 0.0

    @property
    def running(self) -> int:
        """Requests at the engine."""
        return len(self._run_by_key)

    def __contains__(self, key: str) -> bool:
        """Tell whether a request is at the engine."""
        return key in self._run_by_key

    def has_slot(self, share: float) -> bool:
        """Tell whether a part of the slots has room for one more request."""
        return self.running < max(self.slots * share, 1.0)

    def prefill_backlog(self, now: float) -> float:
        """Return the prompt tokens that are still to be read."""
        if not self._prefilling_by_key:
            return 0.0
        head = next(iter(self._prefilling_by_key.values()))
        elapsed = max(min(now, head.first_at) - self._backlog_at, 0.0)
        return max(self._backlog - elapsed / self.speed.token_seconds, 0.0)

    def prefill_wait(self, now: float) -> float:
        """Return the seconds of reading that are ahead of a new request."""
        return self.prefill_backlog(now) * self.speed.token_seconds

    def has_memory(self, work: job.Job, share: float = 1.0) -> bool:
        """Tell whether a request's tokens fit beside the running ones."""
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
        """A request is sent to the engine.

        Args:
            work: The request.
            now: The time.
            ahead: Prompt tokens that the engine reads before; ``None`` if the
                request was sent some time ago, so that its first token will
                tell nothing of the engine's speed.
            saved: Prompt tokens worth of reading that copying spares it.
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
        self._run_by_key[work.key] = run
        self._prefilling_by_key[work.key] = run
        self._prefill_tokens += own_tokens
        self.cache.output_tokens += work.output_tokens
        self.cache.begin(work.parts)

    def note_first_token(
        self, key: str, now: float, *, learn: bool = True, late: bool = False
    ) -> None:
        """A request's first token came back.

        Args:
            key: The request.
            now: The time.
            learn: Whether it came just now. Then all that started before it
                was read too: a router whose loop is late reports first tokens
                late, and without the word of the next ones the engine would
                seem to stand still until then, and get nothing.
            late: Whether whoever saw it may have seen it late, so that it
                does not tell how long the engine took.
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
        """Return the keys of what is read before a request."""
        earlier = itertools.takewhile(
            lambda other: other != key, self._prefilling_by_key
        )
        return list(earlier)

    def _record_prefilled(self, key: str, now: float) -> _Run:
        run = self._end_prefill(key, now)
        self.cache.mark_prefilled(run.job.parts)
        return run

    def _end_prefill(self, key: str, now: float) -> _Run | None:
        run = self._prefilling_by_key.pop(key, None)
        if run is not None:
            self._prefill_tokens -= run.own_tokens
            self._backlog = min(
                self.prefill_backlog(now), float(self._prefill_tokens)
            )
            self._backlog_at = now
        return run

    def end(self, key: str, now: float) -> None:
        """A request ended, well or not."""
        run = self._run_by_key.pop(key, None)
        if run is None:
            return
        was_prefilling = self._end_prefill(key, now) is not None
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
        """Return the keys of requests whose callers have given up."""
        return [
            key
            for key, run in self._run_by_key.items()
            if now > run.job.deadline_at + _OVERDUE_SECONDS
        ]
