import generations_spec
import minicheck
import pytest


def test_safety_holds_and_every_process_can_reach_the_newest():
    protocol = generations_spec.Specification().protocol()
    result = minicheck.check_safety(protocol)
    assert result["exhaustive"]
    assert {v["holds"] for v in result["properties"].values()} == {True}
    assert result["reachable_states"] > 5_000
    assert minicheck.check_liveness(protocol)["holds"] is True


@pytest.mark.parametrize("safeguard", generations_spec.SAFEGUARDS)
def test_removal_of_a_safeguard_gives_a_counterexample(safeguard):
    specification = generations_spec.Specification(without=safeguard)
    result = minicheck.check_safety(specification.protocol())
    violated = generations_spec.SAFEGUARDS[safeguard]
    assert result["properties"][violated]["holds"] is False
