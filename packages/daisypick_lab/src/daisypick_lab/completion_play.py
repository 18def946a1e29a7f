"""Plays an overload of prompts beside long answers against a scheduler.

The scheduler is the production code; engines are those of ``decode_model`` and
time is virtual. Played once with predicted lengths and once without, it shows
what callers of each kind get: whole answers in time and late, refusals, and
answers that were cut off at their deadline.

Usage: ``python -m daisypick_lab.completion_play [--seed N] [--load X]``.
"""

import argparse
import collections
import math
import random
import typing

from daisypick_core.scheduling import actions
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import scheduler as schedulers
from daisypick_core.scheduling import server_state
from daisypick_lab import decode_model
from daisypick_lab import virtual_clock

_SLOTS = 64
_KV_TOKENS = 500_000
_TICK_SECONDS = 0.01
_EXPIRE_SECONDS = 1.0
_ORGANISATIONS = 30
# Part of the play before answers count: the fleet fills, the speed is learned.
_SETTLED_SECONDS = 5.0
_ERROR_SIGMA = 0.5
# Of lognormal errors with that deviation, nine in ten are below this factor.
_HIGH_FACTOR = 1.9


class Kind(typing.NamedTuple):
    """A kind of request.

    Attributes:
        rate: Requests per second and engine, at a load of 1.
        prompt_tokens: Mean prompt tokens to prefill.
        output_tokens: Median output tokens.
        output_sigma: Deviation of the logarithm of the output tokens.
        objective: Seconds to the first event.
        deadline: Seconds for which callers wait.
        max_pause: Longest time between two events of an answer in time.
    """

    rate: float
    prompt_tokens: int
    output_tokens: int
    output_sigma: float
    objective: float
    deadline: float
    max_pause: float


KIND_BY_NAME = {
    "plan": Kind(3.2, 4000, 350, 0.44, 1.0, 12.0, 0.4),
    "question": Kind(5.2, 500, 230, 0.69, 0.5, 10.0, 0.4),
    "label": Kind(4.1, 1300, 15, 1.0, 0.6, 3.0, 0.4),
}
_MAX_OUTPUT_TOKENS = 954
_TIMES = decode_model.EngineTimes()


class Outcomes(typing.NamedTuple):
    """What the callers of a kind got.

    Attributes:
        asked: Requests.
        in_time: Whole answers that began within the objective and had no
            longer pause than allowed.
        late: Other whole answers.
        refused: Requests that did not run.
        cut: Answers that were cut off at their deadline.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    cut: int = 0

    @property
    def served_share(self) -> float:
        """Share of the requests that got a whole answer."""
        return (self.in_time + self.late) / max(self.asked, 1)


class Result(typing.NamedTuple):
    """Outcomes of a play.

    Attributes:
        by_kind: Outcomes by kind.
        largest_by_kind: The same of the tenth with the longest answers.
    """

    by_kind: dict[str, Outcomes]
    largest_by_kind: dict[str, Outcomes]


class _Request(typing.NamedTuple):
    work: job.Job
    kind: str
    output_tokens: int


class Play:
    """One play.

    Args:
        seed: Seed of the load.
        engines: Number of engines.
        load: Factor of the rates of all kinds.
        has_lengths: Whether answer lengths are predicted.
    """

    def __init__(
        self, *, seed: int, engines: int, load: float, has_lengths: bool
    ) -> None:
        self._rng = random.Random(seed)
        self._clock = virtual_clock.VirtualClock()
        self._has_lengths = has_lengths
        self._scheduler = schedulers.Scheduler(
            kv_tokens=_KV_TOKENS,
            cold_rate=0.0,
            window_seconds=4.0,
            rng=random.Random(seed),
            speed=prefill_speed.ServiceSpeed(),
        )
        self._engine_by_server = {
            f"e-{number}": decode_model.ModelEngine(
                clock=self._clock, times=_TIMES
            )
            for number in range(engines)
        }
        self._scheduler.set_servers(
            server_state.ServerState(
                name=name, slots=_SLOTS, cold_until=0.0, born=1
            )
            for name in self._engine_by_server
        )
        self._rate_by_kind = {
            name: kind.rate * engines * load
            for name, kind in KIND_BY_NAME.items()
        }
        self._request_by_key: dict[str, _Request] = {}
        self._first_at_by_key: dict[str, float] = {}
        self._outcome_by_key: dict[str, str] = {}

    def run(self, seconds: float) -> Result:
        """Play for so many seconds; requests of the last ones are left out."""
        for name in KIND_BY_NAME:
            self._schedule(name)
        self._clock.every(_TICK_SECONDS, self._tick)
        self._clock.every(_EXPIRE_SECONDS, self._expire)
        self._clock.run(seconds)
        last = seconds - max(kind.deadline for kind in KIND_BY_NAME.values())
        counted = [
            request
            for request in self._request_by_key.values()
            if _SETTLED_SECONDS <= request.work.arrived_at < last
        ]
        by_kind = {name: [] for name in KIND_BY_NAME}
        for request in counted:
            by_kind[request.kind].append(request)
        return Result(
            by_kind={
                name: self._count(requests)
                for name, requests in by_kind.items()
            },
            largest_by_kind={
                name: self._count(_find_largest(requests))
                for name, requests in by_kind.items()
            },
        )

    def _schedule(self, name: str) -> None:
        delay = self._rng.expovariate(self._rate_by_kind[name])
        self._clock.after(delay, self._arrive, name)

    def _arrive(self, name: str) -> None:
        self._schedule(name)
        request = self._make_request(name)
        self._request_by_key[request.work.key] = request
        self._apply(self._scheduler.submit(request.work, self._clock.now))

    def _make_request(self, name: str) -> _Request:
        kind = KIND_BY_NAME[name]
        rng, now = self._rng, self._clock.now
        key = str(len(self._request_by_key))
        output = kind.output_tokens * rng.lognormvariate(0, kind.output_sigma)
        output = min(max(int(output), 1), _MAX_OUTPUT_TOKENS)
        prompt = int(kind.prompt_tokens * rng.lognormvariate(-0.3, 0.8)) + 1
        hint = output * rng.lognormvariate(0.0, _ERROR_SIGMA)
        events = (
            max(hint / _TIMES.event_tokens, 1.0) if self._has_lengths else 0
        )
        work = job.Job(
            key=key,
            router="r-1",
            organisation=f"o-{rng.randrange(_ORGANISATIONS)}",
            parts=(job.Part(name=key, tokens=prompt),),
            prompt_tokens=prompt,
            output_tokens=int(hint) + 1,
            arrived_at=now,
            objective_at=now + kind.objective,
            deadline_at=now + kind.deadline,
            expected_events=events,
            high_events=events * _HIGH_FACTOR,
            max_pause=kind.max_pause if self._has_lengths else 0.0,
        )
        return _Request(work=work, kind=name, output_tokens=output)

    def _tick(self) -> None:
        self._apply(self._scheduler.tick(self._clock.now))

    def _expire(self) -> None:
        self._apply(self._scheduler.expire(self._clock.now))

    def _apply(self, decisions: list[actions.Action]) -> None:
        for action in decisions:
            request = self._request_by_key[action.key]
            if isinstance(action, actions.Start):
                self._start(request, action.server)
            else:
                self._outcome_by_key[action.key] = "refused"

    def _start(self, request: _Request, server: str) -> None:
        key = request.work.key
        self._engine_by_server[server].start(
            key,
            prompt_tokens=request.work.prompt_tokens,
            output_tokens=request.output_tokens,
            on_first=lambda: self._note_first(key),
            on_end=lambda pause: self._note_end(request, pause),
        )
        left = request.work.deadline_at - self._clock.now
        self._clock.after(left, self._cut, key, server)

    def _note_first(self, key: str) -> None:
        now = self._clock.now
        self._first_at_by_key[key] = now
        self._apply(self._scheduler.note_first_token(key, now))

    def _note_end(self, request: _Request, longest: float) -> None:
        now = self._clock.now
        work = request.work
        first_at = self._first_at_by_key[work.key]
        in_time = (
            first_at <= work.objective_at
            and longest <= KIND_BY_NAME[request.kind].max_pause
        )
        self._outcome_by_key[work.key] = "in_time" if in_time else "late"
        events = math.ceil(request.output_tokens / _TIMES.event_tokens) - 1
        self._scheduler.note_pace(
            work.key, events, now - first_at, longest, now
        )
        self._apply(self._scheduler.note_end(work.key, now))

    def _cut(self, key: str, server: str) -> None:
        if key in self._outcome_by_key:
            return
        self._outcome_by_key[key] = "cut"
        self._engine_by_server[server].cancel(key)
        self._apply(self._scheduler.note_end(key, self._clock.now))

    def _count(self, requests: list[_Request]) -> Outcomes:
        counts = collections.Counter(
            self._outcome_by_key.get(request.work.key, "cut")
            for request in requests
        )
        return Outcomes(asked=len(requests), **counts)


def _find_largest(requests: list[_Request]) -> list[_Request]:
    ordered = sorted(requests, key=lambda request: request.output_tokens)
    return ordered[len(ordered) * 9 // 10 :]


def main() -> None:
    """Print what callers get with and without predicted lengths."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--load", type=float, default=2.0)
    parser.add_argument("--seconds", type=float, default=40.0)
    arguments = parser.parse_args()
    print("| lengths | kind | asked | in time | late | refused | cut |")
    print("|---|---|---|---|---|---|---|")
    for has_lengths in (False, True):
        result = Play(
            seed=arguments.seed,
            engines=arguments.engines,
            load=arguments.load,
            has_lengths=has_lengths,
        ).run(arguments.seconds)
        rows = [*result.by_kind.items()]
        rows += [
            (f"{name}, largest tenth", outcomes)
            for name, outcomes in result.largest_by_kind.items()
        ]
        for name, outcomes in rows:
            values = " | ".join(str(value) for value in outcomes)
            known = "known" if has_lengths else "unknown"
            print(f"| {known} | {name} | {values} |")


if __name__ == "__main__":
    main()
