"""What a run measured, by organisation, and the fairness gap.

The gap between two backlogged organisations over a span is the difference of
their services per share in that span. Its largest value over all spans of a
run is the range of the running difference, so one pass over the samples
finds it.

Examples:
    >>> samples = [{"a": 0.0, "b": 0.0}, {"a": 9.0, "b": 2.0},
    ...            {"a": 9.0, "b": 12.0}]
    >>> largest_gap(samples, {"a": 1.0, "b": 2.0})
    8.0
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import typing

from hdrh import histogram

from daisypick_lab import callers

_LONGEST_MICROSECONDS = 600_000_000
_DIGITS = 3
_MICROSECONDS = 1_000_000.0


class Latency:
    """A histogram of seconds."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            1, _LONGEST_MICROSECONDS, _DIGITS
        )

    def record(self, seconds: float) -> None:
        """Add a value."""
        value = int(seconds * _MICROSECONDS)
        self._histogram.record_value(min(_LONGEST_MICROSECONDS, max(1, value)))

    @property
    def count(self) -> int:
        """How many values were recorded."""
        return self._histogram.get_total_count()

    def percentile(self, percent: float) -> float:
        """Return a percentile, seconds; 0 without values."""
        if not self.count:
            return 0.0
        value = self._histogram.get_value_at_percentile(percent)
        return value / _MICROSECONDS


class OrganisationTally:
    """What one organisation asked for and got.

    Attributes:
        sent: Calls begun.
        tokens: Tokens served, prompt and answer.
        open_count: Calls without a final answer now.
        waiting_count: Those of them that have shown no byte.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.tokens = 0.0
        self.open_count = 0
        self.waiting_count = 0
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.refusals_by_code: collections.Counter[int] = collections.Counter()
        self.first_token = Latency()
        self.token_gap = Latency()


class Verdict(typing.NamedTuple):
    """What must not happen, counted over a run.

    Attributes:
        wrong: Answers that were not the request's own, with reasons.
        broken: Answers that were not whole, with reasons.
        ran_twice: Markers of calls that ran more than once though they may
            not be repeated.
        untrue_refusals: Markers of calls that were told "not run" and ran.
    """

    wrong: tuple[str, ...]
    broken: tuple[str, ...]
    ran_twice: tuple[str, ...]
    untrue_refusals: tuple[str, ...]

    @property
    def is_clean(self) -> bool:
        """Whether none of it happened."""
        return not any(self)


class PhaseTally:
    """What one part of a run measured, over all organisations."""

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.first_token = Latency()


class Tally:
    """What a run measured.

    Attributes:
        by_organisation: A tally each.
        faults: Reasons by outcome, for answers that were wrong or broken.
        told_not_run: Markers whose callers heard nothing but "not run".
        phase: Name of the part of the run that is on.
        by_phase: What was measured in each part.
    """

    def __init__(self) -> None:
        self.phase = ""
        self.by_phase: dict[str, PhaseTally] = {}
        self.by_organisation: dict[str, OrganisationTally] = {}
        self.faults: list[tuple[str, str]] = []
        self.told_not_run: set[str] = set()

    def of(self, organisation: str) -> OrganisationTally:
        """Return the tally of an organisation."""
        return self.by_organisation.setdefault(
            organisation, OrganisationTally()
        )

    def count(
        self, organisation: str, marker: str, answered: callers.Answered
    ) -> None:
        """Count the end of a call."""
        own = self.of(organisation)
        own.outcomes[answered.outcome] += 1
        phase = self.by_phase.setdefault(self.phase, PhaseTally())
        phase.outcomes[answered.outcome] += 1
        if answered.first_token_seconds:
            own.first_token.record(answered.first_token_seconds)
            phase.first_token.record(answered.first_token_seconds)
        if answered.outcome == callers.REFUSED:
            own.refusals_by_code[answered.code] += 1
        if answered.outcome in (callers.WRONG, callers.BROKEN):
            reason = f"{organisation} {marker}: {answered.reason}"
            self.faults.append((answered.outcome, reason))

    def verdict(self, runs_by_marker: Mapping[str, int]) -> Verdict:
        """Compare with what the backend servers say that they ran.

        Args:
            runs_by_marker: Runs of all calls, over all backend servers.
        """
        untrue = [m for m in self.told_not_run if runs_by_marker.get(m)]
        twice = [
            marker
            for marker, runs in runs_by_marker.items()
            if runs > 1 and marker.startswith(PLAIN_PREFIX)
        ]
        return Verdict(
            wrong=self._reasons(callers.WRONG),
            broken=self._reasons(callers.BROKEN),
            ran_twice=tuple(sorted(twice)),
            untrue_refusals=tuple(sorted(untrue)),
        )

    def _reasons(self, outcome: str) -> tuple[str, ...]:
        return tuple(
            reason for found, reason in self.faults if found == outcome
        )


PLAIN_PREFIX = "plain-"


def largest_gap(
    samples: Sequence[Mapping[str, float]],
    share_by_organisation: Mapping[str, float],
) -> float:
    """Return the largest gap in service per share over all spans and pairs.

    Args:
        samples: Service so far by organisation, in the order of time.
        share_by_organisation: The organisations that count, all backlogged
            from the first sample to the last.
    """
    largest = 0.0
    for first, second in itertools.combinations(share_by_organisation, 2):
        differences = [
            sample.get(first, 0.0) / share_by_organisation[first]
            - sample.get(second, 0.0) / share_by_organisation[second]
            for sample in samples
        ]
        if differences:
            largest = max(largest, max(differences) - min(differences))
    return largest
