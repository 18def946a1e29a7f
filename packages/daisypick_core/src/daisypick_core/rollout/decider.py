"""When the traffic of a service moves to a version, and when it is taken back.

One router decides for all. Its plan for an order of so many seconds::

    order      canary        probe      moving               limit
      |--------------------------|--------|--------------------|
       a share of the requests    the rest  all new requests;    old servers
       at some servers            of it at  requests end at      are idle
                                  few       old servers

A fault that the answers show takes the traffic back in each of these phases.
The move begins as late as the end of the requests that still run at old servers
allows, so that what turns bad later has time to show.

A decider that took over in the middle knows only the answers since then. It
approves if it has heard half of the canary and the whole probe.

Examples:
    >>> from daisypick_core.rollout import state as states
    >>> decider = Decider(
    ...     state=states.RolloutState(
    ...         service="desk", number=(0, 7), in_force="v1", target="v2",
    ...         created="7", seconds=12.0, phase=states.Phase.CANARY,
    ...     ),
    ...     started_at=100.0,
    ... )
    >>> decider.decide(now=112.0, has_capacity=True).name
    'ROLLED_BACK'
    >>> decider.reason
    'the target answered 0 requests before the time limit'
"""

from collections.abc import Iterable
import typing

from daisypick_core.rollout import evidence as evidences
from daisypick_core.rollout import state as states
from daisypick_core.rollout import verdict

# Time for the probe: some answers of busy servers, reports of all routers.
_PROBE_SECONDS = 1.5
# Duration of a slice of time whose answers are compared with each other.
_SLICE_SECONDS = 1.0
# Share of the time limit before which no move begins, however long requests
# run.
_MIN_CANARY_SHARE = 0.4
# Time that the move takes besides the requests that still run: a report of each
# router after it has heard of the move, and a write to the platform's store.
_MARGIN_SECONDS = 2.0
# What is left of the time limit when a version that could not be tested is
# rolled back.
_LAST_SECONDS = 0.5
# What longer requests than the longest so far may take, as a multiple of it.
_LONGER_REQUESTS = 1.2
# Fewest answers of a version that may be approved.
_MIN_ANSWERS = 20
# Part of the canary that a decider may have missed. A third of the answers come
# in the canary, so one that has missed half of it knows five in six of them.
_MAX_MISSED_PART = 0.5
# Time after which a router that reports nothing no longer counts: its process
# has ended, or it is cut off and decides for itself.
SILENT_SECONDS = 3.0


class Report(typing.NamedTuple):
    """What a router tells of a roll-out, besides its evidence.

    Attributes:
        router: The router's process.
        phase: Phase that it applies.
        running_elsewhere: Its requests at servers of other versions than the
            target.
        longest: Longest duration in seconds of a request that has ended there.
    """

    router: str
    phase: states.Phase
    running_elsewhere: int
    longest: float


class Decider:
    """Decides on one order.

    Args:
        state: State of the roll-out so far.
        started_at: When the order was given.
        heard_at: Since when the answers are reported to this decider; since
            the order if it is None.

    Attributes:
        state: State of the roll-out; its phase only grows.
        reason: Why it was rolled back; empty before.
    """

    def __init__(
        self,
        *,
        state: states.RolloutState,
        started_at: float,
        heard_at: float | None = None,
    ) -> None:
        self.state = state
        self.reason = ""
        # All answers, and those reported in each phase. What shows only on the
        # servers of the probe or under full load would be hidden by the answers
        # before.
        self._evidence = evidences.Evidence()
        self._recent = evidences.Evidence()
        # Those of the phase in slices of time, and when the last one began.
        self._slices = [evidences.Evidence()]
        self._slice_began_at = started_at
        self._started_at = started_at
        self._heard_at = started_at if heard_at is None else heard_at
        self._report_by_router: dict[str, tuple[float, Report]] = {}

    @property
    def limit_at(self) -> float:
        """When the time limit of the order ends."""
        return self._started_at + self.state.seconds

    def note_report(self, report: Report, now: float) -> None:
        """Record a router's report."""
        self._report_by_router[report.router] = (now, report)

    def add_tally(
        self,
        route: str,
        server: str,
        tally: evidences.Tally,
        *,
        is_target: bool,
    ) -> None:
        """Add answers that a router reported."""
        for evidence in (self._evidence, self._recent, self._slices[-1]):
            evidence.merge(route, server, tally, is_target=is_target)

    def describe_answers(self) -> list[dict[str, object]]:
        """Return the answers of both versions by route, for logs."""
        return self._evidence.describe()

    def merge(self, state: states.RolloutState) -> None:
        """Apply the state that another router told."""
        if self.state.is_of_same_order(state):
            self.state = states.find_later(self.state, state)

    def decide(self, *, now: float, has_capacity: bool) -> states.Phase:
        """Return the phase that applies from now on.

        Args:
            now: The time.
            has_capacity: Whether the target's servers can carry all requests.
        """
        if not self.state.has_ended:
            phase = self._find_phase(now, has_capacity)
            if phase > self.state.phase:
                self._recent = evidences.Evidence()
                self._slices = [evidences.Evidence()]
                self._slice_began_at = now
            elif now - self._slice_began_at >= _SLICE_SECONDS and (
                verdict.is_comparable(self._slices[-1])
            ):
                self._slices.append(evidences.Evidence())
                self._slice_began_at = now
            if phase > self.state.phase:
                self.state = self.state._replace(phase=phase)
        return self.state.phase

    def _find_phase(self, now: float, has_capacity: bool) -> states.Phase:
        if self.state.target == self.state.in_force:
            return states.Phase.MOVING
        move_at = self._find_move_at(now)
        is_last_test = now >= move_at and self.state.is_testing
        fault = self._find_fault(
            verdict.DOUBTED_LOG_ODDS
            if is_last_test
            else verdict.REJECTED_LOG_ODDS
        )
        if fault is not None:
            where = f"route {fault.route}" if fault.route else "all routes"
            self.reason = (
                f"{fault.sign} of {where}: {fault.found} of {fault.answers}"
                f" answers, {fault.expected} expected"
            )
            return states.Phase.ROLLED_BACK
        if self.state.phase is states.Phase.MOVING:
            return states.Phase.MOVING
        answers = self._evidence.count_target()
        is_tested = answers >= _MIN_ANSWERS and self._has_heard(move_at)
        # Also at the limit: a decider that was late rejects no good version.
        if now >= move_at and is_tested and has_capacity:
            return states.Phase.MOVING
        if now >= self.limit_at - _LAST_SECONDS:
            self.reason = self._explain_limit(answers, is_tested=is_tested)
            return states.Phase.ROLLED_BACK
        if now >= move_at - _PROBE_SECONDS:
            return states.Phase.PROBE
        return states.Phase.CANARY

    def _has_heard(self, move_at: float) -> bool:
        """Return whether enough of the test was reported to this decider."""
        canary = move_at - _PROBE_SECONDS - self._started_at
        missed = self._heard_at - self._started_at
        return missed <= canary * _MAX_MISSED_PART

    def _explain_limit(self, answers: int, *, is_tested: bool) -> str:
        if answers < _MIN_ANSWERS:
            return (
                f"the target answered {answers} requests before the time limit"
            )
        if not is_tested:
            return "the router that decides has heard too little of the test"
        return "the target has too few servers at the time limit"

    def _find_fault(self, log_odds: float) -> verdict.Fault | None:
        everything, recent = self._evidence, self._recent
        fault = verdict.find_failures(
            reference=everything, target=everything, log_odds=log_odds
        ) or verdict.find_failures(
            reference=everything, target=recent, log_odds=log_odds
        )
        if fault is not None:
            return fault
        if self.state.phase is states.Phase.MOVING:
            return verdict.find_later_slowness(
                reference=everything, target=recent
            )
        # A doubt is computed for failures only.
        return verdict.find_slowness(self._slices)

    def _find_move_at(self, now: float) -> float:
        seconds = self.state.seconds
        longest = max(
            (report.longest for report in self._find_reports(now)), default=0.0
        )
        latest = seconds - _MARGIN_SECONDS - longest * _LONGER_REQUESTS
        return self._started_at + max(latest, seconds * _MIN_CANARY_SHARE)

    def _find_reports(self, now: float) -> Iterable[Report]:
        for reported_at, report in self._report_by_router.values():
            if now - reported_at < SILENT_SECONDS:
                yield report

    def has_moved(self, *, now: float, routers: int) -> bool:
        """Return whether all traffic has moved to the target.

        Each router that is heard of must apply it and have no request left at
        another version. They must be the most of the fleet, so that a decider
        that is cut off from it does not decide for it.

        Args:
            now: The time.
            routers: Number of routers of the fleet.
        """
        if self.state.phase is not states.Phase.MOVING:
            return False
        reports = list(self._find_reports(now))
        return len(reports) * 2 > routers and all(
            report.phase is states.Phase.MOVING
            and report.running_elsewhere == 0
            for report in reports
        )
