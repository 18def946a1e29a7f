# Callers of several organisations keep calling while faults are injected. No
# fault may lead to a response that is truncated or belongs to another call, a
# booking that ran twice, a "not run" for a call that ran, or no response at
# all. Refusals are allowed, but only with the codes listed for the scenario.

import pytest

from daisypick_core.results import codes
from daisypick_lab import deployments
from daisypick_lab import fault_scenarios

UNKNOWN_OUTCOMES = {codes.OUTCOME_UNKNOWN.number, codes.KEY_IN_PROGRESS.number}
SERVICE_FAILURES = {
    *UNKNOWN_OUTCOMES,
    codes.ANSWER_BROKEN.number,
    codes.ENGINE_FAILED.number,
    0,  # The response of the service itself, forwarded.
}
DEPLOYMENT = deployments.DEMO._replace(
    engine=deployments.DEMO.engine._replace(token_interval=0.004),
    profiles=tuple(
        profile._replace(
            workers=min(2, profile.workers),
            plain_share=max(0.25, profile.plain_share),
        )
        for profile in deployments.DEMO.profiles
    ),
)


@pytest.mark.parametrize(
    ("name", "allowed"),
    [
        ("platform_outage", {codes.STORE_UNAVAILABLE.number}),
        ("platform_answers_lost", {codes.STORE_UNAVAILABLE.number}),
        ("engine_breaks_answers", set()),
        ("plain_service_loses_answers", SERVICE_FAILURES),
        ("data_centres_out_and_in", set()),
        ("agents_drain", set()),
    ],
)
def test_invariants_hold_under_faults(name, allowed):
    result = fault_scenarios.run_scenario(
        name, deployment=DEPLOYMENT, seed=1, min_whole=21
    )
    assert result.verdict.is_clean, result.verdict
    assert result.is_done
    refused = {
        code
        for own in result.tally.by_organisation.values()
        for code in own.refusals_by_code
    }
    assert refused <= allowed
    outcomes = result.tally.by_phase[""].outcomes
    assert outcomes["whole"] > 20
