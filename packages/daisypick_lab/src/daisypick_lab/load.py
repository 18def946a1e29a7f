"""Load generation over real sockets with a call profile per organisation.

Each organisation keeps a number of workers busy (a closed loop) or sends at
a rate. Prompts of an organisation share a long prefix, lengths of responses
are heavy-tailed, and the hint about a length is up to eight times too high.
Plain calls carry an idempotency key; some are sent through two routers
concurrently, and failed ones are retried through the next router.
"""

from collections.abc import Sequence
import itertools
import random
import time
import typing

import gevent
from gevent import event

from daisypick_lab import callers
from daisypick_lab import tally as tally_module
from daisypick_node.http import client

_PARETO_SHAPE = 1.6
_MAX_TOKENS_FACTOR = 12
_HINT_DOUBLINGS = 3.0
_PREFIX_WORDS = ("row", "plot", "saw", "boot", "sole", "stitch", "farm")
_BACKOFF_SECONDS = 0.25
_MAX_BACKOFF_SECONDS = 2.0
_PLAIN_ATTEMPTS = 4
# Longer than the time within which a router must start or refuse a request.
_CALL_TIMEOUT = 75.0


class Profile(typing.NamedTuple):
    """Call profile of an organisation.

    Attributes:
        name: Name of the organisation.
        key: Its API key.
        share: Its share of capacity.
        model_service: Service of its chat calls.
        plain_service: Service of its plain calls, ``""`` for none.
        workers: Number of open calls; with a rate, their maximum.
        rate: Calls per second; 0 for a closed loop.
        pause: Mean time between two calls of a worker, seconds.
        shortest: Minimum number of tokens of a response.
        prefix_characters: Length of the prefix that its prompts share.
        stream_share: Fraction of its chat calls that are streamed.
        plain_share: Fraction of its calls that are plain.
        duplicate_share: Fraction of its plain calls sent through two routers
            concurrently.
        routers: Indexes of the routers that it calls, empty for all.
    """

    name: str
    key: str
    share: float
    model_service: str
    plain_service: str = ""
    workers: int = 4
    rate: float = 0.0
    pause: float = 0.0
    shortest: int = 8
    prefix_characters: int = 512
    stream_share: float = 0.8
    plain_share: float = 0.0
    duplicate_share: float = 0.2
    routers: tuple[int, ...] = ()

    @property
    def longest(self) -> int:
        """Maximum number of tokens of a response."""
        return self.shortest * _MAX_TOKENS_FACTOR


class LoadGenerator:
    """Sends the calls of all organisations and counts the results.

    Attributes:
        profiles: Call profiles of the organisations.
        tally: Results and measurements so far.
    """

    def __init__(
        self,
        *,
        profiles: Sequence[Profile],
        routers: Sequence[str],
        seed: int,
        tally: tally_module.Tally | None = None,
    ) -> None:
        self.profiles = tuple(profiles)
        self.tally = tally or tally_module.Tally()
        self._routers = tuple(routers)
        self._seed = seed
        self._pool = client.ClientPool(timeout=_CALL_TIMEOUT)
        self._stopped = event.Event()
        self._workers: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the workers of all organisations."""
        for profile in self.profiles:
            self.tally.of(profile.name)
            for number in range(profile.workers):
                worker = _Worker(self, profile, number, self._seed)
                self._workers.append(gevent.spawn(worker.run))

    def stop(self, timeout: float) -> bool:
        """Start no new calls; return whether all calls ended in time."""
        self._stopped.set()
        gevent.joinall(self._workers, timeout=timeout)
        is_done = all(worker.ready() for worker in self._workers)
        gevent.killall(self._workers)
        for worker in self._workers:
            worker.get()  # Re-raises an exception of the worker.
        self._pool.close()
        return is_done

    @property
    def is_stopped(self) -> bool:
        """Whether no new calls may start."""
        return self._stopped.is_set()

    def pause(self, seconds: float) -> None:
        """Wait for some seconds, or until the generator stops."""
        self._stopped.wait(seconds)

    def caller(self, profile: Profile) -> callers.Caller:
        """Return a caller that uses the key of the organisation."""
        return callers.Caller(key=profile.key, pool=self._pool)

    def routers_of(self, profile: Profile) -> tuple[str, ...]:
        """Return the addresses of the routers that a profile calls."""
        numbers = profile.routers or range(len(self._routers))
        return tuple(self._routers[number] for number in numbers)


class _Worker:
    """Makes calls of an organisation, one at a time, in a greenlet."""

    def __init__(
        self,
        load: LoadGenerator,
        profile: Profile,
        number: int,
        seed: int,
    ) -> None:
        self._load = load
        self._profile = profile
        self._organisation_tally = load.tally.of(profile.name)
        self._caller = load.caller(profile)
        self._routers = load.routers_of(profile)
        self._rng = random.Random(f"{seed}/{profile.name}/{number}")
        self._markers = (
            f"{profile.name}.{number}.{n}" for n in itertools.count()
        )
        self._prefix = make_prefix(profile)

    def run(self) -> None:
        """Make calls until the load generator stops."""
        self._load.pause(self._rng.random() * _BACKOFF_SECONDS)
        while not self._load.is_stopped:
            if self._rng.random() < self._profile.plain_share:
                self._call_plain()
            else:
                self._call_chat()
            self._load.pause(self._pause_seconds())

    def _pause_seconds(self) -> float:
        profile = self._profile
        if profile.rate:
            return self._rng.expovariate(profile.rate / profile.workers)
        if profile.pause:
            return self._rng.expovariate(1.0 / profile.pause)
        return 0.0

    def _call_chat(self) -> None:
        call = self._make_chat_call()
        self._organisation_tally.sent += 1
        self._organisation_tally.open_count += 1
        self._organisation_tally.waiting_count += 1
        meter = _TokenMeter(self._organisation_tally)
        router = self._rng.choice(self._routers)
        answered = self._caller.chat(router, call, meter.note)
        meter.finish(answered)
        self._organisation_tally.open_count -= 1
        self._count_call(call.marker, [answered])
        self._back_off(answered, 0)

    def _call_plain(self) -> None:
        """Send a call, retrying under the same idempotency key."""
        marker = f"{tally_module.PLAIN_PREFIX}{next(self._markers)}"
        call = callers.PlainCall(
            service=self._profile.plain_service,
            marker=marker,
            path="/bookings",
            idempotency_key=f"key-{marker}",
        )
        self._organisation_tally.sent += 1
        self._organisation_tally.open_count += 1
        results: list[callers.CallResult] = []
        for attempt in range(_PLAIN_ATTEMPTS):
            router = self._routers[attempt % len(self._routers)]
            results += self._send_plain(router, call, attempt)
            if any(a.outcome == callers.WHOLE for a in results):
                break
            self._back_off(results[-1], attempt)
        self._organisation_tally.open_count -= 1
        self._count_call(marker, results)

    def _send_plain(
        self, router: str, call: callers.PlainCall, attempt: int
    ) -> list[callers.CallResult]:
        if attempt or self._rng.random() >= self._profile.duplicate_share:
            return [self._caller.plain(router, call)]
        greenlets = [
            gevent.spawn(self._caller.plain, address, call)
            for address in self._routers[:2]
        ]
        return [greenlet.get() for greenlet in greenlets]

    def _count_call(
        self, marker: str, answered: list[callers.CallResult]
    ) -> None:
        """Count a call by its decisive result; record a reported "not run".

        A wrong response takes precedence over a whole one, a whole one over
        the last failure.
        """
        whole = [a for a in answered if a.outcome == callers.WHOLE]
        wrong = [a for a in answered if a.outcome == callers.WRONG]
        final = (wrong or whole or answered[-1:])[0]
        self._load.tally.count(self._profile.name, marker, final)
        if all(a.ran == callers.RAN_NO for a in answered):
            self._load.tally.not_run_markers.add(marker)

    def _back_off(self, answered: callers.CallResult, attempt: int) -> None:
        if answered.outcome == callers.WHOLE:
            return
        seconds = answered.retry_after or _BACKOFF_SECONDS * 2**attempt
        gevent.sleep(
            min(seconds, _MAX_BACKOFF_SECONDS) * (0.5 + self._rng.random())
        )

    def _make_chat_call(self) -> callers.ChatCall:
        tokens = self._draw_tokens()
        factor = 2.0 ** (self._rng.random() * _HINT_DOUBLINGS)
        marker = next(self._markers)
        return callers.ChatCall(
            service=self._profile.model_service,
            marker=marker,
            prompt=f"{self._prefix} visit {marker}",
            tokens=tokens,
            max_tokens=int(tokens * factor) + 1,
            is_stream=self._rng.random() < self._profile.stream_share,
        )

    def _draw_tokens(self) -> int:
        drawn = self._rng.paretovariate(_PARETO_SHAPE) * self._profile.shortest
        return int(min(drawn, self._profile.longest))


class _TokenMeter:
    """Counts the tokens of one response while it arrives."""

    def __init__(
        self, organisation_tally: tally_module.OrganisationTally
    ) -> None:
        self._organisation_tally = organisation_tally
        self._counted_tokens = 0
        self._last_at: float | None = None
        self._is_waiting = True

    def note(self, count: int) -> None:
        """Count tokens of a stream and record the gap between them."""
        if not count:
            return
        now = time.monotonic()
        if self._last_at is not None:
            self._organisation_tally.token_gap.record(
                (now - self._last_at) / count
            )
        self._last_at = now
        self._end_wait()
        self._counted_tokens += count
        self._organisation_tally.tokens += count

    def finish(self, answered: callers.CallResult) -> None:
        """Count the tokens in ``usage`` that the stream did not show."""
        self._end_wait()
        total = answered.prompt_tokens + answered.completion_tokens
        if total:
            self._organisation_tally.tokens += total - self._counted_tokens

    def _end_wait(self) -> None:
        if self._is_waiting:
            self._is_waiting = False
            self._organisation_tally.waiting_count -= 1


def make_prefix(profile: Profile) -> str:
    """Return the prompt prefix that all calls of a profile share."""
    rng = random.Random(profile.name)
    words = [profile.name]
    size = len(profile.name)
    while size < profile.prefix_characters:
        words.append(rng.choice(_PREFIX_WORDS))
        size += len(words[-1]) + 1
    return " ".join(words)
