"""Simulation of organisations that compete for too little capacity.

14 of 30 organisations send 11 times their usual load for 8 s while the others
send almost nothing. Engines prefill one prompt after the other and then decode.
A refused caller returns after its retry delay with the rest of its time, as
long as there is any; its latency target counts from its first try.
"""

import collections
import heapq
import itertools
import random
import typing

from daisypick_core.scheduling import actions
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import scheduler as schedulers
from daisypick_core.scheduling import server_state

ORGANISATIONS = 30
FLOODING = 14
TARGET_SECONDS = 0.5
_ENGINES = 10
_TOKEN_SECONDS = 1.0 / 20_000.0
_PROMPT, _OUTPUT = 1500, 100
_RATE = 2.0
_FLOOD_BEGINS, _SECONDS = 4.0, 20.0
_PATIENCE_SECONDS = 8.0
# Measured time from a refusal to the next try besides the retry delay.
_ROUND_TRIP_SECONDS = 0.005


class Received(typing.NamedTuple):
    """What the callers of an organisation got.

    Attributes:
        requests: Requests, without their returns.
        in_target: Those whose first token came within the latency target.
        served: Those whose first token came at all.
        tries: Requests with their returns.
        waited: Sum of the seconds to the first token; the patience of the
            caller where there was none.
    """

    requests: int
    in_target: int
    served: int
    tries: int
    waited: float


class _Request(typing.NamedTuple):
    name: str
    organisation: str
    began_at: float
    prompt: int


def _make_scheduler(rng: random.Random) -> schedulers.Scheduler:
    scheduler = schedulers.Scheduler(
        kv_tokens=400_000,
        cold_rate=20.0,
        window_seconds=4.0,
        rng=rng,
        speed=prefill_speed.ServiceSpeed(
            base=0.02, token_seconds=_TOKEN_SECONDS
        ),
    )
    scheduler.set_fleet(routers=["r-1"], share=1.0)
    scheduler.set_servers(
        server_state.ServerState(
            name=f"e-{number}", slots=16, cold_until=0.0, born=1
        )
        for number in range(_ENGINES)
    )
    scheduler.shares.set_capacity(
        tokens_per_second=_ENGINES / _TOKEN_SECONDS * 1700 / 1500
    )
    return scheduler


def _arrive(rng: random.Random, flood_seconds: float) -> list[_Request]:
    requests = []
    for number in range(ORGANISATIONS):
        floods = number < FLOODING
        now = 0.0
        while now < _SECONDS:
            factor = 1.0
            if 0.0 <= now - _FLOOD_BEGINS < flood_seconds:
                factor = 11.0 if floods else 0.2
            now += rng.expovariate(_RATE * factor)
            prompt = int(_PROMPT * rng.choice((0.4, 0.8, 1.0, 1.8)))
            requests.append(
                _Request(f"p-{len(requests)}", f"o-{number}", now, prompt)
            )
    return requests


class Simulation:
    """One run.

    Args:
        seed: Seed of all random choices.
        choose_delay: Returns the retry delay that replaces the scheduler's.
        flood_seconds: For how long the organisations send more.
    """

    def __init__(
        self, *, seed: int, choose_delay=None, flood_seconds: float = 8.0
    ) -> None:
        self._rng = random.Random(seed)
        self._choose_delay = choose_delay
        self._flood_seconds = flood_seconds
        self.scheduler = _make_scheduler(random.Random(seed + 1))
        self._events = []
        self._numbers = itertools.count()
        self._free_at_by_server = collections.defaultdict(float)
        self._work_by_key = {}
        self._request_by_key = {}
        # With the seconds until the caller's deadline.
        self.refusals: list[tuple[actions.Refuse, float]] = []
        self._first_token_by_request = {}
        self._tries = collections.Counter()

    def run(self) -> dict[str, Received]:
        """Return what each organisation's callers got."""
        requests = _arrive(self._rng, self._flood_seconds)
        for request in requests:
            self._push(request.began_at, self._try, request)
        tick = 0.0
        while tick < _SECONDS + _PATIENCE_SECONDS:
            tick += 0.01
            self._push(tick, self._tick)
        while self._events:
            now, _, handle, arguments = heapq.heappop(self._events)
            handle(now, *arguments)
        return self._sum_up(requests)

    def _push(self, at, handle, *arguments):
        entry = (at, next(self._numbers), handle, arguments)
        heapq.heappush(self._events, entry)

    def _tick(self, now):
        self._apply(self.scheduler.tick(now), now)

    def _try(self, now, request):
        deadline = request.began_at + _PATIENCE_SECONDS
        if now >= deadline:
            return
        self._tries[request] += 1
        key = f"k-{next(self._numbers)}"
        work = job.Job(
            key=key,
            router="r-1",
            organisation=request.organisation,
            parts=(job.Part(name=request.name, tokens=request.prompt),),
            prompt_tokens=request.prompt,
            output_tokens=_OUTPUT,
            arrived_at=now,
            objective_at=now + TARGET_SECONDS,
            deadline_at=deadline,
        )
        self._work_by_key[key] = work
        self._request_by_key[key] = request
        self._apply(self.scheduler.submit(work, now), now)

    def _apply(self, decided, now):
        for action in decided:
            if isinstance(action, actions.Start):
                self._start(action, now)
            else:
                self._refuse(action, now)

    def _start(self, action, now):
        work = self._work_by_key[action.key]
        begins_at = max(now, self._free_at_by_server[action.server])
        first_at = begins_at + work.prompt_tokens * _TOKEN_SECONDS
        self._free_at_by_server[action.server] = first_at
        self._push(first_at + 0.02, self._note_first, action.key)
        self._push(first_at + 0.02 + 0.6, self._note_end, action.key)

    def _note_first(self, now, key):
        self._first_token_by_request[self._request_by_key[key]] = now
        self._apply(self.scheduler.note_first_token(key, now), now)

    def _note_end(self, now, key):
        self._apply(self.scheduler.note_end(key, now), now)

    def _refuse(self, refused, now):
        left = self._work_by_key[refused.key].deadline_at - now
        self.refusals.append((refused, left))
        delay = refused.retry_after
        if self._choose_delay is not None:
            delay = self._choose_delay()
        request = self._request_by_key[refused.key]
        self._push(now + delay + _ROUND_TRIP_SECONDS, self._try, request)

    def _sum_up(self, requests):
        by_organisation = collections.defaultdict(list)
        for request in requests:
            by_organisation[request.organisation].append(request)
        return {
            organisation: Received(
                requests=len(own),
                in_target=sum(self._is_in_target(each) for each in own),
                served=sum(
                    each in self._first_token_by_request for each in own
                ),
                tries=sum(self._tries[each] for each in own),
                waited=sum(self._find_waited(each) for each in own),
            )
            for organisation, own in by_organisation.items()
        }

    def _is_in_target(self, request):
        return self._find_waited(request) <= TARGET_SECONDS

    def _find_waited(self, request):
        first = self._first_token_by_request.get(request)
        if first is None:
            return _PATIENCE_SECONDS
        return first - request.began_at


def sum_up(received: typing.Iterable[Received]) -> Received:
    """Return the sums over organisations."""
    return Received(*(sum(column) for column in zip(*received, strict=True)))
