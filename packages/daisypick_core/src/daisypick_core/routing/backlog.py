"""The queue limits of the router under overload.

Each organisation has a bounded queue. When the total of all queues reaches
its limit, the newest request of the longest queue is dropped in favour of a
request for a shorter queue, so that a few organisations with a burst of
traffic cannot block all others.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import typing

from daisypick_core.queues import drain_rate
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import request as request_value
from daisypick_core.routing import service_view


class Dropped(typing.NamedTuple):
    """A request that was dropped in favour of another, and its failure."""

    job: request_value.Job
    failure: failure_value.Failure


class BacklogBounds:
    """Decides whether a request may wait at the router."""

    def __init__(self, *, limits: request_value.DispatcherLimits) -> None:
        self._limits = limits
        self._bound_by_organisation: Mapping[str, int] = {}
        self._rate_by_organisation: dict[str, drain_rate.DrainRate] = {}

    def set_bounds(self, bound_by_organisation: Mapping[str, int]) -> None:
        """Set the queue limits of the organisations."""
        self._bound_by_organisation = bound_by_organisation
        for name in set(self._rate_by_organisation) - set(
            bound_by_organisation
        ):
            del self._rate_by_organisation[name]

    def left(self, organisation: str, now: float) -> None:
        """Record that a request of an organisation has left its queue."""
        rate = self._rate_by_organisation.get(organisation)
        if rate is None:
            rate = drain_rate.DrainRate()
            self._rate_by_organisation[organisation] = rate
        rate.record_departure(now)

    def check(
        self,
        request: request_value.Request,
        services: Iterable[service_view.ServiceView],
    ) -> failure_value.Failure | Dropped | None:
        """Return a refusal, a request to drop, or ``None`` if there is room."""
        organisation = request.organisation
        queued = [service.queues for service in services]
        own = sum(queues.size(organisation) for queues in queued)
        bound = self._bound_by_organisation.get(
            organisation, self._limits.queued_per_organisation
        )
        if own >= bound:
            return self._full(codes.ORGANISATION_QUEUE_FULL, organisation, own)
        if sum(map(len, queued)) < self._limits.queued_in_all:
            return None
        fullest = max(
            (queues for queues in queued if len(queues)),
            key=lambda queues: queues.size(queues.longest()),
        )
        longest = fullest.longest()
        size = fullest.size(longest)
        if own + 1 >= size:
            return self._full(codes.ROUTER_FULL, organisation, own)
        failure = self._full(codes.ROUTER_FULL, longest, size)
        return Dropped(job=fullest.pop_last(longest), failure=failure)

    def _full(
        self, code: codes.Code, organisation: str, ahead: int
    ) -> failure_value.Failure:
        rate = self._rate_by_organisation.get(organisation)
        rate = rate or drain_rate.DrainRate()
        return failure_value.Failure(
            code=code,
            reason=f"organisation: {organisation} waits enough here",
            retry_after=rate.retry_after(max(1, ahead)),
        )
