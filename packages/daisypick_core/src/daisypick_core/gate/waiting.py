"""Bounded queues of the attempts that wait at the gate.

Each organisation has a bounded queue. When their total reaches its bound, the
newest attempt of the longest queue is dropped in favour of an organisation
with a shorter queue. Refusing whichever attempt arrives last would let one
overloading organisation fill the gate and starve the others.
"""

import typing

from daisypick_core.fairness import share_order
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.queues import drain_rate
from daisypick_core.queues import keyed_queues
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value


class GateLimits(typing.NamedTuple):
    """Bounds of the gate's queues.

    Attributes:
        waiting_per_organisation: Maximum waiting attempts of an organisation.
        waiting_in_all: Maximum waiting attempts of all organisations.
    """

    waiting_per_organisation: int = 64
    waiting_in_all: int = 1024


class WaitingQueues:
    """Bounded queues by organisation, served in the share order."""

    def __init__(
        self, *, order: share_order.ShareOrder, limits: GateLimits
    ) -> None:
        self._order = order
        self._limits = limits
        self._queues: keyed_queues.KeyedQueues[str, attempt_message.Attempt] = (
            keyed_queues.KeyedQueues()
        )
        self._drain_rate = drain_rate.DrainRate()

    def __len__(self) -> int:
        return len(self._queues)

    def check_bounds(
        self, attempt: attempt_message.Attempt
    ) -> failure_value.Failure | None:
        """Return why the queues cannot hold an attempt, if they cannot."""
        own = self._queues.size(attempt.organisation)
        if own >= self._limits.waiting_per_organisation:
            return self._full(attempt.organisation)
        if len(self._queues) < self._limits.waiting_in_all:
            return None
        if own + 1 >= self._queues.size(self._queues.longest()):
            return self._full(attempt.organisation)
        return None

    def add(
        self, attempt: attempt_message.Attempt, now: float
    ) -> tuple[attempt_message.Attempt, failure_value.Failure] | None:
        """Add an attempt; return the one dropped in its favour, if any."""
        dropped = None
        if len(self._queues) >= self._limits.waiting_in_all:
            longest = self._queues.longest()
            newest = self._queues.pop_last(longest)
            self._depart_if_empty(longest)
            dropped = (newest, self._full(longest))
        if not self._queues.size(attempt.organisation):
            self._order.arrive(attempt.organisation, now)
        self._queues.append(attempt.organisation, attempt.attempt_id, attempt)
        return dropped

    def heads(self) -> list[attempt_message.Attempt]:
        """Return the oldest waiting attempt of each organisation."""
        return self._queues.heads()

    def remove(self, attempt_id: str) -> attempt_message.Attempt | None:
        """Remove and return an attempt, ``None`` if it does not wait."""
        attempt = self._queues.remove(attempt_id)
        if attempt is not None:
            self._depart_if_empty(attempt.organisation)
        return attempt

    def pop_next(self, now: float) -> attempt_message.Attempt:
        """Remove and return the attempt that is served next."""
        organisation = self._order.pick(self._queues.keys(), now)
        attempt = self._queues.pop_first(organisation)
        self._depart_if_empty(organisation)
        self._drain_rate.record_departure(now)
        return attempt

    def expire(self, now: float) -> list[attempt_message.Attempt]:
        """Remove and return the attempts whose deadline has passed."""
        expired = self._queues.expire(now)
        for attempt in expired:
            self._depart_if_empty(attempt.organisation)
        return expired

    def clear(self) -> list[attempt_message.Attempt]:
        """Remove and return all attempts."""
        for organisation in list(self._queues.keys()):
            self._order.depart(organisation)
        return self._queues.clear()

    def _depart_if_empty(self, organisation: str) -> None:
        if not self._queues.size(organisation):
            self._order.depart(organisation)

    def _full(self, organisation: str) -> failure_value.Failure:
        ahead = max(1, self._queues.size(organisation))
        return failure_value.Failure(
            code=codes.AGENT_QUEUE_FULL,
            reason=f"organisation: {organisation} waits enough here",
            retry_after=self._drain_rate.retry_after(ahead),
        )
