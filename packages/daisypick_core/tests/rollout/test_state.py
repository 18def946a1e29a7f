"""The state that supersedes another."""

import itertools

from daisypick_core.rollout import state as states

_CANARY = states.RolloutState(
    service="desk",
    number=(0, 7),
    in_force="v1",
    target="v2",
    created="7",
    seconds=12.0,
    phase=states.Phase.CANARY,
)


def _merge(found):
    known = None
    for state in found:
        known = states.find_later(known, state)
    return known


def test_messages_in_any_sequence_lead_to_the_same_state():
    """Guards against routers that end an order in different ways."""
    of_order = [_CANARY._replace(phase=phase) for phase in states.Phase]
    later = _CANARY._replace(number=(0, 9), target="v3", created="9")
    for sequence in itertools.permutations([*of_order, later], 4):
        expected = later if later in sequence else max(sequence, key=_phase)
        assert _merge(sequence) == expected


def _phase(state):
    return state.phase


def test_order_that_two_routers_number_apart_is_one():
    """Guards against a decision that starts again where a partition ends."""
    moving = _CANARY._replace(phase=states.Phase.MOVING)
    renumbered = _CANARY._replace(number=(0, 8))
    assert _merge([moving, renumbered]) == moving
    assert _merge([renumbered, moving]) == moving


def test_order_after_a_restored_store_is_later():
    """Guards against an old era's order that wins by its revision."""
    restored = _CANARY._replace(number=(1, 3), created="3")
    assert _merge([_CANARY, restored]) == restored
