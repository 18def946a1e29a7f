"""Records objects of the platform's store that name nothing to use.

Another writer may leave such an object, write it again all the time, or leave
hundreds of them. Each costs only itself; what is logged of them is bounded.
"""

from daisypick_core.results import failure
from daisypick_router import line_limit
from daisypick_router import log as logs
from daisypick_router import metrics as metric_numbers

_MAX_LINES = 10


class SkippedObjects:
    """Logs and counts the objects that were skipped, by kind."""

    def __init__(
        self, *, log: logs.Log, metrics: metric_numbers.Metrics
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._limit = line_limit.LineLimit(most=_MAX_LINES)

    def note(self, kind: str, name: str, reason: str) -> None:
        """Record an object that is left out as it was read.

        Args:
            kind: Its kind.
            name: Its name, empty if that cannot be read.
            reason: Why it is left out.
        """
        self._metrics.count("skipped_objects_total", kind=kind)
        if self._limit.allows(kind):
            self._log.write(
                "store",
                "Skipped an object that cannot be used.",
                kind=kind,
                name=name,
                reason=reason,
            )

    def note_failure(
        self, kind: str, name: str, found: failure.Failure
    ) -> None:
        """Record an object whose decoder returned a failure."""
        self.note(kind, name, found.reason)
