"""What a model engine is believed to be doing.

An engine reads prompts one after the other, a chunk at a time between the
tokens of running requests, so the first token of a new request waits for all
prompt tokens ahead of it. The belief is made of what was sent there and of
the first tokens and ends that came back; the engine's own reports are older
than that.
"""

from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefix_cache

# Prompt tokens that an engine reads a second while it also generates; where
# the belief starts before it has learned the engine's own rate. Engines in
# use read 140,000 alone and spend a quarter of their steps on generating.
FIRST_RATE = 100_000.0
# Seconds from a request's way to its first token with nothing ahead of it.
BASE_SECONDS = 0.06
# Weight of one observation in the learned rate, and how far the rate may
# move from ``FIRST_RATE``: a wrong belief must not shut an engine out.
_LEARNING = 0.15
_SLOWEST, _FASTEST = 0.1, 2.0
# Fewer prompt tokens than this say little about the rate beside the base.
_LEAST_TOKENS_TO_LEARN = 3000
# Part of the memory that is given to running requests. Outputs are longer
# than expected about half of the time, and an engine that runs out throws a
# running request out of its memory and reads it from the start.
_MEMORY_SHARE = 0.9

# A router tells of an end within a few milliseconds; what is not told after
# this time past the caller's deadline never will be.
_OVERDUE_SECONDS = 1.0


class _Run:
    """A request at the engine."""

    __slots__ = ("ahead", "job", "started_at", "unread")

    def __init__(
        self, *, work: job.Job, unread: int, ahead: float, started_at: float
    ) -> None:
        self.job = work
        self.unread = unread
        self.ahead = ahead
        self.started_at = started_at


class EngineBelief:
    """Requests, memory and speed of one engine."""

    def __init__(self, *, slots: int, kv_tokens: int) -> None:
        self.slots = slots
        self.kv_tokens = kv_tokens
        self.rate = FIRST_RATE
        self.cache = prefix_cache.PrefixCache(capacity=kv_tokens)
        self._run_by_key: dict[str, _Run] = {}
        # Requests without a first token in the order of their start, and
        # the sum of what they have to read: a host asks for it for every
        # engine at every start, and a sum over all requests of all engines
        # kept a small VM from answering in time.
        self._reading_by_key: dict[str, _Run] = {}
        self._unread = 0
        self._progress_at = 0.0

    @property
    def running(self) -> int:
        """Requests at the engine."""
        return len(self._run_by_key)

    def __contains__(self, key: str) -> bool:
        """Tell whether a request is at the engine."""
        return key in self._run_by_key

    def unread(self, now: float) -> float:
        """Return the prompt tokens that are still to be read."""
        if not self._reading_by_key:
            return 0.0
        head = next(iter(self._reading_by_key.values()))
        done = min((now - self._progress_at) * self.rate, head.unread)
        return self._unread - max(done, 0.0)

    def has_memory(self, work: job.Job, share: float = 1.0) -> bool:
        """Tell whether a request's tokens fit beside the running ones."""
        wanted = self.cache.count_unheld(work.parts) + work.output_tokens
        room = self.kv_tokens * _MEMORY_SHARE * share - self.cache.held
        return wanted <= room or not self._run_by_key

    def start(self, work: job.Job, now: float) -> None:
        """A request is sent to the engine."""
        ahead = self.unread(now)
        kept = self.cache.count_kept(work.parts)
        if not self._reading_by_key:
            self._progress_at = now
        run = _Run(
            work=work,
            unread=max(work.prompt_tokens - kept, 0),
            ahead=ahead,
            started_at=now,
        )
        self._run_by_key[work.key] = run
        self._reading_by_key[work.key] = run
        self._unread += run.unread
        self.cache.generated += work.output_tokens
        self.cache.begin(work.parts)

    def note_first_token(
        self, key: str, now: float, *, learn: bool = True
    ) -> None:
        """A request's first token came back."""
        run = self._stop_reading(key, now)
        if run is not None and learn:
            self._learn(run, now)

    def _stop_reading(self, key: str, now: float) -> _Run | None:
        run = self._reading_by_key.pop(key, None)
        if run is not None:
            self._unread -= run.unread
            self._progress_at = now
        return run

    def _learn(self, run: _Run, now: float) -> None:
        tokens = run.ahead + run.unread
        if tokens < _LEAST_TOKENS_TO_LEARN:
            return
        seconds = max(now - run.started_at - BASE_SECONDS, 0.005)
        seen = tokens / seconds
        seen = min(max(seen, _SLOWEST * FIRST_RATE), _FASTEST * FIRST_RATE)
        self.rate += _LEARNING * (seen - self.rate)

    def end(self, key: str, now: float) -> None:
        """A request ended, well or not."""
        run = self._run_by_key.pop(key, None)
        if run is None:
            return
        self._stop_reading(key, now)
        self.cache.generated -= run.job.output_tokens
        self.cache.end(run.job.parts)

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
