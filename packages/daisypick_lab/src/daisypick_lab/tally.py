"""Measurements of a run by organisation, and the fairness gap.

The gap between two backlogged organisations over an interval is the
difference of their services per share in that interval. Its largest value
over all intervals of a run equals the range of the cumulative difference, so
one pass over the samples finds it.

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
    """A latency histogram."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            1, _LONGEST_MICROSECONDS, _DIGITS
        )

    def record(self, seconds: float) -> None:
        """Record a latency."""
        value = int(seconds * _MICROSECONDS)
        self._histogram.record_value(min(_LONGEST_MICROSECONDS, max(1, value)))

    @property
    def count(self) -> int:
        """Number of recorded values."""
        return self._histogram.get_total_count()

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds; 0 if no value was recorded."""
        if not self.count:
            return 0.0
        value = self._histogram.get_value_at_percentile(percent)
        return value / _MICROSECONDS


class OrganisationTally:
    """Measurements of one organisation.

    Attributes:
        sent: Number of calls begun.
        tokens: Tokens served, of prompts and completions.
        open_count: Number of calls in progress.
        waiting_count: Number of these that have received no byte of the
            response.
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
    """Violations found in a run.

    Attributes:
        wrong: Reasons for responses that belong to another request.
        broken: Reasons for incomplete responses.
        ran_twice: Markers of non-repeatable calls that ran more than once.
        untrue_refusals: Markers of calls that ran but, to their callers,
            were reported as not run.
    """

    wrong: tuple[str, ...]
    broken: tuple[str, ...]
    ran_twice: tuple[str, ...]
    untrue_refusals: tuple[str, ...]

    @property
    def is_clean(self) -> bool:
        """Whether there were no violations."""
        return not any(self)


class PhaseTally:
    """Measurements of one phase of a run, over all organisations."""

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.first_token = Latency()


class Tally:
    """Measurements of a run.

    Attributes:
        by_organisation: Measurements of each organisation.
        faults: Outcome and reason of each wrong or broken response.
        not_run_markers: Markers of calls whose callers received only "not run".
        phase: Name of the current phase.
        by_phase: Measurements of each phase.
    """

    def __init__(self) -> None:
        self.phase = ""
        self.by_phase: dict[str, PhaseTally] = {}
        self.by_organisation: dict[str, OrganisationTally] = {}
        self.faults: list[tuple[str, str]] = []
        self.not_run_markers: set[str] = set()

    def of(self, organisation: str) -> OrganisationTally:
        """Return the tally of an organisation."""
        return self.by_organisation.setdefault(
            organisation, OrganisationTally()
        )

    def count(
        self, organisation: str, marker: str, answered: callers.CallResult
    ) -> None:
        """Record the outcome of a finished call."""
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
        """Compare the outcomes with the runs that backend servers report.

        Args:
            runs_by_marker: Number of runs of each call over all backend
                servers.
        """
        untrue = [m for m in self.not_run_markers if runs_by_marker.get(m)]
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
    """Return the largest gap in service per share over intervals and pairs.

    Args:
        samples: Cumulative service by organisation, in time order.
        share_by_organisation: Shares of the organisations to compare, all
            backlogged from the first sample to the last.
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
