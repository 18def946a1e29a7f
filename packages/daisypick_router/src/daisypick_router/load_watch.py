"""A timer that tells how late this process runs."""

import time

import gevent

from daisypick_core.serving import overload as overloads
from daisypick_router import log as logs

_PERIOD_SECONDS = 0.05


class LoadWatch:
    """Feeds ``overload`` and logs when it begins and ends."""

    def __init__(self, *, log: logs.Log) -> None:
        self.overload = overloads.Overload()
        self._log = log

    def start(self) -> None:
        """Begin to watch."""
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            slept_at = time.monotonic()
            gevent.sleep(_PERIOD_SECONDS)
            now = time.monotonic()
            self.take(now - slept_at - _PERIOD_SECONDS, now)

    def take(self, lag: float, now: float) -> None:
        """Take how late the timer woke."""
        was_ready = self.overload.is_ready
        self.overload.note_lag(lag, now)
        if was_ready != self.overload.is_ready:
            say = "Overloaded; not ready." if was_ready else "Ready again."
            self._log.write(
                "process", say, lag_seconds=round(self.overload.lag, 3)
            )
