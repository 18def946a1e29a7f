"""Organisations, services, backend servers and data centres.

A configuration is one immutable value with a generation. Generations are
monotonic: a node never replaces its configuration by one of a lower
generation.

Examples:
    >>> EMPTY.generation, len(EMPTY.organisations_by_name)
    (0, 0)
"""

from collections.abc import Mapping
import types
import typing

MODEL = "model"
PLAIN = "plain"


class Organisation(typing.NamedTuple):
    """An organisation that shares the capacity of the fleet.

    Attributes:
        name: Unique name.
        share: Relative share of the capacity, above 0.
        key_hashes: SHA-256 (hex) of each API key of the organisation.
        max_queued: Requests that may wait at one router.
        max_open: Requests that may be open at one router.
    """

    name: str
    share: float = 1.0
    key_hashes: tuple[str, ...] = ()
    max_queued: int = 512
    max_open: int = 1024


class Call(typing.NamedTuple):
    """Calls of a plain service, by method and prefix of the path.

    Attributes:
        method: HTTP method, or ``*`` for all.
        path: Prefix of the path, beginning with ``/``.
    """

    method: str
    path: str


class Service(typing.NamedTuple):
    """A service that the organisations use.

    Attributes:
        name: Unique name; callers name it as ``model`` or in the path.
        kind: ``model`` or ``plain``.
        model: Name of the model that the engines load.
        version: Version of the model.
        adapters: Adapters that the engines load.
        not_repeatable: Calls that may run at most once.
    """

    name: str
    kind: str = MODEL
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    not_repeatable: tuple[Call, ...] = ()


class BackendServer(typing.NamedTuple):
    """A backend server and the agent that controls admission to it.

    Attributes:
        name: Unique name.
        service: Name of the service that it serves.
        data_centre: Name of its data centre.
        address: ``host:port`` of the server itself.
        agent: ``host:port`` of its agent.
        slots: Maximum concurrent requests when warm.
        cold_slots: Maximum concurrent requests during a cold start.
    """

    name: str
    service: str
    data_centre: str
    address: str
    agent: str
    slots: int = 8
    cold_slots: int = 1


class DataCentre(typing.NamedTuple):
    """A data centre; operators take it out of service and back in.

    Attributes:
        name: Unique name.
        region: Name of its region.
        is_in: Whether it is in service and receives new work.
    """

    name: str
    region: str = ""
    is_in: bool = True


class Configuration(typing.NamedTuple):
    """All settings that the operators control.

    Attributes:
        generation: Incremented by each accepted change, 0 for none.
        organisations_by_name: The organisations.
        services_by_name: The services.
        backend_servers_by_name: The backend servers.
        data_centres_by_name: The data centres.
    """

    generation: int
    organisations_by_name: Mapping[str, Organisation]
    services_by_name: Mapping[str, Service]
    backend_servers_by_name: Mapping[str, BackendServer]
    data_centres_by_name: Mapping[str, DataCentre]


EMPTY = Configuration(
    generation=0,
    organisations_by_name=types.MappingProxyType({}),
    services_by_name=types.MappingProxyType({}),
    backend_servers_by_name=types.MappingProxyType({}),
    data_centres_by_name=types.MappingProxyType({}),
)
