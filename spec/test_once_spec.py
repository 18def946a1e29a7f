import minicheck
import once_safeguards as safeguards
import once_spec
import pytest

# Counterexamples are usually found in a small part of the state space, so the
# search limit grows step by step.
_STATE_LIMITS = (300, 3_000, 30_000, 300_000)


def violated_by(specification):
    """Return the properties for which a counterexample is found."""
    protocol = specification.protocol()
    for max_states in _STATE_LIMITS:
        result = minicheck.check_safety(protocol, max_states=max_states)
        violated = {
            name
            for name, verdict in result["properties"].items()
            if verdict["holds"] is False
        }
        if violated or result["exhaustive"]:
            return violated
    raise AssertionError("the search did not finish")


@pytest.mark.parametrize(
    "setting",
    [
        {},
        {
            "agents": 1,
            "faults": frozenset(
                {safeguards.CUT, safeguards.EPOCH, safeguards.STORE}
            ),
        },
        {"attempts": 3, "agents": 3, "faults": frozenset({safeguards.STORE})},
    ],
)
def test_safety_holds_in_every_reachable_state(setting):
    protocol = once_spec.Specification(**setting).protocol()
    result = minicheck.check_safety(protocol, max_states=1_000_000)
    assert result["exhaustive"]
    assert {v["holds"] for v in result["properties"].values()} == {True}
    assert result["reachable_states"] > 5_000


@pytest.mark.parametrize(
    "faults",
    [
        {safeguards.CUT, safeguards.RESTART},
        {safeguards.CUT, safeguards.EPOCH},
        {safeguards.DRAIN, safeguards.OUTAGE, safeguards.STORE},
    ],
)
def test_every_request_ends_without_further_faults(faults):
    specification = once_spec.Specification(
        faults=frozenset(faults), with_fault_stop=True
    )
    assert minicheck.check_liveness(specification.protocol())["holds"] is True


@pytest.mark.parametrize("safeguard", safeguards.SAFEGUARDS)
def test_removal_of_a_safeguard_gives_a_counterexample(safeguard):
    removal = safeguards.SAFEGUARDS[safeguard]
    settings = {
        "attempts": removal.attempts,
        "faults": removal.faults,
        "with_fault_stop": removal.violated == safeguards.REQUEST_ENDS,
    }
    intact = once_spec.Specification(**settings)
    weakened = once_spec.Specification(**settings, without=safeguard)
    if removal.violated == safeguards.REQUEST_ENDS:
        for specification, holds in ((intact, True), (weakened, False)):
            verdict = minicheck.check_liveness(specification.protocol())
            assert verdict["holds"] is holds
        return
    assert violated_by(intact) == set()
    assert removal.violated in violated_by(weakened)
