"""Requests that wait to be started, by organisation.

Examples:
    >>> waiting = WaitQueue()
    >>> len(waiting), waiting.find_waiting_organisations()
    (0, [])
"""

from collections.abc import Callable

from daisypick_core.scheduling import job

# Requests that go on with an answer among the first of an organisation.
MAX_GOING_ON = 2


class WaitQueue:
    """Queues by organisation, each ordered by the end of the objective."""

    def __init__(self) -> None:
        self._expires_by_key: dict[str, float] = {}
        self._feasible_until_by_key: dict[str, float] = {}
        self._on_target_until_by_key: dict[str, float] = {}
        self._queue_by_organisation: dict[str, list[job.Job]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._count

    def add(
        self,
        work: job.Job,
        *,
        expires_at: float,
        feasible_until: float,
        on_target_until: float,
    ) -> None:
        """Add a request.

        Args:
            work: The request.
            expires_at: When it stops waiting and is refused.
            feasible_until: Latest start at an idle engine that still meets
                its objective.
            on_target_until: The same, for the objective of the caller's first
                try.
        """
        self._expires_by_key[work.key] = expires_at
        self._feasible_until_by_key[work.key] = feasible_until
        self._on_target_until_by_key[work.key] = on_target_until
        queue = self._queue_by_organisation.setdefault(work.organisation, [])
        queue.append(work)
        queue.sort(key=lambda waiting: waiting.objective_at)
        self._count += 1

    def remove(self, work: job.Job) -> None:
        """Remove a waiting request."""
        queue = self._queue_by_organisation[work.organisation]
        queue.remove(work)
        del self._expires_by_key[work.key]
        del self._feasible_until_by_key[work.key]
        del self._on_target_until_by_key[work.key]
        self._count -= 1
        if not queue:
            del self._queue_by_organisation[work.organisation]

    def find(self, key: str) -> job.Job | None:
        """Return the request with a key, or ``None``."""
        for queue in self._queue_by_organisation.values():
            for work in queue:
                if work.key == key:
                    return work
        return None

    def find_waiting_organisations(self) -> list[str]:
        """Return the organisations that have requests waiting."""
        return list(self._queue_by_organisation)

    def count_going_on(self, organisation: str) -> int:
        """Return how many of an organisation go on with an answer."""
        queue = self._queue_by_organisation.get(organisation, ())
        return sum(work.goes_on for work in queue)

    def count(self, organisation: str) -> int:
        """Return the number of waiting requests of an organisation."""
        return len(self._queue_by_organisation.get(organisation, ()))

    def find_all(self) -> list[job.Job]:
        """Return all waiting requests."""
        return [
            work
            for queue in self._queue_by_organisation.values()
            for work in queue
        ]

    def peek(
        self,
        organisation: str,
        count: int,
        *,
        start_at: float,
        may_start: Callable[[job.Job], bool] | None = None,
    ) -> list[job.Job]:
        """Return the first requests of an organisation.

        Those that go on with an answer go before all others. They may go to
        few servers only, so they are returned besides ``count`` others.

        Requests that meet their objective if they start at ``start_at`` go
        before others, and of these the ones that meet that of their caller's
        first try. Those that have waited longest are the first that no
        engine can start in time; if only they were examined, they would block
        all requests behind them. So would those that ``may_start`` excludes.
        """
        queue = self._queue_by_organisation[organisation]
        if may_start is not None:
            queue = [work for work in queue if may_start(work)]
        feasible = [
            work
            for work in queue
            if self._feasible_until_by_key[work.key] >= start_at
        ]
        on_target = [
            work
            for work in feasible
            if self._on_target_until_by_key[work.key] >= start_at
        ]
        going_on = [work for work in queue if work.goes_on][:MAX_GOING_ON]
        others = [
            work
            for work in on_target or feasible or queue
            if work not in going_on
        ]
        return going_on + others[:count]

    def find_infeasible(
        self, organisation: str, start_at: float
    ) -> job.Job | None:
        """Return a request that misses its objective if it starts then."""
        return next(
            (
                work
                for work in self._queue_by_organisation.get(organisation, ())
                if start_at > self._feasible_until_by_key[work.key]
            ),
            None,
        )

    def find_expired(self, now: float) -> list[job.Job]:
        """Return the requests that have waited until their expiry."""
        return [
            work
            for queue in self._queue_by_organisation.values()
            for work in queue
            if now >= self._expires_by_key[work.key]
        ]
