"""Times between the events of a service's recent streams.

An engine is silent while it prefills a long prompt of another request. How long
depends on its prompts and its speed at the moment, so the silences that sound
streams have survived lately tell how long one may last.

Examples:
    >>> times = StreamTimes()
    >>> times.find_silence_limit(now=0.0, least=1.2)
    1.2
    >>> for _ in range(3):
    ...     times.note_silence(2.0, now=1.0)
    >>> times.find_silence_limit(now=2.0, least=1.2)
    3.0
    >>> times.find_silence_limit(now=30.0, least=1.2)
    1.2
    >>> times.note_pace(events=30, seconds=1.5)
    >>> times.event_seconds
    0.05
"""

import heapq
import math

# Longest silences are kept for at least this many seconds, at most twice that.
_KEEP_SECONDS = 10.0
# The third longest silence is used, so that two servers that hung and recovered
# do not make all streams wait; a sound one may last half as long again.
_KEPT_SILENCES = 3
_SILENCE_MARGIN = 1.5
# Exponential decay of the mean pace, per stream.
_PACE_DECAY = 0.95


class StreamTimes:
    """Silences and pace of one service's streams."""

    def __init__(self) -> None:
        self._newer: list[float] = []
        self._older: list[float] = []
        self._rotate_at = -math.inf
        self._events = 0.0
        self._seconds = 0.0

    def note_silence(self, seconds: float, now: float) -> None:
        """Record seconds between two events of a stream."""
        self._rotate(now)
        if len(self._newer) < _KEPT_SILENCES:
            heapq.heappush(self._newer, seconds)
        else:
            heapq.heappushpop(self._newer, seconds)

    def find_silence_limit(self, now: float, *, least: float) -> float:
        """Return after how many seconds without an event a server is suspect.

        Args:
            now: The time.
            least: Least seconds to return.
        """
        self._rotate(now)
        longest = heapq.nlargest(_KEPT_SILENCES, self._newer + self._older)
        if len(longest) < _KEPT_SILENCES:
            return least
        return max(longest[-1] * _SILENCE_MARGIN, least)

    def _rotate(self, now: float) -> None:
        if now < self._rotate_at:
            return
        stale = now >= self._rotate_at + _KEEP_SECONDS
        self._older = [] if stale else self._newer
        self._newer = []
        self._rotate_at = now + _KEEP_SECONDS

    def note_pace(self, *, events: float, seconds: float) -> None:
        """Record that a stream had this many events in these seconds."""
        self._events = self._events * _PACE_DECAY + events
        self._seconds = self._seconds * _PACE_DECAY + seconds

    @property
    def event_seconds(self) -> float | None:
        """Mean seconds from one event to the next, ``None`` if unknown."""
        if not self._events:
            return None
        return self._seconds / self._events
