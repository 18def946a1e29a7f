"""Announces to peers that this agent is idle.

See Also:
    ``daisypick_core.gate.idle_peers``: the reasons and the interval.
"""

import random

import gevent

from daisypick_core.configuration import model
from daisypick_core.gate import gate as core_gate
from daisypick_core.gate import idle_peers
from daisypick_node.agent import attempt_routes
from daisypick_node.http import peers as peers_module


class IdleNotifier:
    """Announces one agent to the other agents of its service."""

    def __init__(
        self,
        *,
        name: str,
        gate: core_gate.Gate,
        peers: peers_module.Peers,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._gate = gate
        self._peers = peers
        self._address = ""
        self._rng = rng
        self._announcer = idle_peers.IdleAnnouncer(rng=rng)
        self._others: list[str] = []

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Set the other agents of the same service."""
        servers = configuration.backend_servers_by_name
        own = servers.get(self._name)
        # Routers identify the agent by its configured address, which can
        # differ from the address on which it listens.
        self._address = own.agent if own is not None else ""
        self._others = [
            server.agent
            for server in servers.values()
            if own is not None
            and server.service == own.service
            and server.name != own.name
            and configuration.data_centres_by_name[server.data_centre].is_in
        ]

    def tick(self, now: float) -> None:
        """Send an announcement to a few peers if one is due."""
        load = self._gate.load()
        if not self._others or not self._announcer.is_due(
            free=load.free, waiting=load.waiting, now=now
        ):
            return
        self._announcer.record_announced(now)
        count = min(idle_peers.PEERS_PER_ANNOUNCEMENT, len(self._others))
        notice = attempt_routes.IdleNotice(agent=self._address, load=load)
        for other in self._rng.sample(self._others, count):
            gevent.spawn(
                self._peers.call, other, "POST", attempt_routes.IDLE, notice
            )
