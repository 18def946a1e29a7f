"""After how long a refused caller should return.

The delay is the time until there is room: the requests that wait, and the
returns that were promised room before, divided by the rate at which requests
start, less the rate of first tries. An organisation over its share gets room at
its own rate, one within it at that of the service. So callers refused first
return first, at the rate at which they can be served, instead of together.

While first tries alone take all the room, a return only takes it from requests
that can still meet their latency target. It is then delayed by twice the time
for which the overload has lasted: a short one delays nobody for long, and in a
long one callers do not return again and again.

A delay is at most a third of the time that the caller has left. Where no server
takes work, nothing is known of when one will, and delays are spread over a
fixed range, as they are until requests have started for a second.

Examples:
    >>> delays = RetryDelays()
    >>> for number in range(101):
    ...     delays.note_start("flood", now=number / 50.0)
    >>> kwargs = dict(waiting=10, seconds_left=8.0, now=2.0)
    >>> [
    ...     round(delays.choose("flood", scope=Scope.ORGANISATION, **kwargs), 2)
    ...     for _ in range(3)
    ... ]
    [0.25, 0.27, 0.3]
"""

import enum
import math

MIN_SECONDS = 0.05
# Callers wait no longer than this share of their remaining time.
MAX_SHARE_OF_TIME_LEFT = 1.0 / 3.0
# Range in seconds while no rate is known.
UNKNOWN_RANGE = (0.4, 1.4)
# Seconds of observed starts after which a rate is used, and the time constant
# with which it decays.
_OBSERVED_SECONDS = 1.0
_DECAY_SECONDS = 1.0
# Share of a delay over which callers without room are spread. It
# keeps those refused in one moment apart, and nearly keeps their order.
_SPREAD_SHARE = 0.1
# Successive multiples of it, modulo one, are evenly spread.
_GOLDEN_RATIO = 0.618034
# Delay without room, as a multiple of the overload's duration. In the
# simulation of the tests, one serves 3 in 100 fewer within their target in an
# overload of 3 s; four lets callers of one of 1 s wait 12 in 100 longer.
_OVERLOAD_FACTOR = 2.0
# Seconds without a refusal after which an overload has ended.
_OVERLOAD_ENDS_SECONDS = 0.5
# Steps in which due returns are counted.
_STEP_SECONDS = 0.05
_MAX_ORGANISATIONS = 30_000


class Scope(enum.Enum):
    """What has no room."""

    ORGANISATION = "organisation"
    SERVICE = "service"
    NO_SERVER = "no_server"


class _Rate:
    """Events per second, with exponential decay."""

    __slots__ = ("_noted_at", "_sum")

    def __init__(self) -> None:
        self._sum = 0.0
        self._noted_at = 0.0

    def note(self, now: float, count: int = 1) -> None:
        self._sum = self.find(now) * _DECAY_SECONDS + count
        self._noted_at = max(now, self._noted_at)

    def find(self, now: float) -> float:
        age = max(now - self._noted_at, 0.0)
        return self._sum * math.exp(-age / _DECAY_SECONDS) / _DECAY_SECONDS


class _Room:
    """Room of an organisation or of the service, in requests per second."""

    __slots__ = (
        "_arrivals",
        "_due_by_step",
        "_refused_at",
        "_returns",
        "_starts",
        "overloaded_since",
        "promised_until",
    )

    def __init__(self) -> None:
        self._starts = _Rate()
        self._arrivals = _Rate()
        self._returns = _Rate()
        # Refused callers by the step in which they are to return.
        self._due_by_step: dict[int, int] = {}
        # Until when the room is promised to refused callers.
        self.promised_until = -math.inf
        # When the current series of refusals began.
        self.overloaded_since = math.inf
        self._refused_at = -math.inf

    def note_start(self, now: float) -> None:
        self._starts.note(now)

    def note_arrival(self, now: float) -> None:
        self._arrivals.note(now)

    def note_refusal(self, return_at: float, now: float) -> None:
        if now - self._refused_at > _OVERLOAD_ENDS_SECONDS:
            self.overloaded_since = now
        self._refused_at = now
        step = math.ceil(return_at / _STEP_SECONDS)
        self._due_by_step[step] = self._due_by_step.get(step, 0) + 1

    def find_start_rate(self, now: float) -> float:
        return self._starts.find(now)

    def find_return_rate(self, now: float) -> float:
        """Return the starts per second that first tries leave to returns."""
        due = [
            step for step in self._due_by_step if step * _STEP_SECONDS <= now
        ]
        for step in sorted(due):
            self._returns.note(
                step * _STEP_SECONDS, self._due_by_step.pop(step)
            )
        first_tries = self._arrivals.find(now) - self._returns.find(now)
        return self._starts.find(now) - max(first_tries, 0.0)


class RetryDelays:
    """Retry delays of the refusals of one scheduler."""

    def __init__(self) -> None:
        self._service = _Room()
        self._room_by_organisation: dict[str, _Room] = {}
        self._observed_since = math.inf
        self._refusals = 0

    def note_arrival(self, organisation: str, now: float) -> None:
        """Record a request, whether it is a first try or a return."""
        self._service.note_arrival(now)
        self._find(organisation).note_arrival(now)

    def note_start(self, organisation: str, now: float) -> None:
        """Record a start of a request."""
        self._observed_since = min(self._observed_since, now)
        self._service.note_start(now)
        self._find(organisation).note_start(now)

    def _find(self, organisation: str) -> _Room:
        room = self._room_by_organisation.pop(organisation, None)
        if room is None:
            room = _Room()
            if len(self._room_by_organisation) >= _MAX_ORGANISATIONS:
                oldest = next(iter(self._room_by_organisation))
                del self._room_by_organisation[oldest]
        # The dictionary is ordered by the last use.
        self._room_by_organisation[organisation] = room
        return room

    def choose(
        self,
        organisation: str,
        *,
        scope: Scope,
        waiting: int,
        seconds_left: float,
        now: float,
    ) -> float:
        """Return the retry delay of a refusal, in seconds.

        Args:
            organisation: Organisation of the refused request.
            scope: What has no room.
            waiting: Requests of that scope that wait.
            seconds_left: Seconds until the caller's deadline.
            now: The time.
        """
        self._refusals += 1
        longest = max(seconds_left * MAX_SHARE_OF_TIME_LEFT, MIN_SECONDS)
        if (
            scope is Scope.NO_SERVER
            or now - self._observed_since < _OBSERVED_SECONDS
        ):
            shortest, unknown = UNKNOWN_RANGE
            delay = shortest + (unknown - shortest) * self._find_spread()
            return max(min(delay, longest), MIN_SECONDS)
        own = self._find(organisation)
        room = own if scope is Scope.ORGANISATION else self._service
        delay = self._find_room(room, waiting, longest, now)
        own.note_refusal(now + delay, now)
        self._service.note_refusal(now + delay, now)
        return delay

    def _find_room(
        self, room: _Room, waiting: int, longest: float, now: float
    ) -> float:
        per_second = room.find_return_rate(now)
        if per_second * longest >= 1.0:
            begin = now + waiting / room.find_start_rate(now)
            room_at = max(room.promised_until, begin) + 1.0 / per_second
            room_at = max(room_at, now + MIN_SECONDS)
            if room_at <= now + longest:
                room.promised_until = room_at
                return room_at - now
        expected = _OVERLOAD_FACTOR * (now - room.overloaded_since)
        delay = min(max(expected, UNKNOWN_RANGE[0]), longest)
        return max(
            delay * (1.0 - _SPREAD_SHARE * self._find_spread()), MIN_SECONDS
        )

    def _find_spread(self) -> float:
        return self._refusals * _GOLDEN_RATIO % 1.0


class GivenDelays:
    """Retry delays that a scheduler gave last, by organisation.

    For refusals by a router that does not ask the scheduler. They follow the
    delay given last in even steps, so that they return after that one.

    Examples:
        >>> given = GivenDelays()
        >>> given.note("flood", 0.5)
        >>> [round(given.choose("flood", seconds_left=8.0), 2) for _ in "ab"]
        [0.53, 0.51]
        >>> given.choose("flood", seconds_left=0.9)
        0.3
    """

    def __init__(self) -> None:
        self._seconds_by_organisation: dict[str, float] = {}
        self._refusals = 0

    def note(self, organisation: str, seconds: float) -> None:
        """Record the delay of a refusal by the scheduler."""
        self._seconds_by_organisation.pop(organisation, None)
        if len(self._seconds_by_organisation) >= _MAX_ORGANISATIONS:
            oldest = next(iter(self._seconds_by_organisation))
            del self._seconds_by_organisation[oldest]
        self._seconds_by_organisation[organisation] = seconds

    def choose(self, organisation: str, *, seconds_left: float) -> float:
        """Return the retry delay of a refusal, in seconds."""
        self._refusals += 1
        spread = self._refusals * _GOLDEN_RATIO % 1.0
        given = self._seconds_by_organisation.get(organisation)
        if given is None:
            shortest, longest = UNKNOWN_RANGE
            seconds = shortest + (longest - shortest) * spread
        else:
            seconds = given * (1.0 + _SPREAD_SHARE * spread)
        return _bound(seconds, seconds_left)


def _bound(seconds: float, seconds_left: float) -> float:
    longest = round(seconds_left * MAX_SHARE_OF_TIME_LEFT, 6)
    return max(min(seconds, longest), MIN_SECONDS)
