"""Reasons of refusals."""

import scarce_load

from daisypick_core.scheduling import refusal_reasons

_Reason = refusal_reasons.Reason


def test_every_refusal_of_an_overload_has_a_reason():
    """Guards against refusals that operators cannot tell apart."""
    simulation = scarce_load.Simulation(seed=1)
    simulation.run()
    reasons = {
        refusal_reasons.find(refused.reason)
        for refused, _ in simulation.refusals
    }
    assert reasons == {
        _Reason.OVER_SHARE,
        _Reason.DISPLACED,
        _Reason.WAITED_OUT,
    }


def test_reasons_are_told_apart_by_number_and_text():
    """Guards against a text that begins like another reason's."""
    assert len({reason.number for reason in _Reason}) == len(_Reason)
    for reason in _Reason:
        assert refusal_reasons.find(f"{reason.text}: more") is reason
