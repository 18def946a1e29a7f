"""The simulated roll-outs."""

import pytest

from daisypick_lab import rollout_model

_FLEET = rollout_model.Fleet(routers=22, rate=716.0)


@pytest.mark.parametrize("disturbance", rollout_model.disturbance_by_name)
@pytest.mark.parametrize("version", ["good", "fails 30%", "8 times slower"])
def test_verdicts_are_right(version, disturbance):
    """Guards against verdicts that the faults of others decide."""
    row = rollout_model.play_kind(_FLEET, version, disturbance, range(2))
    assert row.right == row.seeds
    assert row.beyond_bound == 0
    assert row.longest_stop < rollout_model.STOP_SECONDS
