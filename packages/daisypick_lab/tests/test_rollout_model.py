"""The simulated roll-outs."""

import pytest

from daisypick_lab import rollout_model

_FLEET = rollout_model.Fleet(routers=22, rate=716.0)


# A good version whose decider ends late is not approved, as little is known.
_DISTURBANCES = [
    name
    for name in rollout_model.disturbance_by_name
    if name != "late new decider"
]


@pytest.mark.parametrize("disturbance", _DISTURBANCES)
@pytest.mark.parametrize("version", ["good", "fails 30%", "8 times slower"])
def test_verdicts_are_right(version, disturbance):
    """Guards against verdicts that the faults of others decide."""
    row = rollout_model.play_kind(_FLEET, version, disturbance, range(2))
    assert row.right == row.seeds
    assert row.beyond_bound == 0
    assert row.longest_stop < rollout_model.STOP_SECONDS


@pytest.mark.parametrize("disturbance", ["none", "new decider"])
@pytest.mark.parametrize("version", ["fails 5%", "fails 30% above half load"])
def test_version_that_is_hard_to_test_keeps_the_bound(version, disturbance):
    """Guards against faults that show only once all traffic has moved."""
    row = rollout_model.play_kind(_FLEET, version, disturbance, range(4))
    assert row.beyond_bound == 0


@pytest.mark.parametrize("version", ["good", "fails 5%", "8 times slower"])
def test_late_decider_approves_nothing(version):
    """Guards against an approval by a decider that heard little of the test."""
    row = rollout_model.play_kind(_FLEET, version, "late new decider", range(3))
    assert row.beyond_bound == 0
    assert row.most_exposed < 0.1
