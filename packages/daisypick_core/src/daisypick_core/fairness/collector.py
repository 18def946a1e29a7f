"""Gathers the reports of a data centre's agents and relays them to heads.

A collector decides nothing. It joins its agents' marks, passes on those that
no head has acknowledged, and answers the agents from what the heads said
last. Two agents that both collect do no harm, since marks merge in any
order; when one dies, its agents report to the next, and their reports hold
all that matters.

See Also:
    ``daisypick_core.fairness.head``: what becomes of the marks.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import typing

from daisypick_core.fairness import fan_in
from daisypick_core.fairness import reports
from daisypick_core.fairness import tally

RETAIN_SECONDS = 600.0
_SWEEP_SECONDS = 60.0


class _Agent:
    """The last state of one reporting agent."""

    def __init__(self) -> None:
        self.sequence = -1
        self.waiting: frozenset[str] = frozenset()


class _HeadView:
    """What a head said last of its part of the fleet."""

    def __init__(self) -> None:
        self.incarnation = ""
        self.agents = 0
        self.fleet_time = 0.0
        self.active_share = 0.0
        self.next_report_at = float("-inf")
        self.sent_sequence = 0
        self.sent: dict[tally.Key, float] = {}


class _Known(typing.NamedTuple):
    """What a head said last of an organisation."""

    head: str
    virtual: float
    reach: int
    heard_at: float


class Collector:
    """Marks of a data centre's agents on their way to the heads."""

    def __init__(
        self,
        *,
        incarnation: str,
        service: str,
        period: float = fan_in.DEFAULT_PERIOD,
    ) -> None:
        self._incarnation = incarnation
        self._service = service
        self._period = period
        self._fan_in = fan_in.FanIn(period=period)
        self._tally = tally.Tally()
        self._agent_by_incarnation: dict[str, _Agent] = {}
        self._unacknowledged: set[tally.Key] = set()
        self._known_by_organisation: dict[str, _Known] = {}
        self._view_by_head: dict[str, _HeadView] = {}
        self._largest = 0.0
        self._sequence = 0
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._tally)

    def receive(
        self, report: reports.AgentReport, now: float
    ) -> reports.AgentAnswer:
        """Take in an agent's report and answer it."""
        self._sweep(now)
        self._largest = max(self._largest, report.largest)
        self._note_agent(report, now)
        for row in report.rows:
            self._merge(report.incarnation, row, now)
        return reports.AgentAnswer(
            sequence=report.sequence,
            next_report_in=self._fan_in.next_report_in,
            agents=max(
                (view.agents for view in self._view_by_head.values()),
                default=0,
            ),
            fleet_time=self._fleet_time() or 0.0,
            rows=self._fleet_rows(report),
        )

    def make_relays(
        self,
        head_of: Callable[[str], str],
        heads: Iterable[str],
        now: float,
    ) -> list[tuple[str, reports.RelayReport]]:
        """Return the reports that are due, with the address of the head.

        Args:
            head_of: Returns the address of an organisation's head.
            heads: Addresses of all heads of the service.
            now: Time in seconds.
        """
        if self._fan_in.count(now) == 0:
            return []
        heads = list(heads)
        for former in set(self._view_by_head) - set(heads):
            del self._view_by_head[former]
        due = [head for head in heads if self._is_due(head, now)]
        reach_by_head = self._reach_by_head(head_of)
        keys_by_head = self._keys_by_head(head_of, reach_by_head)
        return [
            (
                head,
                self._relay(
                    head,
                    reach_by_head.get(head, {}),
                    keys_by_head.get(head, ()),
                    now,
                ),
            )
            for head in due
        ]

    def answered(
        self, head: str, answer: reports.RelayAnswer, now: float
    ) -> None:
        """Take a head's answer.

        An answer to an earlier report is dropped: what it acknowledges is
        sent again, which changes nothing at the head.
        """
        view = self._view_by_head.get(head)
        if view is None or answer.sequence != view.sent_sequence:
            return
        if view.incarnation not in ("", answer.head):
            # The head has restarted and took nothing in.
            view.incarnation = answer.head
            view.next_report_at = now
            return
        view.incarnation = answer.head
        view.agents = answer.agents
        view.fleet_time = answer.fleet_time
        view.active_share = answer.active_share
        view.next_report_at = now + answer.next_report_in
        for key, served in view.sent.items():
            self._acknowledge(key, served)
        view.sent = {}
        for row in answer.rows:
            self._known_by_organisation[row.organisation] = _Known(
                head=answer.head,
                virtual=row.virtual,
                reach=row.reach,
                heard_at=now,
            )

    def retry(self, head: str, now: float) -> None:
        """Make the report to a head due again; its last one got lost."""
        view = self._view_by_head.get(head)
        if view is not None:
            view.next_report_at = now

    def forget_head(self, head: str) -> None:
        """Drop what a head said that does not answer any more."""
        self._view_by_head.pop(head, None)

    def _note_agent(self, report: reports.AgentReport, now: float) -> None:
        self._fan_in.note(report.incarnation, now)
        agent = self._agent_by_incarnation.setdefault(
            report.incarnation, _Agent()
        )
        if report.sequence > agent.sequence:
            agent.sequence = report.sequence
            agent.waiting = frozenset(
                row.organisation for row in report.rows if row.is_waiting
            )

    def _merge(
        self, incarnation: str, row: reports.AgentRow, now: float
    ) -> None:
        mark = tally.Mark(served=row.served, included=row.included)
        self._tally.merge(incarnation, row.organisation, mark, now)
        key = tally.Key(incarnation=incarnation, organisation=row.organisation)
        joined = self._tally.get(key)
        if joined is not None and joined.served > joined.included:
            self._unacknowledged.add(key)

    def _acknowledge(self, key: tally.Key, served: float) -> None:
        self._tally.acknowledge(key, served)
        mark = self._tally.get(key)
        if mark is None or mark.served <= mark.included:
            self._unacknowledged.discard(key)

    def _fleet_rows(
        self, report: reports.AgentReport
    ) -> list[reports.FleetRow]:
        rows = []
        for row in report.rows:
            known = self._known_by_organisation.get(row.organisation)
            key = tally.Key(
                incarnation=report.incarnation, organisation=row.organisation
            )
            mark = self._tally.get(key)
            if known is not None and mark is not None:
                rows.append(
                    reports.FleetRow(
                        organisation=row.organisation,
                        virtual=known.virtual,
                        included=mark.included,
                        reach=known.reach,
                    )
                )
        return rows

    def _fleet_time(self) -> float | None:
        """Return the mean of the heads' times, weighted by share."""
        views = [
            view
            for view in self._view_by_head.values()
            if view.incarnation and view.active_share > 0.0
        ]
        share = sum(view.active_share for view in views)
        if not share:
            return None
        return (
            sum(view.fleet_time * view.active_share for view in views) / share
        )

    def _is_due(self, head: str, now: float) -> bool:
        view = self._view_by_head.get(head)
        return view is None or view.next_report_at <= now

    def _reach_by_head(
        self, head_of: Callable[[str], str]
    ) -> dict[str, collections.Counter[str]]:
        """Count, by head, the agents at which organisations wait."""
        reach_by_head: dict[str, collections.Counter[str]] = {}
        for incarnation, agent in self._agent_by_incarnation.items():
            if not self._fan_in.is_heard(incarnation):
                continue
            for organisation in agent.waiting:
                head = head_of(organisation)
                counter = reach_by_head.setdefault(head, collections.Counter())
                counter[organisation] += 1
        return reach_by_head

    def _keys_by_head(
        self,
        head_of: Callable[[str], str],
        reach_by_head: dict[str, collections.Counter[str]],
    ) -> dict[str, set[tally.Key]]:
        """Return the marks to send, by head.

        A head that is not the one which last spoke for an organisation is
        sent all of its marks: if it has held it before, as after a partition,
        it knows some marks from then and counts all that grew meanwhile.
        """
        keys_by_head: dict[str, set[tally.Key]] = {}
        for key in self._unacknowledged:
            keys_by_head.setdefault(head_of(key.organisation), set()).add(key)
        moved = {
            organisation: head
            for head, reach in reach_by_head.items()
            for organisation in reach
            if self._has_moved(organisation, head)
        }
        if moved:
            for key, _ in self._tally.items():
                head = moved.get(key.organisation)
                if head is not None:
                    keys_by_head.setdefault(head, set()).add(key)
        return keys_by_head

    def _has_moved(self, organisation: str, head: str) -> bool:
        known = self._known_by_organisation.get(organisation)
        if known is None:
            return False
        view = self._view_by_head.get(head)
        return view is None or view.incarnation != known.head

    def _relay(
        self,
        head: str,
        reach: dict[str, int],
        keys: Iterable[tally.Key],
        now: float,
    ) -> reports.RelayReport:
        self._sequence += 1
        view = self._view_by_head.setdefault(head, _HeadView())
        view.sent_sequence = self._sequence
        view.sent = {}
        view.next_report_at = now + self._period
        rows_by_incarnation: dict[str, list[reports.RelayRow]] = {}
        for key in sorted(keys):
            mark = self._tally.get(key)
            if mark is None:
                continue
            view.sent[key] = mark.served
            rows_by_incarnation.setdefault(key.incarnation, []).append(
                reports.RelayRow(
                    organisation=key.organisation,
                    served=mark.served,
                    included=mark.included,
                )
            )
        organisations = {key.organisation for key in view.sent} | set(reach)
        return reports.RelayReport(
            incarnation=self._incarnation,
            sequence=self._sequence,
            service=self._service,
            head=view.incarnation,
            agents=self._fan_in.count(now),
            fleet_time=self._fleet_time(),
            largest=self._largest,
            rows_by_incarnation=rows_by_incarnation,
            reach_by_organisation=dict(reach),
            virtual_by_organisation={
                organisation: self._known_by_organisation[organisation].virtual
                for organisation in sorted(organisations)
                if self._has_moved(organisation, head)
            },
        )

    def _sweep(self, now: float) -> None:
        if now - self._swept_at < _SWEEP_SECONDS:
            return
        self._swept_at = now
        moment = now - RETAIN_SECONDS
        self._unacknowledged.difference_update(self._tally.drop_older(moment))
        self._agent_by_incarnation = {
            incarnation: agent
            for incarnation, agent in self._agent_by_incarnation.items()
            if self._fan_in.is_heard(incarnation)
        }
        self._known_by_organisation = {
            organisation: known
            for organisation, known in self._known_by_organisation.items()
            if known.heard_at >= moment
        }
