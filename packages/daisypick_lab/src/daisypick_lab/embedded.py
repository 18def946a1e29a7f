"""An embedded fleet: all components in one process, on the loopback.

Agents and routers are the ones that ``daisypickd`` runs and use real sockets;
the platform, the engines and the plain services are stand-ins.
"""

from collections.abc import Callable
import errno
import random
import time

import gevent
from gevent import socket

from daisypick_cli import publication
from daisypick_core.configuration import check
from daisypick_core.configuration import merge
from daisypick_core.results import failure as failure_value
from daisypick_lab import deployments
from daisypick_lab import folder as folder_files
from daisypick_node import process as process_module
from daisypick_node import settings as settings_module
from daisypick_node.agent import process as agent_process
from daisypick_node.platform import budget as call_budget
from daisypick_node.platform import http as http_platform
from daisypick_node.router import process as router_process
from daisypick_standins.engine import server as engine_server
from daisypick_standins.plain import server as plain_server
from daisypick_standins.platform import server as platform_server

FLEET_KEY = "embedded-fleet-key"
OPERATOR_KEY = "embedded-operator-key"
PLAIN_SLOTS = 16
_CALLS_PER_SECOND = 50.0
_POLL_SECONDS = 0.01
_WAIT_SECONDS = 20.0
_PORT_TRIES = 5


class FleetError(Exception):
    """The fleet did not start, or a change did not take effect."""


class EmbeddedFleet:
    """A whole fleet in this process.

    Attributes:
        deployment: Sizes and load of the fleet.
        engines: Engines by name of their backend server.
        plain_services: Plain services by name of their backend server.
        agents: Agents by name of their backend server.
        routers: The routers.
        data_centre_by_server: Data centre of each backend server.
        out: Data centres that are out of service.
    """

    def __init__(
        self, *, deployment: deployments.Deployment, seed: int
    ) -> None:
        self.deployment = deployment
        self.platform = platform_server.Platform()
        self.engines: dict[str, engine_server.Engine] = {}
        self.plain_services: dict[str, plain_server.PlainService] = {}
        self.agents: dict[str, agent_process.AgentProcess] = {}
        self.routers: list[router_process.RouterProcess] = []
        self.data_centre_by_server: dict[str, str] = {}
        self.out: set[str] = set()
        self._server_by_name: dict[str, folder_files.BackendServer] = {}
        self._seed = seed
        self._files = folder_files.organisation_files(deployment)
        self._changes = 0
        self._clients: list[http_platform.HttpPlatformClient] = []
        self._publisher: publication.Publisher | None = None

    def start(self) -> None:
        """Start all components and publish the configuration."""
        self.platform.start()
        self._publisher = publication.Publisher(
            client=self._make_client(),
            clock=time.monotonic,
            sleep=gevent.sleep,
            rng=random.Random(self._seed),
        )
        servers = [*self._start_engines(), *self._start_plain_services()]
        self._server_by_name = {server.name: server for server in servers}
        for name, server in self._server_by_name.items():
            address = listen_on_free_address(
                lambda address, server=server: self._start_agent(
                    server._replace(agent=address)
                )
            )
            self._server_by_name[name] = server._replace(agent=address)
        for number in range(self.deployment.routers):
            listen_on_free_address(
                lambda address, number=number: self._start_router(
                    number, address
                )
            )
        servers = list(self._server_by_name.values())
        self._files.append(folder_files.backend_server_file(servers))
        self.apply()

    def stop(self) -> None:
        """Stop all components."""
        for process in self.processes:
            process.stop()
        for stand_in in [
            *self.engines.values(),
            *self.plain_services.values(),
        ]:
            stand_in.stop()
        for client in self._clients:
            client.close()
        self.platform.stop()

    @property
    def processes(self) -> list[process_module.Process]:
        """The processes of all agents and routers."""
        return [*self.agents.values(), *self.routers]

    @property
    def router_addresses(self) -> list[str]:
        """Addresses to which callers connect."""
        return [router.address for router in self.routers]

    def set_data_centre(self, name: str, *, is_in: bool) -> float:
        """Take a data centre out of or into service.

        Returns:
            Seconds until the change is in force.
        """
        self._changes += 1
        self._files.append(
            folder_files.data_centre_file(self._changes, name, is_in=is_in)
        )
        seconds = self.apply()
        if is_in:
            self.out.discard(name)
        else:
            self.out.add(name)
        return seconds

    def restart_agent(self, name: str) -> None:
        """Stop an agent immediately and start a new one at its address."""
        self.agents[name].stop()
        self._start_agent(self._server_by_name[name])
        generation = max(p.generation for p in self.processes)
        wait_until(
            lambda: self.agents[name].generation >= generation,
            f"agent {name} in generation {generation}",
        )

    def apply(self) -> float:
        """Publish the folder; return the seconds until it is in force.

        Raises:
            FleetError: The folder is invalid, or its configuration can't be
                published or is not in force in time.
        """
        assert self._publisher is not None
        checked = check.check(merge.merge(self._files))
        if checked.configuration is None:
            raise FleetError("\n".join(map(str, checked.faults)))
        base = self._publisher.read()
        if failure_value.is_failure(base):
            raise FleetError(base.reason)
        outcome = self._publisher.publish(checked.configuration, base)
        if not isinstance(outcome, publication.Published):
            raise FleetError(str(outcome))
        accepted_at = time.monotonic()
        generation = outcome.root.generation
        wait_until(
            lambda: all(p.generation >= generation for p in self.processes),
            f"generation {generation} in force",
        )
        return time.monotonic() - accepted_at

    def runs_by_marker(self) -> dict[str, int]:
        """Return the number of runs of each call on all backend servers."""
        total: dict[str, int] = {}
        for runs in [
            *(e.batch.runs_by_marker for e in self.engines.values()),
            *(p.runs_by_marker for p in self.plain_services.values()),
        ]:
            for marker, count in runs.items():
                total[marker] = total.get(marker, 0) + count
        return total

    def runs_in(self, data_centre: str) -> int:
        """Return the number of runs that a data centre's servers began."""
        total = 0
        for name, where in self.data_centre_by_server.items():
            if where != data_centre:
                continue
            if name in self.engines:
                total += self.engines[name].batch.runs_by_marker.total()
            else:
                total += self.plain_services[name].runs_by_marker.total()
        return total

    def overload_count(self) -> int:
        """Return how often a cold engine was overloaded."""
        return sum(
            engine.batch.overload_count for engine in self.engines.values()
        )

    def restart_engines(self, data_centre: str) -> None:
        """Restart the engines of a data centre, with new boot ids."""
        for name, engine in self.engines.items():
            if self.data_centre_by_server[name] == data_centre:
                engine.batch.cold_start.restart(time.monotonic())

    def control_bytes(self) -> int:
        """Return the bytes of control traffic, with calls of the platform."""
        peers = sum(p.peers.traffic.bytes for p in self.processes)
        return peers + sum(c.counters.total_bytes for c in self._clients)

    def _start_engines(self) -> list[folder_files.BackendServer]:
        servers = []
        for number in range(self.deployment.replicas):
            name = f"{self.deployment.model_service}-{number + 1}"
            settings = self.deployment.engine._replace(seed=self._seed + number)
            engine = engine_server.Engine(settings=settings)
            engine.start()
            self.engines[name] = engine
            servers.append(
                self._server(
                    name,
                    number,
                    self.deployment.model_service,
                    engine.address,
                    (settings.slots, settings.cold_slots),
                )
            )
        return servers

    def _start_plain_services(self) -> list[folder_files.BackendServer]:
        servers = []
        for number in range(self.deployment.plain_replicas):
            name = f"{self.deployment.plain_service}-{number + 1}"
            service = plain_server.PlainService(delay=0.01)
            service.start()
            self.plain_services[name] = service
            servers.append(
                self._server(
                    name,
                    number,
                    self.deployment.plain_service,
                    service.address,
                    (PLAIN_SLOTS, PLAIN_SLOTS),
                )
            )
        return servers

    def _server(
        self,
        name: str,
        number: int,
        service: str,
        address: str,
        slots: tuple[int, int],
    ) -> folder_files.BackendServer:
        data_centres = self.deployment.data_centres
        data_centre = data_centres[number % len(data_centres)]
        self.data_centre_by_server[name] = data_centre
        return folder_files.BackendServer(
            name=name,
            service=service,
            data_centre=data_centre,
            address=address,
            agent="",
            slots=slots[0],
            cold_slots=slots[1],
        )

    def _start_agent(self, server: folder_files.BackendServer) -> None:
        agent = agent_process.AgentProcess(
            settings=settings_module.AgentSettings(
                listen=server.agent,
                data_centre=server.data_centre,
                platform=self.platform.address,
                name=server.name,
                fleet_keys=FLEET_KEY,
                operator_keys=OPERATOR_KEY,
            ),
            platform=self._make_client(),
        )
        agent.start()
        self.agents[server.name] = agent

    def _start_router(self, number: int, address: str) -> None:
        data_centres = self.deployment.data_centres
        router = router_process.RouterProcess(
            settings=settings_module.RouterSettings(
                listen=address,
                data_centre=data_centres[number % len(data_centres)],
                platform=self.platform.address,
                fleet_keys=FLEET_KEY,
                operator_keys=OPERATOR_KEY,
            ),
            platform=self._make_client(),
            rng=random.Random(f"{self._seed}/router/{number}"),
        )
        router.start()
        self.routers.append(router)

    def _make_client(self) -> http_platform.HttpPlatformClient:
        client = http_platform.HttpPlatformClient(
            address=self.platform.address,
            budget=call_budget.CallBudget(rate=_CALLS_PER_SECOND),
        )
        self._clients.append(client)
        return client


def free_address() -> str:
    """Return a loopback address with a port that is free now."""
    probe = socket.socket()
    probe.bind(("127.0.0.1", 0))
    _, port = probe.getsockname()
    probe.close()
    return f"127.0.0.1:{port}"


def listen_on_free_address(start: Callable[[str], None]) -> str:
    """Call ``start`` with a free address and return the address.

    Another program may bind the port between the search and the start, which
    happens on machines with much traffic; then another port is tried.

    Raises:
        FleetError: The port was in use at every try.
    """
    for _ in range(_PORT_TRIES):
        address = free_address()
        try:
            start(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        return address
    raise FleetError(f"no free port in {_PORT_TRIES} tries")


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Wait until a condition holds.

    Raises:
        FleetError: The condition did not hold in time.
    """
    deadline = time.monotonic() + _WAIT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise FleetError(f"timed out waiting for: {description}")
        gevent.sleep(_POLL_SECONDS)
