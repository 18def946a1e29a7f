"""Recognises requests that return after a refusal.

A caller that returns sends the same request with a new attempt id and with the
rest of its time, possibly to another router. So a request of the same
organisation and prompt whose deadline is the same is a return. Where callers do
not state the time that they have left, every request counts as a first try.

Examples:
    >>> from daisypick_core.scheduling import job
    >>> first = job.Job(
    ...     key="a", router="r", organisation="farm", parts=(),
    ...     prompt_tokens=90, output_tokens=5, arrived_at=1.0,
    ...     objective_at=1.5, deadline_at=9.0,
    ... )
    >>> refusals = RecentRefusals()
    >>> refusals.note(first, now=1.3)
    >>> back = first._replace(key="b", objective_at=2.8, deadline_at=9.01)
    >>> refusals.find(back).objective_at
    1.5
    >>> refusals.find(back._replace(deadline_at=10.0)) is None
    True
"""

import collections
import math
import typing

from daisypick_core.scheduling import job

# Largest difference in seconds between the deadlines of the tries of one
# request: they are read by different routers, which may be busy.
_DEADLINE_TOLERANCE = 0.1
_MAX_REFUSALS = 20_000

_Key = tuple[str, int, int, tuple[job.Part, ...], int]


class Refused(typing.NamedTuple):
    """A request that was refused.

    Attributes:
        objective_at: When its first event was due, counted from its first try.
        deadline_at: Deadline of its caller.
        count: Number of its refusals.
    """

    objective_at: float
    deadline_at: float
    count: int


class RecentRefusals:
    """The latest refusals of one scheduler, in bounded number."""

    def __init__(self) -> None:
        self._refused_by_key: collections.OrderedDict[_Key, Refused] = (
            collections.OrderedDict()
        )

    def note(self, work: job.Job, now: float) -> None:
        """Record the refusal of a request."""
        self._forget_expired(now)
        before = self.find(work)
        refused = Refused(
            objective_at=before.objective_at if before else work.objective_at,
            deadline_at=work.deadline_at,
            count=before.count + 1 if before else 1,
        )
        key = _make_key(work, _find_step(work.deadline_at))
        self._refused_by_key[key] = refused
        self._refused_by_key.move_to_end(key)
        if len(self._refused_by_key) > _MAX_REFUSALS:
            self._refused_by_key.popitem(last=False)

    def _forget_expired(self, now: float) -> None:
        """Forget the oldest refusals, as far as their callers have gone."""
        while self._refused_by_key:
            key, refused = next(iter(self._refused_by_key.items()))
            if refused.deadline_at > now:
                return
            del self._refused_by_key[key]

    def find(self, work: job.Job) -> Refused | None:
        """Return the last refusal of a request, or ``None``."""
        step = _find_step(work.deadline_at)
        for near in (step, step - 1, step + 1):
            refused = self._refused_by_key.get(_make_key(work, near))
            if (
                refused is not None
                and abs(refused.deadline_at - work.deadline_at)
                <= _DEADLINE_TOLERANCE
            ):
                return refused
        return None


def _find_step(deadline_at: float) -> int:
    return math.floor(deadline_at / _DEADLINE_TOLERANCE)


def _make_key(work: job.Job, step: int) -> _Key:
    return (
        work.organisation,
        work.prompt_tokens,
        work.output_tokens,
        work.parts,
        step,
    )
