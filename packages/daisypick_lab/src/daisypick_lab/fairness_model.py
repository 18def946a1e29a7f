"""Measures the fairness gap: ``python -m daisypick_lab.fairness_model``.

The gap is the largest difference, between any two backlogged organisations
and over the whole run, of tokens served per unit of share. Its unit is the
largest request (``fairness_settings.MAX_COST`` tokens) per unit of share.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import sys
import typing

import msgspec

from daisypick_lab import fairness_faults
from daisypick_lab import fairness_fleet
from daisypick_lab import fairness_settings

SAMPLE_SECONDS = 0.5
WARM_UP_SECONDS = 30.0
SHARES = (1.0, 1.0, 1.0, 1.0, 4.0, 4.0, 16.0, 16.0)
OVERLOADING_TENANT = 0
PERIODS = (0.5, 1.0, 2.0, 5.0)
SLOWEST_PERIOD = 10.0


class Measurement(typing.NamedTuple):
    """Results of one run; gaps in largest requests per unit of share.

    Attributes:
        name: Name of the run.
        period: Seconds between reports, 0 without reports.
        seconds: Length of the run.
        start_gap: Largest gap in service since the start, when all slots are
            free and are filled in order of arrival.
        gap: Largest gap in any interval after ``WARM_UP_SECONDS``.
        half_gap: The same in the first half of that time.
        longest_pause: Longest time in which the whole fleet started no
            request of some organisation with share 1, seconds; the
            overloading organisation is not counted.
        messages: Reports per second and agent.
    """

    name: str
    period: float
    seconds: float
    start_gap: float
    gap: float
    half_gap: float
    longest_pause: float
    messages: float


def make_tenants(
    *, overload_depth: int = 2
) -> tuple[fairness_settings.Tenant, ...]:
    """Return eight backlogged organisations, distributed unevenly.

    ``t0`` may overload the agents: it keeps ``overload_depth`` attempts waiting
    at each. ``t3`` and ``t4`` use one router each, ``t4`` reaches a quarter
    of the agents and ``t5`` half of them.
    """
    tenants = [
        fairness_settings.Tenant(name=f"t{index}", share=share)
        for index, share in enumerate(SHARES)
    ]
    tenants[OVERLOADING_TENANT] = tenants[OVERLOADING_TENANT]._replace(
        depth=overload_depth
    )
    tenants[3] = tenants[3]._replace(routers=(0,))
    tenants[4] = tenants[4]._replace(reach=0.25, routers=(1,))
    tenants[5] = tenants[5]._replace(reach=0.5)
    return tuple(tenants)


class _IntervalGap:
    """Largest gap between any two organisations in any interval.

    The difference in service of a pair varies between a minimum and a maximum;
    their distance is the largest gap in any interval.
    """

    def __init__(self) -> None:
        self._band_by_pair: dict[tuple[str, str], tuple[float, float]] = {}

    def add(self, virtual_by_name: dict[str, float]) -> None:
        for pair in itertools.combinations(sorted(virtual_by_name), 2):
            difference = virtual_by_name[pair[0]] - virtual_by_name[pair[1]]
            low, high = self._band_by_pair.get(pair, (difference, difference))
            self._band_by_pair[pair] = (
                min(low, difference),
                max(high, difference),
            )

    @property
    def tokens(self) -> float:
        return max(high - low for low, high in self._band_by_pair.values())


def measure(
    name: str,
    settings: fairness_settings.FleetSettings,
    seconds: float,
    *,
    warm_up: float = WARM_UP_SECONDS,
    plan: Callable[[fairness_fleet.Fleet], None] | None = None,
) -> Measurement:
    """Run one fleet and return its measurement.

    Args:
        name: Name of the run.
        settings: Settings of the fleet.
        seconds: Length of the run.
        warm_up: Seconds before intervals are measured.
        plan: Schedules faults on the fleet before it runs.
    """
    fleet = fairness_fleet.Fleet(settings)
    if plan is not None:
        plan(fleet)
    band = _IntervalGap()
    start_gap = half_gap = 0.0
    while fleet.now < seconds:
        fleet.run_until(fleet.now + SAMPLE_SECONDS)
        served = fleet.served_by_tenant()
        virtual_by_name = {
            tenant.name: served[tenant.name] / tenant.share
            for tenant in settings.tenants
        }
        spread = max(virtual_by_name.values()) - min(virtual_by_name.values())
        start_gap = max(start_gap, spread)
        if fleet.now >= warm_up:
            band.add(virtual_by_name)
        if warm_up <= fleet.now <= (warm_up + seconds) / 2:
            half_gap = band.tokens
    pauses = fleet.longest_pause_by_tenant
    return Measurement(
        name=name,
        period=settings.period if settings.has_tally else 0.0,
        seconds=seconds,
        start_gap=_in_requests(start_gap),
        gap=_in_requests(band.tokens),
        half_gap=_in_requests(half_gap),
        longest_pause=round(
            max(
                pauses.get(tenant.name, seconds)
                for tenant in settings.tenants
                if tenant.share == 1.0 and tenant.depth == 2
            ),
            2,
        ),
        messages=round(fleet.messages / seconds / settings.agents, 2),
    )


def _in_requests(tokens: float) -> float:
    return round(tokens / fairness_settings.MAX_COST, 2)


class Run(typing.NamedTuple):
    """Parameters of a run.

    Attributes:
        name: Name of the run in the result.
        settings: Settings of the fleet.
        seconds: Length of the run.
        warm_up: Seconds before intervals are measured.
        plan: Schedules faults on the fleet before it runs.
    """

    name: str
    settings: fairness_settings.FleetSettings
    seconds: float
    warm_up: float = WARM_UP_SECONDS
    plan: Callable[[fairness_fleet.Fleet], None] | None = None


def _baselines(seconds: float, seed: int) -> Iterator[Run]:
    """Yield runs of every order with the same organisations and costs."""
    for depth in (2, 64):
        tenants = make_tenants(overload_depth=depth)
        common = fairness_settings.FleetSettings(tenants=tenants, seed=seed)
        without_tally = common._replace(has_tally=False)
        for mode in (
            fairness_settings.FIRST_COME,
            fairness_settings.ROUTER_FAIR,
        ):
            yield Run(
                f"{mode}, flooder keeps {depth}",
                without_tally._replace(mode=mode),
                seconds,
            )
        yield Run(
            f"own_service, flooder keeps {depth}",
            without_tally._replace(policy="own_service"),
            seconds,
        )
        for policy in ("fleet_totals", "damped", "damped_by_reach"):
            for period in PERIODS:
                yield Run(
                    f"{policy}, flooder keeps {depth}",
                    common._replace(policy=policy, period=period),
                    seconds,
                )


def _variations(seconds: float, seed: int) -> Iterator[Run]:
    """Yield runs of the production order that vary one parameter each."""
    tenants = make_tenants()
    common = fairness_settings.FleetSettings(
        tenants=tenants, period=2.0, seed=seed
    )
    yield Run("slowest", common._replace(period=SLOWEST_PERIOD), seconds)
    for factor in (1, 4):
        yield Run(f"length x{factor}", common, factor * seconds)
    for depth in (16, 64, 256):
        overloaded = common._replace(tenants=make_tenants(overload_depth=depth))
        yield Run(f"flooder keeps {depth}", overloaded, seconds)
        # At the start it fills all slots and is then delayed to compensate.
        yield Run(
            f"flooder keeps {depth}, first lead paid back",
            overloaded,
            2 * seconds,
            warm_up=seconds,
        )
    for gain in (0.5, 2.0, 4.0):
        yield Run(f"gain {gain}", common._replace(gain=gain), seconds)
    for estimator in ("hint", "learned_mean"):
        yield Run(
            f"estimator {estimator}",
            common._replace(estimator=estimator),
            seconds,
        )
    yield Run(
        "agents of 20, 50, 100 tokens/s",
        common._replace(speeds=(20.0, 50.0, 100.0)),
        seconds,
    )
    with_idle_tenant = list(tenants)
    with_idle_tenant[6] = with_idle_tenant[6]._replace(
        off_from=60.0, off_until=120.0
    )
    yield Run(
        "idle for 60 s and back",
        common._replace(tenants=tuple(with_idle_tenant)),
        seconds,
        warm_up=125.0,
    )


def _fault_runs(seconds: float, seed: int) -> Iterator[Run]:
    """Yield runs with faults of the network or of agents."""
    common = fairness_settings.FleetSettings(
        tenants=make_tenants(), period=2.0, seed=seed
    )
    for name, faults in (
        ("a twentieth lost", fairness_settings.Faults(lost=0.05)),
        ("a fifth lost", fairness_settings.Faults(lost=0.2)),
        ("half doubled", fairness_settings.Faults(duplicated=0.5)),
        ("half late and crossed", fairness_settings.Faults(late=0.5)),
        ("all of these", fairness_settings.Faults(0.2, 0.5, 0.5)),
    ):
        # Cumulative errors show only in a long run.
        yield Run(f"{name}, x4", common._replace(faults=faults), 4 * seconds)
    for name, plan in fairness_faults.plan_by_name.items():
        yield Run(name, common, seconds, plan=plan)


GROUPS: dict[str, Callable[[float, int], Iterator[Run]]] = {
    "baselines": _baselines,
    "variations": _variations,
    "faults": _fault_runs,
}


def run_groups(
    groups: Iterable[str], *, seconds: float, seed: int
) -> list[Measurement]:
    """Run groups of runs and return their measurements in order."""
    return [
        measure(
            run.name,
            run.settings,
            run.seconds,
            warm_up=run.warm_up,
            plan=run.plan,
        )
        for group in groups
        for run in GROUPS[group](seconds, seed)
    ]


def main(arguments: list[str]) -> int:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(description="Measure the fairness gap.")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--seconds", type=float, default=240.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--group", choices=GROUPS, action="append", help="default: all"
    )
    options = parser.parse_args(arguments)
    measurements = run_groups(
        options.group or GROUPS, seconds=options.seconds, seed=options.seed
    )
    if options.json:
        rows = [measurement._asdict() for measurement in measurements]
        sys.stdout.write(msgspec.json.encode(rows).decode() + "\n")
        return 0
    for measurement in measurements:
        print(
            f"{measurement.name:34} T {measurement.period:3} "
            f"gap {measurement.gap:8} first half {measurement.half_gap:8} "
            f"from start {measurement.start_gap:8} "
            f"pause {measurement.longest_pause:6}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
