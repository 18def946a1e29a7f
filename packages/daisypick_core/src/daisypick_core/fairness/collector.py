"""Gathers the reports of a data centre's agents and relays them to heads.

A collector makes no decisions. It joins its agents' marks, forwards to each
head those that this head has not acknowledged, and responds to the agents
with the heads' latest values. Two concurrent collectors are harmless, since
marks merge in any order. When a collector fails, its agents report to the
next one, and their reports contain the complete state.

See Also:
    ``daisypick_core.fairness.head``: how heads process the marks.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import typing

from daisypick_core.fairness import fan_in
from daisypick_core.fairness import head_view
from daisypick_core.fairness import reports
from daisypick_core.fairness import tally

RETAIN_SECONDS = 600.0
_SWEEP_SECONDS = 60.0


class _AgentState:
    """The latest state of one reporting agent."""

    def __init__(self) -> None:
        self.sequence = -1
        self.waiting: frozenset[str] = frozenset()


class _HeadValue(typing.NamedTuple):
    """The latest values of an organisation from its head in use."""

    head: str
    virtual: float
    reach: int
    received_at: float


class Collector:
    """Relays the marks of a data centre's agents to the heads."""

    def __init__(
        self,
        *,
        incarnation: str,
        service: str,
        heads_of: Callable[[str], Sequence[str]],
        period: float = fan_in.DEFAULT_PERIOD,
    ) -> None:
        self._incarnation = incarnation
        self._service = service
        self._heads_of = heads_of
        self._period = period
        self._fan_in = fan_in.FanIn(period=period)
        self._tally = tally.Tally()
        self._agent_by_incarnation: dict[str, _AgentState] = {}
        self._value_by_organisation: dict[str, _HeadValue] = {}
        self._view_by_head: dict[str, head_view.HeadView] = {}
        self._largest = 0.0
        self._sequence = 0
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._tally)

    def receive(
        self, report: reports.AgentReport, now: float
    ) -> reports.AgentResponse:
        """Merge an agent's report and return the response."""
        self._sweep(now)
        self._largest = max(self._largest, report.largest)
        self._record_agent(report, now)
        for row in report.rows:
            mark = tally.Mark(served=row.served, included=row.included)
            self._tally.merge(report.incarnation, row.organisation, mark, now)
        views = self._fresh_views(now)
        return reports.AgentResponse(
            sequence=report.sequence,
            next_report_in=self._fan_in.next_report_in,
            agents=max((view.agents for view in views), default=0),
            fleet_time=head_view.mean_time(views) or 0.0,
            rows=self._fleet_rows(report, now),
        )

    def make_relays(
        self, heads: Iterable[str], now: float
    ) -> list[tuple[str, reports.RelayReport]]:
        """Return the reports that are due, with the address of the head."""
        if self._fan_in.count(now) == 0:
            return []
        reach = self._count_reach()
        reach_by_head: dict[str, dict[str, int]] = {}
        for organisation, agents in reach.items():
            for head in self._heads_of(organisation):
                reach_by_head.setdefault(head, {})[organisation] = agents
        return [
            (head, self._relay(head, reach_by_head.get(head, {}), now))
            for head in heads
            if self._view(head).next_report_at <= now
        ]

    def answered(
        self, head: str, answer: reports.RelayResponse, now: float
    ) -> None:
        """Handle a head's response.

        A response to an earlier report is dropped: the marks that it
        acknowledges are sent again, which has no effect at the head.
        """
        view = self._view(head)
        if answer.sequence != view.sent_sequence:
            return
        if view.incarnation not in ("", answer.head):
            # The head has restarted and discarded the report: resend all.
            self._view_by_head[head] = head_view.HeadView()
            self._view_by_head[head].incarnation = answer.head
            return
        view.incarnation = answer.head
        view.settled_at = float("inf")
        if answer.settled_for > 0.0:
            view.settled_at = now - answer.settled_for
        view.received_at = now
        view.record_agents(answer.agents)
        view.fleet_time = answer.fleet_time
        view.active_share = answer.active_share
        view.next_report_at = now + answer.next_report_in
        head_view.compare_agents(self._fresh_views(now))
        view.acknowledged.update(view.sent)
        self._store_values(head, view, answer.rows, now)
        view.sent = {}

    def agents_by_head(self, now: float) -> dict[str, int]:
        """Return how many agents' reports reach each head that responds."""
        return {
            head: view.agents
            for head, view in self._view_by_head.items()
            if self._is_fresh(view, now)
        }

    def retry(self, head: str, now: float) -> None:
        """Make a report to a head due now, since its last one was lost."""
        self._view(head).next_report_at = now

    def _view(self, head: str) -> head_view.HeadView:
        return self._view_by_head.setdefault(head, head_view.HeadView())

    def _store_values(
        self,
        head: str,
        view: head_view.HeadView,
        rows: Iterable[reports.HeadRow],
        now: float,
    ) -> None:
        """Store a head's values of organisations for which it is in use."""
        used: set[str] = set()
        answer_head = view.incarnation
        for row in rows:
            if self._head_in_use(row.organisation, now) != head:
                continue
            before = self._value_by_organisation.get(row.organisation)
            self._value_by_organisation[row.organisation] = _HeadValue(
                head=answer_head,
                virtual=row.virtual,
                reach=row.reach,
                received_at=now,
            )
            if before is None or before.head != answer_head:
                self._acknowledge_all(row.organisation, view)
            used.add(row.organisation)
        for key, served in view.sent.items():
            if key.organisation in used:
                self._tally.acknowledge(key, served)

    def _acknowledge_all(
        self, organisation: str, view: head_view.HeadView
    ) -> None:
        """Acknowledge all that a head which is now in use has counted.

        Its value includes the marks that it counted while the other head was
        in use. If they stayed unacknowledged, the next head would count them
        twice.
        """
        for key, _ in list(self._tally.of(organisation)):
            served = view.acknowledged.get(key)
            if served is not None:
                self._tally.acknowledge(key, served)

    def _head_in_use(self, organisation: str, now: float) -> str | None:
        """Return the head whose values are used.

        Each organisation has two heads that count the same marks, so that no
        value has to be transferred when one fails or messages are lost. The
        one that has been counting longer is used: a restarted head has missed
        some growth, which would cause a permanent error. So has one that some
        collectors do not reach; it is used only until the other has settled.
        """
        fresh = [
            head
            for head in self._heads_of(organisation)
            if self._is_fresh(self._view(head), now)
        ]
        if not fresh:
            return None
        settled = [
            head for head in fresh if self._view(head).settled_at < float("inf")
        ]
        if not settled:
            return fresh[0]
        complete = [head for head in settled if not self._view(head).is_behind]
        candidates = complete or settled
        settled_at = [self._view(head).settled_at for head in candidates]
        oldest = min(settled_at)
        # Heads that settled at about the same time are chosen by rank, so
        # that jitter does not alternate between them.
        margin = self._fan_in.timeout
        return next(
            head
            for head, moment in zip(candidates, settled_at, strict=True)
            if moment <= oldest + margin
        )

    def _record_agent(self, report: reports.AgentReport, now: float) -> None:
        self._fan_in.note(report.incarnation, now, rows=len(report.rows))
        agent = self._agent_by_incarnation.setdefault(
            report.incarnation, _AgentState()
        )
        # A late report must not replace the newer set of waiting
        # organisations.
        if report.sequence > agent.sequence:
            agent.sequence = report.sequence
            agent.waiting = frozenset(
                row.organisation for row in report.rows if row.is_waiting
            )

    def _fleet_rows(
        self, report: reports.AgentReport, now: float
    ) -> list[reports.FleetRow]:
        rows = []
        for row in report.rows:
            value = self._value_by_organisation.get(row.organisation)
            mark = self._tally.get(
                tally.Key(report.incarnation, row.organisation)
            )
            # An old value must not be compared with the current virtual time.
            if value is None or not self._is_recent(value.received_at, now):
                continue
            assert mark is not None
            rows.append(
                reports.FleetRow(
                    organisation=row.organisation,
                    virtual=value.virtual,
                    included=mark.included,
                    reach=value.reach,
                )
            )
        return rows

    def _is_recent(self, received_at: float, now: float) -> bool:
        return now - received_at <= self._fan_in.timeout

    def _is_fresh(self, view: head_view.HeadView, now: float) -> bool:
        return self._is_recent(view.received_at, now)

    def _fresh_views(self, now: float) -> list[head_view.HeadView]:
        return [
            view
            for view in self._view_by_head.values()
            if self._is_fresh(view, now)
        ]

    def _count_reach(self) -> collections.Counter[str]:
        """Return the number of agents at which each organisation waits."""
        reach: collections.Counter[str] = collections.Counter()
        for incarnation, agent in self._agent_by_incarnation.items():
            if self._fan_in.is_active(incarnation):
                reach.update(agent.waiting)
        return reach

    def _relay(
        self, head: str, reach: dict[str, int], now: float
    ) -> reports.RelayReport:
        self._sequence += 1
        view = self._view(head)
        view.sent_sequence = self._sequence
        view.next_report_at = now + self._period
        view.sent = {}
        index_by_incarnation: dict[str, int] = {}
        marks_by_organisation: dict[str, list[reports.RelayMark]] = {}
        for key, mark in self._tally.items():
            acknowledged = view.acknowledged.get(key)
            if acknowledged is not None and mark.served <= acknowledged:
                continue
            if head not in self._heads_of(key.organisation):
                continue
            view.sent[key] = mark.served
            index = index_by_incarnation.setdefault(
                key.incarnation, len(index_by_incarnation)
            )
            is_new = acknowledged is None
            row = reports.RelayMark(
                agent=index,
                served=mark.served,
                included=mark.included if is_new else None,
            )
            marks_by_organisation.setdefault(key.organisation, []).append(row)
        organisations = {key.organisation for key in view.sent}.union(reach)
        return reports.RelayReport(
            incarnation=self._incarnation,
            sequence=self._sequence,
            service=self._service,
            head=view.incarnation,
            agents=self._fan_in.count(now),
            fleet_time=head_view.mean_time(self._fresh_views(now)),
            largest=self._largest,
            incarnations=list(index_by_incarnation),
            marks_by_organisation=marks_by_organisation,
            reach_by_organisation=reach,
            virtual_by_organisation=self._values_for(view, organisations),
        )

    def _values_for(
        self, view: head_view.HeadView, organisations: Iterable[str]
    ) -> dict[str, float]:
        """Return the values of other heads for this one to adopt."""
        return {
            organisation: self._value_by_organisation[organisation].virtual
            for organisation in sorted(organisations)
            if organisation in self._value_by_organisation
            and self._value_by_organisation[organisation].head
            != view.incarnation
        }

    def _sweep(self, now: float) -> None:
        if now - self._swept_at < _SWEEP_SECONDS:
            return
        self._swept_at = now
        moment = now - RETAIN_SECONDS
        for key in self._tally.drop_older(moment):
            for view in self._view_by_head.values():
                view.acknowledged.pop(key, None)
        self._agent_by_incarnation = {
            incarnation: agent
            for incarnation, agent in self._agent_by_incarnation.items()
            if self._fan_in.is_active(incarnation)
        }
        self._value_by_organisation = {
            organisation: value
            for organisation, value in self._value_by_organisation.items()
            if value.received_at >= moment
        }
