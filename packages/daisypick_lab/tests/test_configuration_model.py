import pytest

from daisypick_lab import configuration_fleet
from daisypick_lab import configuration_model

MAX_ACTIVATION_SECONDS = 12.0
MAX_BYTES_PER_SECOND = 27_000


def run(**fields):
    fields = {"nodes": 72, "organisations": 50, "seconds": 60.0} | fields
    scenario = configuration_fleet.Scenario("test", **fields)
    outcome = configuration_fleet.Fleet(scenario=scenario, seed=3).run()
    assert outcome.changes > 3
    assert outcome.lowered == 0
    return outcome


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"changes_per_second": 1.39},
        {"loss": 0.1},
        {"offered": 0},
        {"store_up_until": 0.0},
        {"watchers": 0, "offered": 1},
    ],
)
def test_change_is_in_force_on_all_nodes_within_the_time_limit(fields):
    outcome = run(**fields)
    assert outcome.slowest < MAX_ACTIVATION_SECONDS
    assert outcome.bytes < MAX_BYTES_PER_SECOND


def test_partitioned_region_catches_up_after_the_partition():
    # Two data centres can reach neither the others nor the store for 20 s
    # while changes are published. Their nodes keep their generation, cause no
    # node to regress when the partition ends, and have the latest generation
    # within 12 s after that.
    outcome = run(cut=configuration_model.REGION, cut_from=15.0, cut_until=35.0)
    assert outcome.slowest < MAX_ACTIVATION_SECONDS
