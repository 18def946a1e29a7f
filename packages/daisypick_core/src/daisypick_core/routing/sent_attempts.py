"""Attempts in flight at agents."""

from daisypick_core.messages import attempt as attempt_message
from daisypick_core.routing import request as request_value


class SentAttempt:
    """An attempt of a request in flight at an agent.

    Attributes:
        job: The request.
        attempt: The attempt.
        agent: Address of the agent.
        sent_at: Time at which it was sent, seconds.
        started_at: Time at which it left the agent's queue, ``None`` before.
        is_withdrawing: Whether a withdrawal is in progress.
        withdrawn_at: Time of the last withdrawal request, seconds.
    """

    __slots__ = (
        "job",
        "attempt",
        "agent",
        "sent_at",
        "started_at",
        "is_withdrawing",
        "withdrawn_at",
    )

    def __init__(
        self,
        *,
        job: request_value.Job,
        attempt: attempt_message.Attempt,
        agent: str,
        sent_at: float,
    ) -> None:
        self.job = job
        self.attempt = attempt
        self.agent = agent
        self.sent_at = sent_at
        self.started_at: float | None = None
        self.is_withdrawing = False
        self.withdrawn_at = 0.0


class SentAttemptTable:
    """Attempts in flight by id and by request, at most one per request."""

    def __init__(self) -> None:
        self._attempt_by_id: dict[str, SentAttempt] = {}
        self._attempt_by_request: dict[str, SentAttempt] = {}

    def __len__(self) -> int:
        return len(self._attempt_by_id)

    def add(self, sent_attempt: SentAttempt) -> None:
        """Add an attempt that was sent."""
        self._attempt_by_id[sent_attempt.attempt.attempt_id] = sent_attempt
        self._attempt_by_request[sent_attempt.attempt.request_id] = sent_attempt

    def find(self, attempt_id: str) -> SentAttempt | None:
        """Return an attempt in flight by its id."""
        return self._attempt_by_id.get(attempt_id)

    def all(self) -> list[SentAttempt]:
        """Return all attempts in flight, oldest first."""
        return list(self._attempt_by_id.values())

    def find_request(self, request_id: str) -> SentAttempt | None:
        """Return the attempt in flight of a request."""
        return self._attempt_by_request.get(request_id)

    def pop_attempt(self, attempt_id: str) -> SentAttempt | None:
        """Remove and return an attempt, ``None`` if it is unknown."""
        sent_attempt = self._attempt_by_id.pop(attempt_id, None)
        if sent_attempt is not None:
            del self._attempt_by_request[sent_attempt.attempt.request_id]
        return sent_attempt
