"""One agent's part in the exchange of service reports.

Every agent reports its own service to the collector of its data centre. An
agent performs the roles of collector and head whenever it receives reports
for them; there is no explicit assignment. The driver calls ``tick``
frequently, sends the returned reports to their addresses, and passes on each
response (``answered``) or its absence (``failed``).

A change in service propagates with period ``T`` as follows: it is in the next
report of the agent (up to ``T``), is relayed by the collector (up to ``T``),
and is in the response to the agent's subsequent report (up to ``T``). If a
collector or head fails, the timeouts of two calls and one more period are
added.

Examples:
    >>> order = share_order.ShareOrder(share_by_organisation={})
    >>> node = TallyNode(
    ...     address="10.0.0.1:80", data_centre="sofia", service="desk",
    ...     incarnation="a1", order=order, share_by_organisation={})
    >>> node.set_agents([TallyAgent("10.0.0.1:80", "sofia")])
    >>> node.tick(0.0), node.tick(1.0)
    ([], [])
    >>> node.known_agents
    1
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import typing

from daisypick_core.fairness import collector
from daisypick_core.fairness import fan_in
from daisypick_core.fairness import head
from daisypick_core.fairness import placement
from daisypick_core.fairness import reports
from daisypick_core.fairness import share_order

# Long enough that a failed collector or head is not retried in every period,
# short enough that one which was only slow resumes its roles soon.
SUSPECT_SECONDS = 10.0
MAX_ROWS = 256


class TallyAgent(typing.NamedTuple):
    """An agent of the service that is considered alive."""

    address: str
    data_centre: str


class Send(typing.NamedTuple):
    """Send a report to an address and pass on the response."""

    address: str
    report: reports.Report


class TallyNode:
    """One agent's part in the exchange of service reports."""

    def __init__(
        self,
        *,
        address: str,
        data_centre: str,
        service: str,
        incarnation: str,
        order: share_order.ShareOrder,
        share_by_organisation: Mapping[str, float],
        period: float = fan_in.DEFAULT_PERIOD,
        first_report_in: float = 0.0,
    ) -> None:
        self._address = address
        self._data_centre = data_centre
        self._service = service
        self._incarnation = incarnation
        self._order = order
        self._period = period
        self._collector = collector.Collector(
            incarnation=incarnation,
            service=service,
            heads_of=self._heads_of,
            period=period,
        )
        self._head = head.Head(
            incarnation=incarnation,
            share_by_organisation=share_by_organisation,
            period=period,
        )
        self._agents: tuple[TallyAgent, ...] = ()
        self._suspect_until_by_address: dict[str, float] = {}
        self._failed_once: set[str] = set()
        self._collector_address = address
        self._heads: list[str] = [address]
        self._heads_by_organisation: dict[str, Sequence[str]] = {}
        self._sequence = 0
        self._answered_sequence = 0
        self._last_sequence_by_organisation: dict[str, int] = {}
        self._next_report_at: float | None = None
        self._first_report_in = first_report_in
        self.known_agents = 0

    @property
    def collector_address(self) -> str:
        """Address of the collector that this agent reports to."""
        return self._collector_address

    @property
    def heads(self) -> tuple[str, ...]:
        """Heads of the service according to this agent's view."""
        return tuple(self._heads)

    def agents_by_head(self, now: float) -> dict[str, int]:
        """Return how many agents' reports reach each head that responds.

        It is empty while no agent reports to this one.
        """
        return self._collector.agents_by_head(now)

    def set_shares(self, share_by_organisation: Mapping[str, float]) -> None:
        """Set the shares of a new configuration."""
        self._head.set_shares(share_by_organisation)

    def set_agents(self, agents: Iterable[TallyAgent]) -> None:
        """Set the agents of the service that are considered alive."""
        self._agents = tuple(agents)
        self._head.set_expected_agents(len(self._agents))
        self._assign_roles()

    def tick(self, now: float) -> list[Send]:
        """Return the reports that are due."""
        self._restore_suspects(now)
        sends = []
        if self._next_report_at is None:
            self._next_report_at = now + self._first_report_in
        if self._next_report_at <= now:
            self._next_report_at = now + self._period
            sends += self._deliver(
                self._collector_address, self._make_report(), now
            )
        relays = self._collector.make_relays(self._heads, now)
        for address, relay in relays:
            sends += self._deliver(address, relay, now)
        return sends

    def receive(self, report: reports.Report, now: float) -> reports.Response:
        """Handle a report of an agent or a collector."""
        if isinstance(report, reports.AgentReport):
            return self._collector.receive(report, now)
        return self._head.receive(report, now)

    def answered(
        self, address: str, answer: reports.Response, now: float
    ) -> None:
        """Handle the response to a report."""
        self._failed_once.discard(address)
        if isinstance(answer, reports.RelayResponse):
            self._collector.answered(address, answer, now)
            return
        if answer.sequence <= self._answered_sequence:
            return
        self._answered_sequence = answer.sequence
        self._next_report_at = now + answer.next_report_in
        self.known_agents = answer.agents
        if not answer.agents:
            return
        self._order.set_agents(answer.agents)
        for row in answer.rows:
            service = share_order.FleetService(
                lag=row.virtual - answer.fleet_time,
                included=row.included,
                reach=row.reach,
            )
            self._order.set_fleet_service(row.organisation, service)

    def failed(self, address: str, now: float) -> None:
        """Handle an address that did not respond.

        The first failure may be a lost message, so the report is resent
        immediately. After the second, other agents take over the roles of the
        address.
        """
        if address == self._address:
            return
        if address == self._collector_address:
            self._next_report_at = now
        self._collector.retry(address, now)
        if address not in self._failed_once:
            self._failed_once.add(address)
            return
        self._failed_once.discard(address)
        self._suspect_until_by_address[address] = now + SUSPECT_SECONDS
        self._assign_roles()

    def _deliver(
        self, address: str, report: reports.Report, now: float
    ) -> list[Send]:
        """Handle a report to this agent itself, or return it for sending."""
        if address != self._address:
            return [Send(address=address, report=report)]
        self.answered(address, self.receive(report, now), now)
        return []

    def _make_report(self) -> reports.AgentReport:
        self._sequence += 1
        rows = self._rows()
        for row in rows:
            self._last_sequence_by_organisation[row.organisation] = (
                self._sequence
            )
        return reports.AgentReport(
            incarnation=self._incarnation,
            sequence=self._sequence,
            service=self._service,
            largest=self._order.largest_cost,
            rows=rows,
        )

    def _rows(self) -> list[reports.AgentRow]:
        """Return the rows to report, the least recently sent if too many."""
        waiting = self._order.waiting_organisations
        rows = [
            reports.AgentRow(
                organisation=organisation,
                served=account.served,
                included=account.included,
                is_waiting=organisation in waiting,
            )
            for organisation, account in self._order.accounts().items()
            if organisation in waiting or account.served > account.included
        ]
        if len(rows) > MAX_ROWS:
            last_sequence = self._last_sequence_by_organisation
            rows.sort(key=lambda row: last_sequence.get(row.organisation, 0))
            del rows[MAX_ROWS:]
        return rows

    def _heads_of(self, organisation: str) -> Sequence[str]:
        """Return the two heads of an organisation by descending rank."""
        heads = self._heads_by_organisation.get(organisation)
        if heads is None:
            heads = placement.ranked(organisation, self._heads)[:2]
            self._heads_by_organisation[organisation] = heads
        return heads

    def _restore_suspects(self, now: float) -> None:
        restored = [
            address
            for address, until in self._suspect_until_by_address.items()
            if until <= now
        ]
        for address in restored:
            del self._suspect_until_by_address[address]
        if restored:
            self._assign_roles()

    def _assign_roles(self) -> None:
        """Assign collector and heads among the agents not suspected."""
        usable = [
            agent
            for agent in self._agents
            if agent.address not in self._suspect_until_by_address
        ]
        near = [
            agent.address
            for agent in usable
            if agent.data_centre == self._data_centre
        ]
        addresses = [agent.address for agent in usable] or [self._address]
        self._heads = placement.ranked(f"{self._service}/head", addresses)[
            : placement.count_heads(len(self._agents)) + 1
        ]
        self._heads_by_organisation = {}
        # Two roles would exceed the budget of one agent.
        free = [address for address in near if address not in self._heads]
        collector_key = f"{self._service}/{self._data_centre}/collector"
        collectors = placement.ranked(
            collector_key, free or near or [self._address]
        )[: placement.count_collectors(len(near))]
        self._collector_address = placement.pick(self._address, collectors)
