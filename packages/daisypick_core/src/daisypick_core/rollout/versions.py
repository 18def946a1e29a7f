"""Which version of a service's servers gets the requests.

The version in force is the one that the newest roll-out has left. A service
that has none, as in a fleet that starts for the first time, takes the version
of most servers; so does one of which no server of the version in force is left,
unless a roll-out is running, whose share is a promise. A version that was
rolled back is never taken.

Examples:
    >>> find_in_force(listed=["v1", "v2", "v1"], state=None)
    'v1'
    >>> from daisypick_core.rollout import state as states
    >>> state = states.RolloutState(
    ...     service="desk", number=(0, 7), in_force="v1", target="v2",
    ...     created="7", seconds=12.0, phase=states.Phase.ROLLED_BACK,
    ... )
    >>> find_in_force(listed=["v1", "v2", "v2"], state=state)
    'v1'
    >>> find_in_force(listed=["v2", "v3"], state=state)
    'v3'
"""

import collections
from collections.abc import Collection

from daisypick_core.rollout import state as states


def find_in_force(
    *, listed: Collection[str], state: states.RolloutState | None
) -> str:
    """Return the version that gets the requests which test no other one.

    Args:
        listed: The version of each server of the service.
        state: State of the service's newest roll-out, if there is one.
    """
    if state is None:
        return _find_most_common(listed)
    if state.version in listed or not state.has_ended:
        return state.version
    refused = state.target if state.phase is states.Phase.ROLLED_BACK else None
    rest = [version for version in listed if version != refused]
    return _find_most_common(rest) if rest else state.version


def _find_most_common(listed: Collection[str]) -> str:
    """Return the version of most servers, the first by name among equals."""
    count_by_version = collections.Counter(listed)
    return min(
        count_by_version,
        key=lambda version: (-count_by_version[version], version),
        default="",
    )
