"""The fleet's configuration as the router uses it.

Times are seconds, sizes bytes or tokens. A configuration is immutable; a
newer one replaces it as a whole, so a request sees one version throughout.

Examples:
    >>> from daisypick_core.serving import route_table
    >>> empty = FleetConfiguration(
    ...     version=1,
    ...     routes=route_table.RouteTable(routes=()),
    ...     service_by_name={},
    ...     organisation_by_key={},
    ...     limits=Limits(),
    ... )
    >>> empty.version
    1
"""

from collections.abc import Mapping
import typing

from daisypick_core.serving import route_table


class Engine(typing.NamedTuple):
    """Shape of a model engine.

    Attributes:
        slots: Requests that run in one batch.
        kv_tokens: Tokens that its KV cache holds.
        copy_token_seconds: Seconds in which one token of KV cache is copied
            from another engine of the service; zero if they cannot copy.
    """

    slots: int
    kv_tokens: int
    copy_token_seconds: float = 0.0


class Service(typing.NamedTuple):
    """A service and what its backend servers bear.

    Attributes:
        name: Name that routes refer to.
        cold_seconds: How long a backend server is cold after its start.
        cold_rate: Requests a second that a cold one bears; zero means that
            it needs no care.
        engine: ``None`` for a plain service.
    """

    name: str
    cold_seconds: float
    cold_rate: float
    engine: Engine | None


class Organisation(typing.NamedTuple):
    """Who sends requests under a key."""

    name: str


class Limits(typing.NamedTuple):
    """What callers may send, and the capacity that is shared.

    Attributes:
        header_bytes: Most bytes of a head.
        body_bytes: Most bytes of a body.
        header_timeout: Seconds for a head to arrive.
        idle_timeout: Seconds that an idle connection is kept.
        tokens_per_second: What all engines of the fleet produce, a token
            read counted once and a token generated twice; zero if unknown.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0
    tokens_per_second: float = 0.0


class FleetConfiguration(typing.NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Rises from one configuration to the next.
        routes: Finds the route of a request.
        service_by_name: The services.
        organisation_by_key: API keys in force.
        limits: Limits of callers.
    """

    version: int
    routes: route_table.RouteTable
    service_by_name: Mapping[str, Service]
    organisation_by_key: Mapping[str, Organisation]
    limits: Limits
