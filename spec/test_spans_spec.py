import minicheck
import pytest
import spans_spec


def test_a_held_key_is_not_granted_in_any_reachable_state():
    protocol = spans_spec.Specification().protocol()
    result = minicheck.check_safety(protocol, max_states=100_000)
    (verdict,) = result["properties"].values()
    assert (verdict["holds"], result["exhaustive"]) == (True, True)
    assert result["reachable_states"] > 30_000


@pytest.mark.parametrize("safeguard", spans_spec.SAFEGUARDS)
def test_removal_of_a_safeguard_grants_a_held_key(safeguard):
    protocol = spans_spec.Specification(without=safeguard).protocol()
    result = minicheck.check_safety(protocol, max_states=10_000)
    (verdict,) = result["properties"].values()
    assert verdict["holds"] is False
