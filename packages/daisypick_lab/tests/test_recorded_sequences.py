"""Recorded step sequences of the gates and dispatchers that broke a promise."""

import test_gates_and_dispatchers

# Doubled and reordered messages beside drains and restarts of agents. The same
# steps fail in each run, so no seed is needed.
_STEPS_RUN_TWICE = (
    ("disturb", {"fault": "drain", "name": "a"}),
    ("submit", {"is_repeatable": False}),
    ("deliver_to_agent", {"is_doubled": True, "position": 230}),
    ("disturb", {"fault": "drain", "name": "b"}),
    ("disturb", {"fault": "restart", "name": "b"}),
    ("submit", {"is_repeatable": False}),
    ("deliver_to_agent", {"is_doubled": True, "position": 1}),
    ("disturb", {"fault": "drain", "name": "c"}),
    ("submit", {"is_repeatable": False}),
    ("deliver_to_agent", {"is_doubled": True, "position": 304}),
    ("disturb", {"fault": "drain", "name": "c"}),
    ("deliver_to_router", {"is_doubled": True, "position": 751}),
    ("submit", {"is_repeatable": False}),
    ("disturb", {"fault": "restart", "name": "c"}),
    ("submit", {"is_repeatable": False}),
    ("submit", {"is_repeatable": True}),
    ("disturb", {"fault": "restart", "name": "b"}),
    ("submit", {"is_repeatable": True}),
    ("deliver_to_agent", {"is_doubled": False, "position": 589}),
    ("disturb", {"fault": "undrain", "name": "a"}),
    ("deliver_to_router", {"is_doubled": False, "position": 440}),
    ("submit", {"is_repeatable": True}),
    ("deliver_to_agent", {"is_doubled": True, "position": 721}),
    ("deliver_to_agent", {"is_doubled": False, "position": 322}),
    ("deliver_to_agent", {"is_doubled": True, "position": 402}),
    ("deliver_to_agent", {"is_doubled": True, "position": 1000}),
    ("deliver_to_router", {"is_doubled": False, "position": 215}),
    ("submit", {"is_repeatable": True}),
    ("disturb", {"fault": "drain", "name": "c"}),
    ("deliver_to_router", {"is_doubled": True, "position": 9}),
    ("deliver_to_router", {"is_doubled": True, "position": 320}),
    ("deliver_to_router", {"is_doubled": False, "position": 361}),
    ("deliver_to_router", {"is_doubled": True, "position": 367}),
    ("disturb", {"fault": "drain", "name": "b"}),
    ("submit", {"is_repeatable": False}),
    ("submit", {"is_repeatable": True}),
    ("disturb", {"fault": "drain", "name": "b"}),
    ("submit", {"is_repeatable": False}),
    ("disturb", {"fault": "drain", "name": "b"}),
    ("disturb", {"fault": "undrain", "name": "b"}),
    ("disturb", {"fault": "restart", "name": "b"}),
    ("submit", {"is_repeatable": True}),
    ("deliver_to_router", {"is_doubled": False, "position": 767}),
    ("deliver_to_agent", {"is_doubled": True, "position": 1}),
    ("deliver_to_router", {"is_doubled": False, "position": 95}),
    ("deliver_to_agent", {"is_doubled": True, "position": 775}),
    ("deliver_to_router", {"is_doubled": False, "position": 279}),
    ("deliver_to_agent", {"is_doubled": True, "position": 837}),
    ("disturb", {"fault": "drain", "name": "b"}),
    ("submit", {"is_repeatable": True}),
    ("disturb", {"fault": "undrain", "name": "a"}),
    ("deliver_to_agent", {"is_doubled": False, "position": 759}),
    ("deliver_to_agent", {"is_doubled": False, "position": 514}),
    ("submit", {"is_repeatable": False}),
    ("deliver_to_router", {"is_doubled": True, "position": 650}),
    ("submit", {"is_repeatable": False}),
    ("deliver_to_agent", {"is_doubled": True, "position": 423}),
    ("submit", {"is_repeatable": False}),
    ("submit", {"is_repeatable": False}),
    ("disturb", {"fault": "drain", "name": "c"}),
)


def test_unrepeatable_request_starts_once_in_the_recorded_sequence():
    """Guards against a second start of a request that may run only once."""
    machine = test_gates_and_dispatchers.Machine()
    for name, arguments in _STEPS_RUN_TWICE:
        getattr(machine, name)(**arguments)
        machine.runs_at_most_once_and_answers_are_true()
    machine.teardown()
