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
        self._queue_by_organisation: dict[str, list[job.Job]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return how many wait."""
        return self._count

    def add(self, work: job.Job, *, latest_at: float) -> None:
        """Take a request that is of use until ``latest_at``."""
        self._latest_by_key[work.key] = latest_at
        queue = self._queue_by_organisation.setdefault(work.organisation, [])
        queue.append(work)
        queue.sort(key=lambda waiting: waiting.objective_at)
        self._count += 1

    def remove(self, work: job.Job) -> None:
        """Drop a request that waits."""
        queue = self._queue_by_organisation[work.organisation]
        queue.remove(work)
        del self._latest_by_key[work.key]
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

    def peek(self, organisation: str, count: int) -> list[job.Job]:
        """Return the first requests of an organisation."""
        return self._queue_by_organisation[organisation][:count]

    def find_late(self, now: float) -> list[job.Job]:
        """Return the requests that waited too long."""
        return [
            work
            for queue in self._queue_by_organisation.values()
            for work in queue
            if now >= self._latest_by_key[work.key]
        ]
