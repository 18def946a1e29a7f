"""Whether a process has more callers than its processor can serve.

Callers keep their connections, so one VM may get most of a flood while its
neighbours idle: a VM of 0.387 cores wrote some 950 log lines of requests a
second and read others too late, with 30 a second at the next one. The process
notices by its own timers: one that wakes late tells for how long anything else
waits for the processor. While that goes on it tells the platform that it is
not ready, and after the platform has taken note it ends connections with their
answers, so that their callers connect elsewhere. It is ready again when its
timers keep time and some seconds have passed.

Examples:
    >>> overload = Overload()
    >>> for step in range(10):
    ...     overload.note_lag(0.3, now=0.35 * step)
    >>> overload.is_ready, overload.ends_connections(now=2.8)
    (False, False)
    >>> overload.ends_connections(now=5.0)
    True
    >>> for step in range(40):
    ...     overload.note_lag(0.0, now=5.0 + 0.05 * step)
    >>> overload.is_ready
    True
"""

# Weight of a sample in the smoothed lag. At 20 samples a second it follows
# within a third of a second.
_WEIGHT = 0.15
# Longest lag that one sample counts, in seconds: a VM that was frozen for
# seconds wakes with one late timer and is not overloaded.
_MOST = 0.4
# Smoothed lags, in seconds, at which overload begins and ends. A request waits
# for the loop three to four times; so it loses three quarters of the shortest
# objective, 0.4 s.
_BEGINS = 0.08
_ENDS = 0.02
# The platform takes a VM out after two questions a second apart.
_NOTICE_SECONDS = 2.5
# Shortest time out of rotation, in seconds. Back too soon, the same callers
# return with their next connections.
_LEAST_SECONDS = 4.0


class Overload:
    """Lag of a process's timers, and what follows from it."""

    def __init__(self) -> None:
        self.lag = 0.0
        self._since: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether new callers may be sent here."""
        return self._since is None

    def note_lag(self, seconds: float, now: float) -> None:
        """Take how late a timer woke."""
        self.lag += _WEIGHT * (min(max(seconds, 0.0), _MOST) - self.lag)
        if self._since is None:
            if self.lag >= _BEGINS:
                self._since = now
        elif self.lag <= _ENDS and now - self._since >= _LEAST_SECONDS:
            self._since = None

    def ends_connections(self, now: float) -> bool:
        """Tell whether an answer should end its connection."""
        return (
            self._since is not None
            and now - self._since >= _NOTICE_SECONDS
            and self.lag > _ENDS
        )
