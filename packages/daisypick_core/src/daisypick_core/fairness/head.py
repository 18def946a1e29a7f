"""Adds up the service of a part of a service's organisations.

A head receives agents' marks from the collectors and turns their growth into
virtual service. All its state is soft. Marks make every addition idempotent.
Each organisation has two heads, which count the same. The one that has
counted longer is in use; the other is told its values and follows them, so
that it can take its place.

Examples:
    >>> head = Head(incarnation="h", share_by_organisation={"union": 2.0})
    >>> report = reports.RelayReport(
    ...     incarnation="c", sequence=1, service="desk", head="",
    ...     agents=1, fleet_time=None, largest=5.0,
    ...     incarnations=["a"],
    ...     marks_by_organisation={"union": [reports.RelayMark(0, 10.0, 0.0)]},
    ...     reach_by_organisation={"union": 1}, virtual_by_organisation={})
    >>> head.receive(report, 0.0).rows
    [HeadRow(organisation='union', virtual=5.0, reach=1)]
    >>> head.receive(report, 0.0).rows
    [HeadRow(organisation='union', virtual=5.0, reach=1)]

See Also:
    ``daisypick_core.fairness.tally``: why reports merge in any order.
    ``daisypick_core.fairness.virtual_service``: lifts and clamps.
"""

import collections
from collections.abc import Mapping
import math

from daisypick_core.fairness import fan_in
from daisypick_core.fairness import reports
from daisypick_core.fairness import tally
from daisypick_core.fairness import virtual_service

# A partition between regions lasts minutes. A head that is cut off and comes
# back still knows what it counted before, and so counts nothing twice.
RETAIN_SECONDS = 600.0
# Part of the agents believed to be alive that must report to a new head.
SETTLE_PART = 1.0 / 3.0
# Marks that cost as many bytes as one row of a report with its answer.
MARKS_PER_ROW = 5
_SWEEP_SECONDS = 60.0


class _Source:
    """The last state of one collector."""

    def __init__(self) -> None:
        self.sequence = -1
        self.agents = 0
        self.reach_by_organisation: Mapping[str, int] = {}


class Head:
    """Virtual service by organisation, from collectors' reports."""

    def __init__(
        self,
        *,
        incarnation: str,
        share_by_organisation: Mapping[str, float],
        period: float = fan_in.DEFAULT_PERIOD,
    ) -> None:
        self._incarnation = incarnation
        self._fan_in = fan_in.FanIn(period=period)
        self._tally = tally.Tally()
        self._service = virtual_service.VirtualService(
            share_by_organisation=share_by_organisation
        )
        self._source_by_incarnation: dict[str, _Source] = {}
        self._reach: collections.Counter[str] = collections.Counter()
        self._agents = 0
        self._expected_agents = 1
        self._reported_at: float | None = None
        self._settled_at = float("inf")
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._tally)

    def set_shares(self, share_by_organisation: Mapping[str, float]) -> None:
        """Take the shares of a new configuration."""
        self._service.set_shares(share_by_organisation)

    def expect(self, agents: int) -> None:
        """Take how many agents of the service are believed to be alive."""
        self._expected_agents = agents

    def receive(
        self, report: reports.RelayReport, now: float
    ) -> reports.RelayAnswer:
        """Take in a collector's report and answer it.

        A report that is meant for the predecessor at this address is not
        taken in. It lacks the values to go on from, so every lag would be
        forgotten; the answer names this incarnation and they come next.
        """
        if report.head not in ("", self._incarnation):
            return self._answer(report, [], now)
        self._sweep(now)
        self._note_source(report, now)
        self._note_gap(now)
        self._service.set_quiet(self._fan_in.silence)
        self._service.note_largest(report.largest)
        self._note_settling(now)
        replaced = self._take_values(report, now)
        self._service.set_reference(report.fleet_time)
        for organisation in report.reach_by_organisation:
            self._service.activate(organisation, now)
        self._merge_rows(report, replaced, now)
        self._service.refresh(self._reach, now)
        return self._answer(report, self._asked(report), now)

    def virtual(self, organisation: str) -> float | None:
        """Return the virtual service of an organisation, if known."""
        return self._service.virtual(organisation)

    def _note_gap(self, now: float) -> None:
        """Settle anew after a time without reports.

        What grew meanwhile was counted elsewhere. Until every collector has
        reported, a value here may lack some of it, and is not believed. Old
        marks go: growth since then is in the values taken from elsewhere,
        and would be counted again.
        """
        before = self._reported_at
        if before is None or now - before > self._fan_in.silence:
            self._settled_at = float("inf")
            self._tally = tally.Tally()
            self._service.resume(before or 0.0, now)
        self._reported_at = now

    def _note_settling(self, now: float) -> None:
        """Start to settle when enough agents are heard.

        After a restart a head may hear its own collector only, while the
        others still take it for dead. Settled by that alone, it would be
        believed with next to nothing counted.
        """
        is_heard = self._agents >= SETTLE_PART * self._expected_agents
        if is_heard and self._settled_at == float("inf"):
            self._settled_at = now + self._fan_in.silence

    def _note_source(self, report: reports.RelayReport, now: float) -> None:
        rows = len(report.reach_by_organisation)
        marks = sum(map(len, report.marks_by_organisation.values()))
        rows += math.ceil(marks / MARKS_PER_ROW)
        self._fan_in.note(report.incarnation, now, rows=rows)
        source = self._source_by_incarnation.setdefault(
            report.incarnation, _Source()
        )
        # A late report must not bring back who waited a while ago.
        if report.sequence > source.sequence:
            source.sequence = report.sequence
            source.agents = report.agents
            source.reach_by_organisation = report.reach_by_organisation
        self._fan_in.count(now)
        self._source_by_incarnation = {
            incarnation: source
            for incarnation, source in self._source_by_incarnation.items()
            if self._fan_in.is_heard(incarnation)
        }
        self._agents = 0
        self._reach = collections.Counter()
        for source in self._source_by_incarnation.values():
            self._agents += source.agents
            self._reach.update(source.reach_by_organisation)

    def _take_values(self, report: reports.RelayReport, now: float) -> set[str]:
        """Take what the other head has said; return what was replaced.

        A head that has not settled replaces its count. One that has settled
        keeps it, which misses nothing, and takes the other as lower bound.
        """
        values = report.virtual_by_organisation
        if now < self._settled_at:
            return {
                organisation
                for organisation, virtual in values.items()
                if self._service.go_on_from(organisation, virtual, now)
            }
        for organisation, virtual in values.items():
            self._service.follow(organisation, virtual, now)
        return set()

    def _merge_rows(
        self, report: reports.RelayReport, replaced: set[str], now: float
    ) -> None:
        """Merge marks and add what they have grown by.

        While the head has not settled, growth that may be in a value taken
        from the other head is noted and not added: at most a period's growth
        is missed, and none is counted twice. A count too low is made good by
        the other head's; one too high would spread to all.
        """
        taken = report.virtual_by_organisation
        is_settled = now >= self._settled_at
        for organisation, marks in report.marks_by_organisation.items():
            is_added = is_settled or organisation not in taken
            for row in marks:
                key = tally.Key(report.incarnations[row.agent], organisation)
                before = self._tally.get(key)
                growth = self._tally.merge(*key, _read(row), now)
                is_counted = before is not None and organisation not in replaced
                if is_added or is_counted:
                    self._service.grow(organisation, growth, now)

    def _asked(self, report: reports.RelayReport) -> list[reports.HeadRow]:
        asked = {*report.reach_by_organisation, *report.marks_by_organisation}
        return [self._row(organisation) for organisation in sorted(asked)]

    def _row(self, organisation: str) -> reports.HeadRow:
        virtual = self._service.virtual(organisation)
        assert virtual is not None
        return reports.HeadRow(
            organisation=organisation,
            virtual=round(virtual, 3),
            reach=self._reach[organisation],
        )

    def _answer(
        self,
        report: reports.RelayReport,
        rows: list[reports.HeadRow],
        now: float,
    ) -> reports.RelayAnswer:
        return reports.RelayAnswer(
            head=self._incarnation,
            settled_for=max(0.0, now - self._settled_at),
            sequence=report.sequence,
            next_report_in=self._fan_in.next_report_in,
            agents=self._agents,
            fleet_time=self._service.mean,
            active_share=self._service.active_share,
            rows=rows,
        )

    def _sweep(self, now: float) -> None:
        if now - self._swept_at < _SWEEP_SECONDS:
            return
        self._swept_at = now
        self._tally.drop_older(now - RETAIN_SECONDS)
        self._service.drop_older(now - RETAIN_SECONDS)


def _read(row: reports.RelayMark) -> tally.Mark:
    """Return a mark; one without ``included`` was seen here before.

    If it was dropped meanwhile, it starts anew from what it says now.
    """
    included = row.served if row.included is None else row.included
    return tally.Mark(served=row.served, included=included)
