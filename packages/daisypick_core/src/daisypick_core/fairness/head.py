"""Adds up the service of a part of a service's organisations.

A head receives agents' marks from the collectors and turns their growth into
virtual service. All its state is soft. Marks make every addition idempotent,
and a head that takes over from another goes on from the values that the
collectors last heard.

Examples:
    >>> head = Head(incarnation="h", share_by_organisation={"union": 2.0})
    >>> report = reports.RelayReport(
    ...     incarnation="c", sequence=1, service="desk", head="",
    ...     agents=1, fleet_time=None, largest=5.0,
    ...     rows_by_incarnation={"a": [reports.RelayRow("union", 10.0, 0.0)]},
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
from collections.abc import Sequence

from daisypick_core.fairness import fan_in
from daisypick_core.fairness import reports
from daisypick_core.fairness import tally
from daisypick_core.fairness import virtual_service

# A partition between regions lasts minutes. A head that is cut off and comes
# back still knows what it counted before, and so counts nothing twice.
RETAIN_SECONDS = 600.0
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
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._tally)

    def set_shares(self, share_by_organisation: Mapping[str, float]) -> None:
        """Take the shares of a new configuration."""
        self._service.set_shares(share_by_organisation)

    def receive(
        self, report: reports.RelayReport, now: float
    ) -> reports.RelayAnswer:
        """Take in a collector's report and answer it.

        A report that is meant for the predecessor at this address is not
        taken in. It lacks the values to go on from, so every lag would be
        forgotten; the answer names this incarnation and they come next.
        """
        if report.head not in ("", self._incarnation):
            return self._answer(report, [])
        self._sweep(now)
        self._note_source(report, now)
        self._service.set_quiet(self._fan_in.silence)
        self._service.note_largest(report.largest)
        self._take_over_all(report, now)
        self._service.set_reference(report.fleet_time)
        for organisation in report.reach_by_organisation:
            self._service.activate(organisation, now)
        for incarnation, rows in report.rows_by_incarnation.items():
            for row in rows:
                self._count(incarnation, row, now)
        self._service.refresh(self._reach, now)
        return self._answer(report, self._asked(report))

    def virtual(self, organisation: str) -> float | None:
        """Return the virtual service of an organisation, if known."""
        return self._service.virtual(organisation)

    def _note_source(self, report: reports.RelayReport, now: float) -> None:
        self._fan_in.note(report.incarnation, now)
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

    def _count(
        self, incarnation: str, row: reports.RelayRow, now: float
    ) -> None:
        mark = tally.Mark(served=row.served, included=row.included)
        growth = self._tally.merge(incarnation, row.organisation, mark, now)
        self._service.grow(row.organisation, growth, now)

    def _take_over_all(self, report: reports.RelayReport, now: float) -> None:
        """Go on from what another head has said of organisations."""
        marks_by_organisation: dict[str, list[tuple[str, tally.Mark]]] = {
            organisation: [] for organisation in report.virtual_by_organisation
        }
        for incarnation, rows in report.rows_by_incarnation.items():
            for row in rows:
                marks = marks_by_organisation.get(row.organisation)
                if marks is not None:
                    mark = tally.Mark(row.served, row.included)
                    marks.append((incarnation, mark))
        for organisation, virtual in report.virtual_by_organisation.items():
            marks = marks_by_organisation[organisation]
            self._take_over(organisation, virtual, marks, now)

    def _take_over(
        self,
        organisation: str,
        virtual: float,
        marks: Sequence[tuple[str, tally.Mark]],
        now: float,
    ) -> None:
        """Go on from what another head has said of an organisation.

        If this head held the organisation before, two values are at hand:
        what was counted here and grew since by the collector's marks, and
        what the other head said with what it has not acknowledged. Each
        counts no token twice and may miss some, so the higher is closer. The
        first wins after a partition, when each head saw its side; the second
        when only this head was cut off. The old marks must go with the old
        count: the next collector's growth since then is in the new value,
        and would be counted again.
        """
        known = [
            self._tally.get(tally.Key(incarnation, organisation))
            for incarnation, _ in marks
        ]
        own = self._service.virtual(organisation)
        if own is None or not any(known):
            self._service.seed(organisation, virtual, now)
            return
        own_growth = sum(
            max(0.0, mark.served - (before or mark).served)
            for before, (_, mark) in zip(known, marks, strict=True)
        )
        other_growth = sum(mark.served - mark.included for _, mark in marks)
        share = self._service.share(organisation)
        if virtual + other_growth / share > own + own_growth / share:
            self._tally.drop(organisation)
            self._service.restart_from(organisation, virtual, now)

    def _asked(self, report: reports.RelayReport) -> list[reports.HeadRow]:
        asked = set(report.reach_by_organisation)
        for rows in report.rows_by_incarnation.values():
            asked.update(row.organisation for row in rows)
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
        self, report: reports.RelayReport, rows: list[reports.HeadRow]
    ) -> reports.RelayAnswer:
        return reports.RelayAnswer(
            head=self._incarnation,
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
