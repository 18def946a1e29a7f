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
        "tokens",
        "unread",
        "was_idle",
    )

    def __init__(
        self,
        *,
        work: job.Job,
        unread: int,
        tokens: float | None,
        started_at: float,
        first_at: float,
        was_idle: bool,
    ) -> None:
        self.job = work
        self.unread = unread
        self.tokens = tokens
        self.started_at = started_at
        self.first_at = first_at
        self.was_idle = was_idle


class EngineBelief:
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
        self._reading_by_key: dict[str, _Run] = {}
        self._unread = 0
        # What was still to read at a moment in the past.
        self._left = 0.0
        self._left_at = 0.0

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

    def unread(self, now: float) -> float:
        """Return the prompt tokens that are still to be read."""
        if not self._reading_by_key:
            return 0.0
        head = next(iter(self._reading_by_key.values()))
        elapsed = max(min(now, head.first_at) - self._left_at, 0.0)
        return max(self._left - elapsed / self.speed.token_seconds, 0.0)

    def wait(self, now: float) -> float:
        """Return the seconds of reading that are ahead of a new request."""
        return self.unread(now) * self.speed.token_seconds

    def has_memory(self, work: job.Job, share: float = 1.0) -> bool:
        """Tell whether a request's tokens fit beside the running ones."""
        wanted = self.cache.count_unheld(work.parts) + work.output_tokens
        room = self.kv_tokens * _MEMORY_SHARE * share - self.cache.held
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
        kept = self.cache.count_kept(work.parts)
        unread = max(work.prompt_tokens - kept - int(saved), 0)
        self._left = self.unread(now) + unread
        self._left_at = now
        run = _Run(
            work=work,
            unread=unread,
            tokens=None if ahead is None else ahead + unread,
            started_at=now,
            first_at=now + self.speed.predict((ahead or 0.0) + unread),
            was_idle=not self._reading_by_key,
        )
        self._run_by_key[work.key] = run
        self._reading_by_key[work.key] = run
        self._unread += unread
        self.cache.generated += work.output_tokens
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
        if key not in self._reading_by_key:
            return
        if learn:
            for earlier in self._find_started_before(key):
                self._note_read(earlier, now)
        run = self._note_read(key, now)
        if not learn or late:
            return
        self._left = float(self._unread)
        if self._reading_by_key:
            head = next(iter(self._reading_by_key.values()))
            base = self.speed.predict(0.0)
            since = min(max(now - head.started_at, 0.0), base)
            self._left -= min(since / self.speed.token_seconds, head.unread)
        if run.tokens is not None:
            self.speed.learn(
                run.tokens, now - run.started_at, was_idle=run.was_idle
            )

    def _find_started_before(self, key: str) -> list[str]:
        """Return the keys of what is read before a request."""
        earlier = itertools.takewhile(
            lambda other: other != key, self._reading_by_key
        )
        return list(earlier)

    def _note_read(self, key: str, now: float) -> _Run:
        run = self._stop_reading(key, now)
        self.cache.note_read(run.job.parts)
        return run

    def _stop_reading(self, key: str, now: float) -> _Run | None:
        run = self._reading_by_key.pop(key, None)
        if run is not None:
            self._unread -= run.unread
            self._left = min(self.unread(now), float(self._unread))
            self._left_at = now
        return run

    def end(self, key: str, now: float) -> None:
        """A request ended, well or not."""
        run = self._run_by_key.pop(key, None)
        if run is None:
            return
        was_reading = self._stop_reading(key, now) is not None
        self.cache.generated -= run.job.output_tokens
        self.cache.end(run.job.parts)
        if was_reading:
            self.cache.forget_unread(run.job.parts)

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
