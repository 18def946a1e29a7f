"""Detects that a process has more callers than its processor can serve.

Callers reuse their connections, so one VM may receive most of a traffic spike
while others are idle: a VM of 0.387 cores logged about 950 requests per second
and read others too late, while the next VM had 30 per second. The process
detects overload by the lag of its own timers, which shows how long everything
else waits for the processor. During overload it reports to the platform that
it is not ready. After the platform has had time to react, it closes connections
after their responses, so that their callers connect to other VMs. It is ready
again when the lag is small and a minimum time has passed.

Examples:
    >>> overload = Overload()
    >>> for step in range(10):
    ...     overload.note_lag(0.3, now=0.35 * step)
    >>> overload.is_ready, overload.closes_connections(now=2.8)
    (False, False)
    >>> overload.closes_connections(now=5.0)
    True
    >>> for step in range(40):
    ...     overload.note_lag(0.0, now=5.0 + 0.05 * step)
    >>> overload.is_ready
    True
"""

# Weight of a sample in the smoothed lag. At 20 samples per second the average
# follows within a third of a second.
_SMOOTHING_WEIGHT = 0.15
# Upper bound of one sample, in seconds: a VM that was frozen for seconds
# resumes with one late timer and is not overloaded.
_MAX_SAMPLE_SECONDS = 0.4
# Smoothed lags, in seconds, at which overload begins and ends. A request waits
# for the event loop three to four times, so at the first value it loses three
# quarters of the shortest latency objective, 0.4 s.
_OVERLOAD_LAG_SECONDS = 0.08
_RECOVERED_LAG_SECONDS = 0.02
# The platform takes a VM out of rotation after two failed readiness probes one
# second apart.
_PROBE_SECONDS = 2.5
# Minimum time out of rotation, in seconds. After a shorter one the same callers
# would return with their next connections.
_MIN_UNREADY_SECONDS = 4.0


class Overload:
    """Overload state of a process, derived from the lag of its timers.

    Attributes:
        lag: Smoothed lag in seconds.
    """

    def __init__(self) -> None:
        self.lag = 0.0
        self._overloaded_since: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the process may receive new connections."""
        return self._overloaded_since is None

    def note_lag(self, seconds: float, now: float) -> None:
        """Record by how much a timer was late."""
        self.lag += _SMOOTHING_WEIGHT * (
            min(max(seconds, 0.0), _MAX_SAMPLE_SECONDS) - self.lag
        )
        if self._overloaded_since is None:
            if self.lag >= _OVERLOAD_LAG_SECONDS:
                self._overloaded_since = now
        elif (
            self.lag <= _RECOVERED_LAG_SECONDS
            and now - self._overloaded_since >= _MIN_UNREADY_SECONDS
        ):
            self._overloaded_since = None

    def closes_connections(self, now: float) -> bool:
        """Return whether connections should close after their response."""
        return (
            self._overloaded_since is not None
            and now - self._overloaded_since >= _PROBE_SECONDS
            and self.lag > _RECOVERED_LAG_SECONDS
        )
