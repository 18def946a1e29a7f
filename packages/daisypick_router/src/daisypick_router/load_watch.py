"""A timer that tells how late this process runs."""

from collections.abc import Callable
import time

import gevent

from daisypick_core.serving import overload as overloads
from daisypick_router import log as logs

_PERIOD_SECONDS = 0.05
# What is seen by a loop that is later than this tells nothing of how long
# others took; first tokens take some times as long.
_LATE_SECONDS = 0.02


class LoadWatch:
    """Feeds ``overload`` and logs when it begins and ends.

    ``find_wait(now)`` tells how long requests wait to begin; callers wait for
    that as they do for a late loop.
    """

    def __init__(
        self, *, log: logs.Log, find_wait: Callable[[float], float]
    ) -> None:
        self.overload = overloads.Overload()
        self._log = log
        self._find_wait = find_wait
        self._woke_at = time.monotonic()
        self._last_lag = 0.0
        self._most_lag = 0.0

    def take_most_lag(self) -> float:
        """Return how late the timer woke at the most since the last call."""
        most, self._most_lag = self._most_lag, 0.0
        return most

    def find_lag(self) -> float:
        """Return how late anything may have been read just now, in seconds.

        The greater of how late the timer woke last and how late it is now:
        after a stall other things may run before it does.
        """
        overdue = time.monotonic() - self._woke_at - _PERIOD_SECONDS
        return max(self._last_lag, overdue, 0.0)

    def is_late(self) -> bool:
        """Tell whether what is seen now may have come some time ago."""
        return self.find_lag() > _LATE_SECONDS

    def start(self) -> None:
        """Begin to watch."""
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            slept_at = time.monotonic()
            gevent.sleep(_PERIOD_SECONDS)
            # The loop wakes timers before greenlets that are ready to run, of
            # which a flood leaves hundreds: timers keep time while callers
            # wait. This goes through that queue once.
            gevent.sleep(0)
            now = time.monotonic()
            self.take(now - slept_at - _PERIOD_SECONDS, now)

    def take(self, lag: float, now: float) -> None:
        """Take how late the timer woke."""
        self._woke_at = now
        self._last_lag = max(lag, 0.0)
        self._most_lag = max(self._most_lag, lag)
        was_ready = self.overload.is_ready
        self.overload.note_lag(max(lag, self._find_wait(now)), now)
        if was_ready != self.overload.is_ready:
            say = "Overloaded; not ready." if was_ready else "Ready again."
            self._log.write(
                "process", say, lag_seconds=round(self.overload.lag, 3)
            )
