import pytest

from daisypick_lab import fairness_faults
from daisypick_lab import fairness_model
from daisypick_lab import fairness_settings

AGENTS = 24
SLOTS = 3
SECONDS = 60.0
# Largest requests per unit of share. docs/design/fairness.md derives a bound
# of 5 per slot, 360 here, for worst-case costs; the costs here are not that
# bad, so a tighter bound is checked.
BOUND = 3.0
TOKENS_PER_SECOND = 50.0


def make_settings(*, overload_depth=2, **fields):
    tenants = fairness_model.make_tenants(overload_depth=overload_depth)
    values = {"tenants": tenants, "period": 2.0} | fields
    return fairness_settings.FleetSettings(agents=AGENTS, slots=SLOTS, **values)


def measure(settings, seconds=SECONDS, **options):
    return fairness_model.measure("test", settings, seconds, **options)


def test_gap_is_bounded_and_does_not_grow_with_the_run():
    short = measure(make_settings())
    long_run = measure(make_settings(), 4 * SECONDS)
    assert short.gap < BOUND
    assert long_run.gap < BOUND
    assert long_run.gap < short.gap + 2.0


def test_baselines_have_larger_gaps():
    # The organisations and costs are the same; only the order differs.
    without_tally = make_settings(has_tally=False)
    seconds = 3 * SECONDS
    ours = measure(make_settings(), seconds).gap
    baselines = [
        without_tally._replace(mode=fairness_settings.FIRST_COME),
        without_tally._replace(mode=fairness_settings.ROUTER_FAIR),
        without_tally._replace(policy="own_service"),
    ]
    for baseline in baselines:
        other = measure(baseline, seconds)
        assert other.gap > 1.5 * ours
        assert other.gap > 1.5 * other.half_gap


def test_overload_by_one_organisation_starves_nobody():
    # One organisation keeps 16, 64 or 256 attempts waiting at every agent. The
    # effect on others must not depend on that number. An organisation that is
    # ahead may wait until the others have caught up and for one large
    # request, however many attempts wait.
    measurements = [
        measure(make_settings(overload_depth=depth)) for depth in (16, 64, 256)
    ]
    shares = sum(fairness_model.SHARES)
    rate = AGENTS * SLOTS * TOKENS_PER_SECOND / shares
    for measurement in measurements:
        assert measurement.gap < BOUND
        lead = (measurement.start_gap + 1.0) * fairness_settings.MAX_COST
        assert measurement.longest_pause < lead / rate
    assert measurements[2].gap < measurements[0].gap + 2.0
    assert measurements[2].longest_pause < 1.5 * measurements[0].longest_pause


def test_idle_time_gives_no_credit():
    # An organisation with a large share is idle for 30 s. When it resumes, it
    # must not monopolise the fleet to compensate for the idle time.
    settings = make_settings()
    tenants = list(settings.tenants)
    tenants[6] = tenants[6]._replace(off_from=20.0, off_until=50.0)
    settings = settings._replace(tenants=tuple(tenants))
    assert measure(settings, 100.0, warm_up=56.0).gap < BOUND


@pytest.mark.parametrize(
    "faults",
    [
        fairness_settings.Faults(lost=0.2),
        fairness_settings.Faults(duplicated=0.5),
        fairness_settings.Faults(late=0.5),
        fairness_settings.Faults(lost=0.1, duplicated=0.5, late=0.5),
    ],
)
def test_bound_holds_with_network_faults(faults):
    assert measure(make_settings(faults=faults)).gap < BOUND


@pytest.mark.parametrize("name", sorted(fairness_faults.plan_by_name))
def test_bound_holds_with_agent_faults(name):
    # Faults occur after 60 s while all organisations are backlogged. Intervals
    # are measured from 30 s on, so before, during and after the faults.
    plan = fairness_faults.plan_by_name[name]
    assert measure(make_settings(), 130.0, plan=plan).gap < BOUND
