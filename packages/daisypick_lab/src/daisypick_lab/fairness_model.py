"""Measures the fairness gap: ``python -m daisypick_lab.fairness_model``.

The gap is the largest difference, between any two backlogged organisations
and over the whole run, of tokens served per unit of share. It is given in
largest requests (``fairness_fleet.LARGEST_COST`` tokens) per unit of share.
"""

from collections.abc import Callable
import itertools
import typing

from daisypick_lab import fairness_fleet

SAMPLE_SECONDS = 0.5
WARM_UP_SECONDS = 30.0
SHARES = (1.0, 1.0, 1.0, 1.0, 4.0, 4.0, 16.0, 16.0)
PERIODS = (0.5, 1.0, 2.0, 5.0)


class Measurement(typing.NamedTuple):
    """What one run showed; gaps in largest requests per unit of share.

    Attributes:
        name: Name of the run.
        period: Seconds between reports, 0 without them.
        seconds: Length of the run.
        start_gap: Largest gap in service counted from the start, when all
            slots are free and the first to come takes them.
        gap: Largest gap in any interval after ``WARM_UP_SECONDS``.
        half_gap: The same in the first half of that time.
        longest_pause: Longest time without a start of an organisation with
            share 1, seconds.
        messages: Reports a second and agent.
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
    *, flood_depth: int = 2, flood_name: str = "t0"
) -> tuple[fairness_fleet.Tenant, ...]:
    """Return eight backlogged organisations, two of them not everywhere."""
    reach_by_index = {4: 0.25, 5: 0.5}
    return tuple(
        fairness_fleet.Tenant(
            name=f"t{index}",
            share=share,
            reach=reach_by_index.get(index, 1.0),
            depth=flood_depth if f"t{index}" == flood_name else 2,
        )
        for index, share in enumerate(SHARES)
    )


class _IntervalGap:
    """Largest gap of any two organisations in any interval.

    The service difference of a pair moves within a band; the width of the
    band is the largest gap that any interval can show.
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
    settings: fairness_fleet.FleetSettings,
    seconds: float,
    *,
    warm_up: float = WARM_UP_SECONDS,
    faults: Callable[[fairness_fleet.Fleet], None] | None = None,
) -> Measurement:
    """Run one fleet and return what it showed.

    Args:
        name: Name of the run.
        settings: The fleet.
        seconds: Length of the run.
        warm_up: Seconds before intervals are measured.
        faults: Plans faults on the fleet before it runs.
    """
    fleet = fairness_fleet.Fleet(settings)
    if faults is not None:
        faults(fleet)
    band = _IntervalGap()
    start_gap = half_gap = 0.0
    while fleet.now < seconds:
        fleet.run_until(fleet.now + SAMPLE_SECONDS)
        served = fleet.served_by_tenant()
        virtual_by_name = {
            tenant.name: served[tenant.name] / tenant.share
            for tenant in settings.tenants
            if tenant.first_at <= warm_up
        }
        spread = max(virtual_by_name.values()) - min(virtual_by_name.values())
        start_gap = max(start_gap, spread)
        if fleet.now >= warm_up:
            band.add(virtual_by_name)
        if fleet.now <= (warm_up + seconds) / 2 and fleet.now >= warm_up:
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
    return round(tokens / fairness_fleet.LARGEST_COST, 2)
