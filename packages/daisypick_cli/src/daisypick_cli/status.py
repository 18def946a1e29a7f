"""A summary of the fleet from the dumps of its processes."""

from collections.abc import Iterable
from collections.abc import Iterator
import typing

from daisypick_cli import processes as fleet
from daisypick_core.configuration import model
from daisypick_core.results import failure as failure_value


class FleetDumps(typing.NamedTuple):
    """The stored configuration and the dumps of processes.

    Attributes:
        configuration: The configuration in the store.
        dump_by_address: Dump or failure of each queried process.
    """

    configuration: model.Configuration
    dump_by_address: dict[str, typing.Any]


class DataCentreStatus(typing.TypedDict):
    """Totals of one data centre over the agents that were queried."""

    name: str
    is_in: bool
    agents: int
    answered: int
    draining: int
    behind: int
    running: int
    limit: int
    waiting: int


class RouterStatus(typing.TypedDict):
    """State of one router."""

    address: str
    is_ready: bool
    generation: int
    queued: int
    in_flight: int


class Status(typing.TypedDict):
    """Summary of the fleet."""

    generation: int
    organisations: int
    services: int
    data_centres: list[DataCentreStatus]
    routers: list[RouterStatus]
    unreachable: list[str]


def query_fleet(
    processes: fleet.Processes,
    configuration: model.Configuration,
    *,
    per_data_centre: int,
    routers: Iterable[str],
) -> FleetDumps:
    """Return the dumps of agents and of the given routers.

    If no routers are given, those that the agents know are queried.
    """
    agents = fleet.choose_agents(configuration, per_data_centre)
    dumps = processes.call_each(processes.dump, agents)
    wanted = set(routers) or {
        router
        for dump in dumps.values()
        if not failure_value.is_failure(dump)
        for router in dump.get("configuration", {}).get("routers", [])
    }
    dumps |= processes.call_each(processes.dump, sorted(wanted - dumps.keys()))
    return FleetDumps(configuration=configuration, dump_by_address=dumps)


def summarise(fleet_dumps: FleetDumps) -> Status:
    """Return the summary of the fleet."""
    dumps = {
        address: dump
        for address, dump in fleet_dumps.dump_by_address.items()
        if not failure_value.is_failure(dump)
    }
    configuration = fleet_dumps.configuration
    return Status(
        generation=configuration.generation,
        organisations=len(configuration.organisations_by_name),
        services=len(configuration.services_by_name),
        data_centres=[
            _summarise_data_centre(entry, fleet_dumps, dumps)
            for entry in configuration.data_centres_by_name.values()
        ],
        routers=[
            RouterStatus(
                address=address,
                is_ready=dump["is_ready"],
                generation=dump["generation"],
                queued=dump.get("queued", 0),
                in_flight=dump.get("in_flight", 0),
            )
            for address, dump in dumps.items()
            if dump.get("kind") == "router"
        ],
        unreachable=sorted(fleet_dumps.dump_by_address.keys() - dumps.keys()),
    )


def _summarise_data_centre(
    entry: model.DataCentre,
    fleet_dumps: FleetDumps,
    dumps: dict[str, typing.Any],
) -> DataCentreStatus:
    agents = {
        server.agent
        for server in fleet_dumps.configuration.backend_servers_by_name.values()
        if server.data_centre == entry.name
    }
    agent_dumps = [dumps[agent] for agent in agents if agent in dumps]
    loads = [dump.get("load", {}) for dump in agent_dumps]
    generation = fleet_dumps.configuration.generation
    return DataCentreStatus(
        name=entry.name,
        is_in=entry.is_in,
        agents=len(agents),
        answered=len(agent_dumps),
        draining=sum(bool(load.get("is_draining")) for load in loads),
        behind=sum(dump["generation"] < generation for dump in agent_dumps),
        running=sum(load.get("running", 0) for load in loads),
        limit=sum(load.get("limit", 0) for load in loads),
        waiting=sum(load.get("waiting", 0) for load in loads),
    )


def format_lines(status: Status) -> Iterator[str]:
    """Yield the lines of the human-readable summary."""
    yield (
        f"Generation {status['generation']}: "
        f"{status['organisations']} organisations, "
        f"{status['services']} services."
    )
    for one in status["data_centres"]:
        yield (
            f"{one['name']}: {'in' if one['is_in'] else 'out'}, "
            f"{one['answered']} of {one['agents']} agents answered, "
            f"{one['draining']} draining, {one['behind']} behind, "
            f"running {one['running']} of {one['limit']}, "
            f"waiting {one['waiting']}"
        )
    for one in status["routers"]:
        yield (
            f"router {one['address']}: "
            f"{'ready' if one['is_ready'] else 'not ready'}, "
            f"generation {one['generation']}, queued {one['queued']}, "
            f"in flight {one['in_flight']}"
        )
    for address in status["unreachable"]:
        yield f"unreachable: {address}"
