"""A timer that measures the lag of this process's event loop."""

from collections.abc import Callable
import math
import time

import gevent

from daisypick_core.serving import overload as overloads
from daisypick_router import log as logs
from daisypick_router import loops

_PERIOD_SECONDS = 0.05
# With a greater lag, times measured here say nothing about how long others
# took. Times to the first token are only a few times as long.
_LATE_SECONDS = 0.02
# After a greater lag the process may have been suspended. What was received
# meanwhile is read within the time after it.
_STALLED_SECONDS = 0.15
_STALL_EFFECT_SECONDS = 1.0


class LoadWatch:
    """Updates ``overload`` and logs when it begins and ends.

    ``find_wait(now)`` returns how long requests wait to begin, which delays
    callers as the lag of the event loop does.
    """

    def __init__(
        self, *, log: logs.Log, find_wait: Callable[[float], float]
    ) -> None:
        self.overload = overloads.Overload()
        self._log = log
        self._find_wait = find_wait
        self._woke_at = time.monotonic()
        self._last_lag = 0.0
        self._max_lag = 0.0
        self._stalled_at = -math.inf

    def take_max_lag(self) -> float:
        """Return and reset the greatest timer lag since the last call."""
        max_lag, self._max_lag = self._max_lag, 0.0
        return max_lag

    def find_lag(self) -> float:
        """Return by how many seconds data may have been read late just now.

        The greater of the timer's last lag and its current delay: after a
        stall, other greenlets may run before the timer does.
        """
        overdue = time.monotonic() - self._woke_at - _PERIOD_SECONDS
        return max(self._last_lag, overdue, 0.0)

    def is_late(self) -> bool:
        """Return whether data read now may have arrived some time before."""
        return self.find_lag() > _LATE_SECONDS

    def has_stalled(self) -> bool:
        """Return whether the process may have been suspended a moment ago."""
        return (
            self.find_lag() > _STALLED_SECONDS
            or time.monotonic() - self._stalled_at < _STALL_EFFECT_SECONDS
        )

    def start(self) -> None:
        """Start the timer."""
        loops.spawn(self._run)

    def _run(self) -> None:
        while True:
            slept_at = time.monotonic()
            gevent.sleep(_PERIOD_SECONDS)
            # The event loop runs timers before ready greenlets. A load spike
            # leaves hundreds of these, so callers wait while timers are on
            # time. This waits for one pass through that queue.
            gevent.sleep(0)
            now = time.monotonic()
            self.record_lag(now - slept_at - _PERIOD_SECONDS, now)

    def record_lag(self, lag: float, now: float) -> None:
        """Record the lag of one wake-up of the timer."""
        self._woke_at = now
        self._last_lag = max(lag, 0.0)
        if lag > _STALLED_SECONDS:
            self._stalled_at = now
        self._max_lag = max(self._max_lag, lag)
        was_ready = self.overload.is_ready
        self.overload.note_lag(max(lag, self._find_wait(now)), now)
        if was_ready != self.overload.is_ready:
            text = "Overloaded; not ready." if was_ready else "Ready again."
            self._log.write(
                "process", text, lag_seconds=round(self.overload.lag, 3)
            )
