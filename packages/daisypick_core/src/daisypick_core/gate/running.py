"""Attempts that hold a slot of the backend server.

An attempt holds its slot from the request of its claim until its end. Those
that have produced no first token yet are kept in the order of their start, so
that the one waiting longest is found in constant time.
"""

import typing

from daisypick_core.messages import attempt as attempt_message


class Run(typing.NamedTuple):
    """An attempt that runs at the backend server.

    Attributes:
        attempt: The attempt.
        started_at: Time of its start, seconds.
    """

    attempt: attempt_message.Attempt
    started_at: float


class RunningTable:
    """Claiming and running attempts by id."""

    def __init__(self) -> None:
        self._claiming_by_id: dict[str, attempt_message.Attempt] = {}
        self._run_by_id: dict[str, Run] = {}
        self._without_token_by_id: dict[str, Run] = {}

    def __len__(self) -> int:
        return len(self._claiming_by_id) + len(self._run_by_id)

    @property
    def without_token(self) -> int:
        """Number of attempts that hold a slot and await a first token."""
        return len(self._claiming_by_id) + len(self._without_token_by_id)

    def claim(self, attempt: attempt_message.Attempt) -> None:
        """Assign a slot to an attempt whose claim is requested."""
        self._claiming_by_id[attempt.attempt_id] = attempt

    def end_claim(self, attempt_id: str) -> attempt_message.Attempt | None:
        """Remove and return an attempt whose claim is settled."""
        return self._claiming_by_id.pop(attempt_id, None)

    def start(self, attempt: attempt_message.Attempt, now: float) -> None:
        """Assign a slot to an attempt that starts."""
        run = Run(attempt=attempt, started_at=now)
        self._run_by_id[attempt.attempt_id] = run
        if not attempt.is_stream:
            # A response that is not streamed has no observable first token.
            return
        self._without_token_by_id[attempt.attempt_id] = run

    def find(self, attempt_id: str) -> Run | None:
        """Return a running attempt."""
        return self._run_by_id.get(attempt_id)

    def first_token(self, attempt_id: str) -> Run | None:
        """Return the run if this is its first token."""
        return self._without_token_by_id.pop(attempt_id, None)

    def finish(self, attempt_id: str) -> Run | None:
        """Remove and return a run that has ended."""
        self._without_token_by_id.pop(attempt_id, None)
        return self._run_by_id.pop(attempt_id, None)

    def take_overdue(self, before: float) -> list[Run]:
        """Return the runs whose first token is overdue, each only once.

        These are the runs without a first token that started before a time.
        """
        overdue = []
        for run in self._without_token_by_id.values():
            if run.started_at >= before:
                break
            overdue.append(run)
        for run in overdue:
            del self._without_token_by_id[run.attempt.attempt_id]
        return overdue
