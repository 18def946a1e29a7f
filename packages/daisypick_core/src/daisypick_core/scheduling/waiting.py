"""Requests that wait for a start, by organisation.

Examples:
    >>> waiting = Waiting()
    >>> len(waiting), waiting.find_waiting_organisations()
    (0, [])
"""

from daisypick_core.scheduling import job


class Waiting:
    """Queues by organisation; in each, whose objective ends first."""

    def __init__(self) -> None:
        self._latest_by_key: dict[str, float] = {}
        self._in_time_by_key: dict[str, float] = {}
        self._queue_by_organisation: dict[str, list[job.Job]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return how many wait."""
        return self._count

    def add(
        self, work: job.Job, *, latest_at: float, in_time_until: float
    ) -> None:
        """Take a request.

        Args:
            work: The request.
            latest_at: Until when it waits.
            in_time_until: Until when an idle engine could begin it in time.
        """
        self._latest_by_key[work.key] = latest_at
        self._in_time_by_key[work.key] = in_time_until
        queue = self._queue_by_organisation.setdefault(work.organisation, [])
        queue.append(work)
        queue.sort(key=lambda waiting: waiting.objective_at)
        self._count += 1

    def remove(self, work: job.Job) -> None:
        """Drop a request that waits."""
        queue = self._queue_by_organisation[work.organisation]
        queue.remove(work)
        del self._latest_by_key[work.key]
        del self._in_time_by_key[work.key]
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

    def count(self, organisation: str) -> int:
        """Return how many of an organisation wait."""
        return len(self._queue_by_organisation.get(organisation, ()))

    def peek(
        self, organisation: str, count: int, *, begin_at: float
    ) -> list[job.Job]:
        """Return the first requests of an organisation.

        Those that are in time if they begin at ``begin_at`` go before others.
        The ones that have waited longest are the first that no engine can
        begin in time; looked at alone, they keep all behind them waiting.
        """
        queue = self._queue_by_organisation[organisation]
        in_time = [
            work for work in queue if self._in_time_by_key[work.key] >= begin_at
        ]
        return (in_time or queue)[:count]

    def find_too_late(
        self, organisation: str, begin_at: float
    ) -> job.Job | None:
        """Return a request that is not in time if it begins then, if any."""
        return next(
            (
                work
                for work in self._queue_by_organisation.get(organisation, ())
                if begin_at > self._in_time_by_key[work.key]
            ),
            None,
        )

    def find_late(self, now: float) -> list[job.Job]:
        """Return the requests that waited too long."""
        return [
            work
            for queue in self._queue_by_organisation.values()
            for work in queue
            if now >= self._latest_by_key[work.key]
        ]
