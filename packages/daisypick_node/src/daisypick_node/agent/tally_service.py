"""Exchanges the organisations' usage between agents over HTTP.

Routes, for processes of the fleet:

* ``POST /internal/tally/agent``: report of an agent to its collector;
* ``POST /internal/tally/relay``: report of a collector to a head.

Each agent derives the collectors from the agents that it considers alive; see
``daisypick_core.fairness.tally_node`` for the decisions.
"""

from collections.abc import Callable
import random
import typing

import gevent.pool

from daisypick_core.configuration import model
from daisypick_core.fairness import fan_in
from daisypick_core.fairness import reports
from daisypick_core.fairness import share_order
from daisypick_core.fairness import tally_node
from daisypick_core.membership import directory as member_directory
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node import logs
from daisypick_node.http import peers as peers_module
from daisypick_node.http import routes

PREFIX = "/internal/tally/"
AGENT = f"{PREFIX}agent"
RELAY = f"{PREFIX}relay"
AGENTS_UPDATE_SECONDS = 2.0

_log = logs.PartLog("tally")


class TallyService:
    """Sends and receives the messages of the tally node of one agent."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        order: share_order.ShareOrder,
        peers: peers_module.Peers,
        members: Callable[[], list[member_directory.Member]],
        clock: Callable[[], float],
        rng: random.Random,
        period: float = fan_in.DEFAULT_PERIOD,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._order = order
        self._peers = peers
        self._members = members
        self._clock = clock
        self._rng = rng
        self._period = period
        self._greenlets = gevent.pool.Group()
        self._configuration = model.EMPTY
        self._server: model.BackendServer | None = None
        self._next_agents = 0.0
        self.node: tally_node.TallyNode | None = None

    def handlers(self) -> routes.Routes:
        """Return the handlers by route."""
        return {
            routes.Route("POST", AGENT): self._serve_agent,
            routes.Route("POST", RELAY): self._serve_relay,
        }

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Apply the shares and the backend server of this agent."""
        self._configuration = configuration
        server = configuration.backend_servers_by_name.get(self._name)
        before = self._server
        self._server = server
        if server is None:
            self.node = None
            return
        shares = self._shares()
        location = (server.service, server.agent, server.data_centre)
        if self.node is None or before is None or location != _location(before):
            self.node = self._make_node(server, shares)
        self.node.set_shares(shares)
        self._next_agents = 0.0

    def tick(self) -> None:
        """Send the reports that are due, each in a greenlet."""
        if self.node is None:
            return
        now = self._clock()
        if now >= self._next_agents:
            self._next_agents = now + AGENTS_UPDATE_SECONDS
            self.node.set_agents(self._agents())
        for send in self.node.tick(now):
            self._greenlets.spawn(self._send, self.node, send)

    def stop(self) -> None:
        """Stop sending reports."""
        self._greenlets.kill()

    def describe(self) -> dict[str, typing.Any]:
        """Return the state for a state dump."""
        if self.node is None:
            return {
                "collector": "",
                "heads": [],
                "agents": 0,
                "agents_by_head": {},
            }
        return {
            "collector": self.node.collector_address,
            "heads": list(self.node.heads),
            "agents": self.node.known_agents,
            "agents_by_head": self.node.agents_by_head(self._clock()),
        }

    def _shares(self) -> dict[str, float]:
        organisations = self._configuration.organisations_by_name
        return {name: one.share for name, one in organisations.items()}

    def _make_node(
        self, server: model.BackendServer, shares: dict[str, float]
    ) -> tally_node.TallyNode:
        _log.say(
            "Exchanges usage with the agents of the service.",
            service=server.service,
        )
        return tally_node.TallyNode(
            address=server.agent,
            data_centre=server.data_centre,
            service=server.service,
            incarnation=self._incarnation,
            order=self._order,
            share_by_organisation=shares,
            period=self._period,
            # Random, so that agents started together do not report at once.
            first_report_in=self._period * self._rng.random(),
        )

    def _agents(self) -> list[tally_node.TallyAgent]:
        """Return the agents of the service that are considered alive."""
        assert self._server is not None
        live = {member.address for member in self._members()}
        live.add(self._server.agent)
        servers = self._configuration.backend_servers_by_name.values()
        return [
            tally_node.TallyAgent(
                address=server.agent, data_centre=server.data_centre
            )
            for server in servers
            if server.service == self._server.service and server.agent in live
        ]

    def _send(self, node: tally_node.TallyNode, send: tally_node.Send) -> None:
        if isinstance(send.report, reports.AgentReport):
            path, response_type = AGENT, reports.AgentResponse
        else:
            path, response_type = RELAY, reports.RelayResponse
        data = self._peers.call(send.address, "POST", path, send.report)
        response = peers_module.decode(data, response_type)
        if failure_value.is_failure(response):
            _log.say(
                "A report was not answered.",
                address=send.address,
                path=path,
                reason=response.reason,
            )
            node.failed(send.address, self._clock())
        else:
            node.answered(send.address, response, self._clock())

    def _serve_agent(self, call: routes.Call) -> routes.Reply:
        return self._serve(call, reports.AgentReport)

    def _serve_relay(self, call: routes.Call) -> routes.Reply:
        return self._serve(call, reports.RelayReport)

    def _serve(
        self, call: routes.Call, report_type: type[typing.Any]
    ) -> routes.Reply:
        report = peers_module.decode(call.read_body(), report_type)
        if failure_value.is_failure(report):
            return routes.reply_failure(report)
        if self.node is None or self._server is None:
            return routes.reply_failure(
                failure_value.Failure(
                    code=codes.NOT_CONFIGURED, reason="agent: has no server"
                )
            )
        if report.service != self._server.service:
            return routes.reply_failure(
                failure_value.Failure(
                    code=codes.BAD_MESSAGE,
                    reason=f"service: {report.service} is not served here",
                )
            )
        return routes.reply_json(self.node.receive(report, self._clock()))


def _location(server: model.BackendServer) -> tuple[str, str, str]:
    return (server.service, server.agent, server.data_centre)
