"""Which attempts the gate knows, and which can never start.

An attempt goes ``WAITING`` -> ``CLAIMING`` -> ``RUNNING`` -> ``DONE``, or
ends as ``BARRED`` without having started. ``BARRED`` is what makes "not run"
true: an attempt that was refused or withdrawn can arrive again, late or
doubled, and must not start then.
"""

import collections
import typing

WAITING = "waiting"
CLAIMING = "claiming"
RUNNING = "running"
DONE = "done"
BARRED = "barred"

_SETTLED = frozenset({DONE, BARRED})


class AttemptTable:
    """States of attempts by id; settled ones are kept up to a bound."""

    def __init__(self, *, settled_limit: int = 100_000) -> None:
        self._state_by_id: dict[str, str] = {}
        self._settled_ids: collections.deque[str] = collections.deque()
        self._settled_limit = settled_limit

    def state(self, attempt_id: str) -> str | None:
        """Return the state of an attempt, ``None`` if it is not known."""
        return self._state_by_id.get(attempt_id)

    def set_state(self, attempt_id: str, state: str) -> None:
        """Move an attempt to a state.

        Raises:
            ValueError: The attempt is settled and ``state`` would revive it.
        """
        current = self._state_by_id.get(attempt_id)
        if current in _SETTLED and state != current:
            raise ValueError(f"attempt_id: {attempt_id} is {current} for good")
        self._state_by_id[attempt_id] = state
        if state in _SETTLED and current != state:
            self._settled_ids.append(attempt_id)
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        while len(self._settled_ids) > self._settled_limit:
            self._state_by_id.pop(self._settled_ids.popleft(), None)


class AttemptStatus(typing.NamedTuple):
    """Answer to "what became of attempt A?".

    Attributes:
        state: One of the states of this module.
        ran: Whether it has started at the backend server.
    """

    state: str
    ran: bool
