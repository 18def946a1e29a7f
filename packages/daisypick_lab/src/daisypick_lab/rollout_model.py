"""Verdicts and exposure of roll-outs, by kind of version and disturbance.

Plays one order in simulated time with the core's decisions: routers that draw
requests, servers of two versions that answer by a law, reports and states that
take their time. Nothing of the network is simulated but those delays and
routers that are cut off.

    python -m daisypick_lab.rollout_model --seeds 200
"""

import argparse
from collections.abc import Callable
import random
import typing

from daisypick_core.rollout import decider as deciders
from daisypick_core.rollout import evidence as evidences
from daisypick_core.rollout import exposure as exposures
from daisypick_core.rollout import state as states

ORDER_SECONDS = 12.0
SHARE = 0.1
SLACK = 50
STOP_SECONDS = 5.0
SERVERS = 21
_STEP_SECONDS = 0.1
_REPORT_STEPS = 3
_DECIDE_STEPS = 2
_NOTICE_STEPS = 1
_MAX_NOTICE_AGE_STEPS = 20
_BAD_ANSWERS = 50
# Routes: share of the requests, share of errors of their own, seconds to the
# first byte.
_ROUTES = {
    "ask": (0.54, 0.004, 0.10),
    "digest": (0.23, 0.004, 0.12),
    "visit": (0.09, 0.004, 0.20),
    "reserve": (0.11, 0.004, 0.05),
    "look": (0.03, 0.14, 0.05),
}
_TIME_SPREAD = 0.5
_RUN_SECONDS = 2.0
_COLD_SECONDS = 3.0
# Time to the first byte of a server without any cached prefix, as a multiple.
_UNCACHED = 1.3
_SLOW_FACTOR = 2.5


class Fleet(typing.NamedTuple):
    """Routers, and the requests of one service per second."""

    routers: int
    rate: float


class Version(typing.NamedTuple):
    """The faults of a version.

    Attributes:
        failing: Share of its answers that fail.
        slowness: Factor of its times.
        slow_share: Share of its answers that are slower.
        from_seconds: When the fault begins, after the order.
        above_load: Load of a server, as a share of the usual one, above which
            the fault shows.
        route: Route that shows it; empty for all.
    """

    failing: float = 0.0
    slowness: float = 1.0
    slow_share: float = 1.0
    from_seconds: float = 0.0
    above_load: float = 0.0
    route: str = ""

    @property
    def is_bad(self) -> bool:
        """Whether it has any fault."""
        return self.failing > 0.0 or self.slowness > 1.0


VERSION_BY_NAME = {
    "good": Version(),
    "fails 5%": Version(failing=0.05),
    "fails 30%": Version(failing=0.3),
    "fails 100%": Version(failing=1.0),
    "3 times slower": Version(slowness=3.0),
    "8 times slower": Version(slowness=8.0),
    "30% of 8 times slower": Version(slowness=8.0, slow_share=0.3),
    "fails 30% after 5 s": Version(failing=0.3, from_seconds=5.0),
    "8 times slower after 5 s": Version(slowness=8.0, from_seconds=5.0),
    "fails 30% above half load": Version(failing=0.3, above_load=0.5),
    "8 times slower above half load": Version(slowness=8.0, above_load=0.5),
    "fails 30% on ask": Version(failing=0.3, route="ask"),
    "fails 100% on visit": Version(failing=1.0, route="visit"),
    "fails 100% on look": Version(failing=1.0, route="look"),
}

Disturbance = Callable[["Play"], None]
disturbance_by_name: dict[str, Disturbance] = {}


def _register(name: str) -> Callable[[Disturbance], Disturbance]:
    def _add(disturbance: Disturbance) -> Disturbance:
        disturbance_by_name[name] = disturbance
        return disturbance

    return _add


class Outcome(typing.NamedTuple):
    """What a roll-out came to.

    Attributes:
        phase: The last phase.
        exposed: Requests at the target until the time limit.
        requests: All requests of the service until then.
        bad: Bad answers of the target until the time limit.
        stop_seconds: Time from the 50th bad answer to the last request at the
            target; negative if there were fewer.
        ended_at: When the phase was reached.
    """

    phase: states.Phase
    exposed: int
    requests: int
    bad: int
    stop_seconds: float
    ended_at: float

    @property
    def keeps_bound(self) -> bool:
        """Whether the exposure is within the bound for a bad version."""
        return self.exposed <= SHARE * self.requests + SLACK


class _Router:
    """One router's view."""

    def __init__(self) -> None:
        self.exposure = exposures.Exposure(share=SHARE)
        self.evidence = evidences.Evidence()
        self.phase = states.Phase.CANARY
        self.heard_step = 0
        self.moved_step = 0
        self.cut_until = 0


class Play:
    """One order, played step by step."""

    def __init__(
        self, *, fleet: Fleet, version: Version, disturbance: str, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.fleet = fleet
        self.version = version
        self.routers = [_Router() for _ in range(fleet.routers)]
        self.rate_factor: Callable[[int], float] = lambda step: 1.0
        # Servers of both versions that fail a share of their answers, by name.
        self.grey: dict[str, float] = {}
        self.grey_steps = (0, 0)
        self.lost_share = 0.0
        # Steps in which all servers of both versions are slower.
        self.slow_steps = (0, 0)
        # Step at which another router takes over without the evidence.
        self.takeover_step = -1
        self._state = states.RolloutState(
            service="s",
            number=(0, 1),
            in_force="v1",
            target="v2",
            created="1",
            seconds=ORDER_SECONDS,
            phase=states.Phase.CANARY,
        )
        self._decider = deciders.Decider(state=self._state, started_at=0.0)
        self._phase_by_step: dict[int, states.Phase] = {}
        self._load: dict[str, float] = {}
        self._exposed = self._requests = self._bad = 0
        self._bad_step: int | None = None
        self._last_step = 0
        self._weights = [share for share, _, _ in _ROUTES.values()]
        disturbance_by_name[disturbance](self)

    def run(self) -> Outcome:
        """Play until the time limit."""
        steps = int(ORDER_SECONDS / _STEP_SECONDS)
        ended_step = steps
        for step in range(steps):
            self._phase_by_step[step] = self._decider.state.phase
            if step == self.takeover_step:
                self._decider = deciders.Decider(
                    state=self._decider.state,
                    started_at=0.0,
                    heard_at=step * _STEP_SECONDS,
                )
            self._deliver_notices(step)
            self._send_requests(step)
            if step % _REPORT_STEPS == 0:
                self._deliver_reports(step)
            if step % _DECIDE_STEPS == 0:
                self._decide(step)
            if self._decider.state.has_ended:
                ended_step = min(ended_step, step)
        stop = -1.0
        if self._bad_step is not None:
            stop = (self._last_step - self._bad_step) * _STEP_SECONDS
        return Outcome(
            phase=self._decider.state.phase,
            exposed=self._exposed,
            requests=self._requests,
            bad=self._bad,
            stop_seconds=stop,
            ended_at=ended_step * _STEP_SECONDS,
        )

    def _deliver_notices(self, step: int) -> None:
        phase = self._phase_by_step.get(step - _NOTICE_STEPS)
        if phase is None:
            return
        for router in self.routers:
            if step < router.cut_until:
                continue
            router.heard_step = step
            if phase > router.phase:
                router.phase = phase
                router.moved_step = step
            if phase is states.Phase.PROBE:
                router.exposure.add_advance(
                    remaining=ORDER_SECONDS / (step * _STEP_SECONDS) - 1.0
                )

    def _send_requests(self, step: int) -> None:
        mean = self.fleet.rate * _STEP_SECONDS * self.rate_factor(step)
        count = max(round(self.rng.gauss(mean, mean**0.5)), 0)
        routes = self.rng.choices(list(_ROUTES), self._weights, k=count)
        for route in routes:
            self._send(step, self.rng.choice(self.routers), route)

    def _send(self, step: int, router: _Router, route: str) -> None:
        is_target = router.phase in (
            states.Phase.MOVING,
            states.Phase.SUCCEEDED,
        )
        is_probe = router.phase is states.Phase.PROBE
        if (
            router.phase <= states.Phase.PROBE
            and step - router.heard_step <= _MAX_NOTICE_AGE_STEPS
        ):
            is_target = router.exposure.take(route, is_probe=is_probe)
        router.exposure.note_sent(route)
        self._requests += 1
        self._exposed += is_target
        if is_target:
            self._last_step = step
            servers = exposures.count_probed(SERVERS) if is_probe else SERVERS
            server = f"new-{self.rng.randrange(servers)}"
        else:
            server = f"old-{self.rng.randrange(SERVERS)}"
        router.evidence.add(self._answer(step, route, server, is_target))

    def _answer(
        self, step: int, route: str, server: str, is_target: bool
    ) -> evidences.Answer:
        _, errors, seconds = _ROUTES[route]
        is_warm = not is_target or step * _STEP_SECONDS >= _COLD_SECONDS
        seconds *= self.rng.lognormvariate(0.0, _TIME_SPREAD)
        first, last = self.slow_steps
        if first <= step < last:
            seconds *= _SLOW_FACTOR
        pace = 0.06 * self.rng.lognormvariate(0.0, _TIME_SPREAD / 2.0)
        first, last = self.grey_steps
        failed = self.rng.random() < errors
        if first <= step < last:
            failed |= self.rng.random() < self.grey.get(server, 0.0)
        failed |= self.rng.random() < self.lost_share
        if is_target:
            seconds *= _UNCACHED
            load = self._note_load(step, server)
            pace *= 0.4 + 0.6 * min(load, 1.0)
            failing, slowness = self._find_fault(step, route, load)
            failed |= failing
            seconds *= slowness
            pace *= slowness
            if failing or slowness > 1.0:
                self._bad += 1
                if self._bad == _BAD_ANSWERS:
                    self._bad_step = step
        return evidences.Answer(
            route=route,
            server=server,
            is_target=is_target,
            failed=failed,
            first=seconds if is_warm and not failed else None,
            pace=pace if is_warm and not failed else None,
        )

    def _note_load(self, step: int, server: str) -> float:
        """Return the load of a server as a share of the usual one."""
        usual = self.fleet.rate * _RUN_SECONDS / SERVERS
        key = f"{server}/{step // 10}"
        self._load[key] = self._load.get(key, 0.0) + 1.0
        before = self._load.get(f"{server}/{step // 10 - 1}", 0.0)
        return max(before, self._load[key]) * _RUN_SECONDS / usual

    def _find_fault(
        self, step: int, route: str, load: float
    ) -> tuple[bool, float]:
        """Return whether an answer fails, and the factor of its times."""
        version = self.version
        if (
            step * _STEP_SECONDS < version.from_seconds
            or load < version.above_load
            or version.route not in ("", route)
        ):
            return False, 1.0
        is_slow = self.rng.random() < version.slow_share
        return (
            self.rng.random() < version.failing,
            version.slowness if is_slow else 1.0,
        )

    def _deliver_reports(self, step: int) -> None:
        for number, router in enumerate(self.routers):
            if step < router.cut_until:
                continue
            evidence, router.evidence = router.evidence, evidences.Evidence()
            for route, is_target, server, tally in evidence.iterate():
                self._decider.add_tally(
                    route, server, tally, is_target=is_target
                )
            waited = (step - router.moved_step) * _STEP_SECONDS
            is_idle = (
                router.phase is states.Phase.MOVING and waited > _RUN_SECONDS
            )
            self._decider.note_report(
                deciders.Report(
                    router=str(number),
                    phase=router.phase,
                    running_elsewhere=0 if is_idle else 1,
                    longest=_RUN_SECONDS,
                ),
                step * _STEP_SECONDS,
            )

    def _decide(self, step: int) -> None:
        now = step * _STEP_SECONDS
        self._decider.decide(now=now, has_capacity=now >= _COLD_SECONDS)
        if self._decider.has_moved(now=now, routers=self.fleet.routers):
            self._decider.state = self._decider.state._replace(
                phase=states.Phase.SUCCEEDED
            )


@_register("none")
def _change_nothing(play: Play) -> None:
    del play


@_register("grey servers")
def _make_servers_grey(play: Play) -> None:
    names = [f"{age}-{n}" for age in ("old", "new") for n in range(SERVERS)]
    for name in play.rng.sample(names, k=6):
        play.grey[name] = 0.45
    begin = play.rng.randrange(60)
    play.grey_steps = (begin, begin + 65)


@_register("lost answers")
def _lose_answers(play: Play) -> None:
    play.lost_share = 0.012


@_register("burst")
def _double_traffic(play: Play) -> None:
    begin = play.rng.randrange(80)
    play.rate_factor = lambda step: 1.7 if begin <= step < begin + 30 else 1.0


@_register("slow moment")
def _slow_all_servers(play: Play) -> None:
    begin = play.rng.randrange(100)
    play.slow_steps = (begin, begin + 30)


@_register("cut routers")
def _cut_routers(play: Play) -> None:
    begin = play.rng.randrange(60)
    for router in play.rng.sample(play.routers, k=len(play.routers) // 6):
        router.cut_until = begin + 55


@_register("new decider")
def _replace_decider(play: Play) -> None:
    play.takeover_step = play.rng.randrange(30)


@_register("late new decider")
def _replace_decider_late(play: Play) -> None:
    play.takeover_step = play.rng.randrange(32, 75)


class Row(typing.NamedTuple):
    """Outcomes of all seeds of a kind."""

    version: str
    disturbance: str
    seeds: int
    right: int
    wrong_beyond_50: int
    most_exposed: float
    beyond_bound: int
    longest_stop: float


def play_kind(
    fleet: Fleet, version: str, disturbance: str, seeds: range
) -> Row:
    """Play a kind of version and disturbance with some seeds."""
    kind = VERSION_BY_NAME[version]
    outcomes = [
        Play(
            fleet=fleet, version=kind, disturbance=disturbance, seed=seed
        ).run()
        for seed in seeds
    ]
    wanted = states.Phase.ROLLED_BACK if kind.is_bad else states.Phase.SUCCEEDED
    wrong = [found for found in outcomes if found.phase is not wanted]
    return Row(
        version=version,
        disturbance=disturbance,
        seeds=len(outcomes),
        right=len(outcomes) - len(wrong),
        wrong_beyond_50=sum(found.bad >= _BAD_ANSWERS for found in wrong),
        most_exposed=max(found.exposed / found.requests for found in outcomes),
        beyond_bound=sum(
            kind.is_bad and not found.keeps_bound for found in outcomes
        ),
        longest_stop=max(found.stop_seconds for found in outcomes),
    )


def main() -> None:
    """Print a row for each kind."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--routers", type=int, default=22)
    parser.add_argument("--rate", type=float, default=716.0)
    parser.add_argument("--versions", nargs="*", default=VERSION_BY_NAME)
    arguments = parser.parse_args()
    fleet = Fleet(routers=arguments.routers, rate=arguments.rate)
    print(
        "| version | disturbance | seeds | right | wrong with 50 bad answers "
        "| largest exposure | beyond the bound | longest stop, s |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for version in arguments.versions:
        for disturbance in disturbance_by_name:
            row = play_kind(fleet, version, disturbance, range(arguments.seeds))
            print(
                f"| {row.version} | {row.disturbance} | {row.seeds} "
                f"| {row.right} | {row.wrong_beyond_50} "
                f"| {row.most_exposed:.3f} | {row.beyond_bound} "
                f"| {row.longest_stop:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
