"""Aggregates the service of a subset of a service's organisations.

A head receives agents' marks from the collectors and converts their growth
into virtual service. All its state is soft state, and marks make every
addition idempotent. Each organisation has two heads that count the same
marks. The one that has been counting longer is in use; the other receives its
values and adopts them, so that it can take over.

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

# Partitions between regions last minutes. A head that reconnects within this
# time still holds the marks it counted before, and so counts nothing twice.
RETAIN_SECONDS = 600.0
# Fraction of the live agents whose reports a new head requires.
SETTLE_FRACTION = 1.0 / 3.0
# Marks that take as many bytes as one row of a report and its response.
MARKS_PER_ROW = 5
_SWEEP_SECONDS = 60.0


class _CollectorState:
    """The latest state of one collector."""

    def __init__(self) -> None:
        self.sequence = -1
        self.agents = 0
        self.reach_by_organisation: Mapping[str, int] = {}


class Head:
    """Computes virtual service by organisation from collectors' reports."""

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
        self._collector_by_incarnation: dict[str, _CollectorState] = {}
        self._reach: collections.Counter[str] = collections.Counter()
        self._agents = 0
        self._expected_agents = 1
        self._reported_at: float | None = None
        self._settled_at = float("inf")
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._tally)

    def set_shares(self, share_by_organisation: Mapping[str, float]) -> None:
        """Set the shares of a new configuration."""
        self._service.set_shares(share_by_organisation)

    def set_expected_agents(self, agents: int) -> None:
        """Set the number of agents of the service considered alive."""
        self._expected_agents = agents

    def receive(
        self, report: reports.RelayReport, now: float
    ) -> reports.RelayResponse:
        """Merge a collector's report and return the response.

        A report for the previous incarnation at this address is discarded. It
        lacks the other heads' values, without which every lag would be lost.
        The response names this incarnation, and the next report holds them.
        """
        if report.head not in ("", self._incarnation):
            return self._answer(report, [], now)
        self._sweep(now)
        self._record_collector(report, now)
        self._detect_gap(now)
        self._service.set_idle_seconds(self._fan_in.timeout)
        self._service.note_largest(report.largest)
        self._start_settling(now)
        replaced = self._adopt_values(report, now)
        self._service.set_reference(report.fleet_time)
        for organisation in report.reach_by_organisation:
            self._service.activate(organisation, now)
        self._merge_rows(report, replaced, now)
        self._service.refresh(self._reach, now)
        return self._answer(report, self._requested_rows(report), now)

    def virtual(self, organisation: str) -> float | None:
        """Return the virtual service of an organisation, if known."""
        return self._service.virtual(organisation)

    def _detect_gap(self, now: float) -> None:
        """Settle again after a gap without reports.

        Growth during the gap was counted by the other head. Until every
        collector has reported, values of this head may lack some of it and
        are not used. Old marks are dropped: growth since then is included in
        the other head's values and would be counted twice.
        """
        before = self._reported_at
        if before is None or now - before > self._fan_in.timeout:
            self._settled_at = float("inf")
            self._tally = tally.Tally()
            self._service.resume(before or 0.0, now)
        self._reported_at = now

    def _start_settling(self, now: float) -> None:
        """Start to settle when enough agents report.

        After a restart a head may receive reports of its own collector only,
        while the others still consider it failed. If these were sufficient,
        its values would be used with almost nothing counted.
        """
        has_enough_reports = (
            self._agents >= SETTLE_FRACTION * self._expected_agents
        )
        if has_enough_reports and self._settled_at == float("inf"):
            self._settled_at = now + self._fan_in.timeout

    def _record_collector(
        self, report: reports.RelayReport, now: float
    ) -> None:
        rows = len(report.reach_by_organisation)
        marks = sum(map(len, report.marks_by_organisation.values()))
        rows += math.ceil(marks / MARKS_PER_ROW)
        self._fan_in.note(report.incarnation, now, rows=rows)
        collector = self._collector_by_incarnation.setdefault(
            report.incarnation, _CollectorState()
        )
        # A late report must not replace the state of a newer one.
        if report.sequence > collector.sequence:
            collector.sequence = report.sequence
            collector.agents = report.agents
            collector.reach_by_organisation = report.reach_by_organisation
        self._fan_in.count(now)
        self._collector_by_incarnation = {
            incarnation: collector
            for incarnation, collector in self._collector_by_incarnation.items()
            if self._fan_in.is_active(incarnation)
        }
        self._agents = 0
        self._reach = collections.Counter()
        for collector in self._collector_by_incarnation.values():
            self._agents += collector.agents
            self._reach.update(collector.reach_by_organisation)

    def _adopt_values(
        self, report: reports.RelayReport, now: float
    ) -> set[str]:
        """Adopt the other head's values; return the replaced organisations.

        A head that has not settled replaces its count. A settled one has a
        complete count, keeps it, and uses the other value as a lower bound.
        """
        values = report.virtual_by_organisation
        if now < self._settled_at:
            return {
                organisation
                for organisation, virtual in values.items()
                if self._service.adopt(organisation, virtual, now)
            }
        for organisation, virtual in values.items():
            self._service.raise_floor(organisation, virtual, now)
        return set()

    def _merge_rows(
        self, report: reports.RelayReport, replaced: set[str], now: float
    ) -> None:
        """Merge marks and add their growth.

        While the head has not settled, growth that a value adopted from the
        other head may include is recorded but not added: at most one period's
        growth is missed, and none is counted twice. The other head's value
        corrects a count that is too low, whereas one that is too high would
        propagate to all heads.
        """
        adopted = report.virtual_by_organisation
        is_settled = now >= self._settled_at
        for organisation, marks in report.marks_by_organisation.items():
            is_added = is_settled or organisation not in adopted
            for row in marks:
                key = tally.Key(report.incarnations[row.agent], organisation)
                before = self._tally.get(key)
                growth = self._tally.merge(*key, _to_mark(row), now)
                is_counted = before is not None and organisation not in replaced
                if is_added or is_counted:
                    self._service.grow(organisation, growth, now)

    def _requested_rows(
        self, report: reports.RelayReport
    ) -> list[reports.HeadRow]:
        requested = {
            *report.reach_by_organisation,
            *report.marks_by_organisation,
        }
        return [self._row(organisation) for organisation in sorted(requested)]

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
    ) -> reports.RelayResponse:
        return reports.RelayResponse(
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


def _to_mark(row: reports.RelayMark) -> tally.Mark:
    """Return the mark of a row.

    A row without ``included`` is of a mark that this head has received
    before. If that was dropped since, it restarts from its current count.
    """
    included = row.served if row.included is None else row.included
    return tally.Mark(served=row.served, included=included)
