import pytest

from daisypick_lab import configuration_fleet
from daisypick_lab import configuration_model

LETTER_SECONDS = 12.0
LETTER_BYTES = 27_000


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
def test_change_is_in_force_everywhere_in_the_letters_time(fields):
    outcome = run(**fields)
    assert outcome.slowest < LETTER_SECONDS
    assert outcome.bytes < LETTER_BYTES


def test_region_that_was_cut_off_follows_soon_after_it_rejoins():
    # Two data centres reach neither the others nor the store for 20 s, in
    # which changes are accepted. Its nodes stay as they are, lower nobody
    # after the cut, and have the latest generation 12 s after its end.
    outcome = run(cut=configuration_model.REGION, cut_from=15.0, cut_until=35.0)
    assert outcome.slowest < LETTER_SECONDS
