"""The fleet's configuration as the router uses it.

Times are in seconds, sizes in bytes or tokens. A configuration is immutable; a
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

from daisypick_core.serving import backend_server
from daisypick_core.serving import route_table

_VERSION_MARK = "@"


class Engine(typing.NamedTuple):
    """Capacity of a model engine.

    Attributes:
        slots: Maximum number of requests in one batch.
        kv_tokens: Capacity of its KV cache in tokens.
        copy_token_seconds: Seconds to copy one token of KV cache from another
            engine of the service; zero if copying is not supported.
    """

    slots: int
    kv_tokens: int
    copy_token_seconds: float = 0.0


class Service(typing.NamedTuple):
    """A service and the capacity of its backend servers.

    Attributes:
        name: Name that routes refer to.
        cold_seconds: Duration of a backend server's cold start.
        cold_rate: Requests per second that a cold server can handle; zero
            for no limit.
        engine: ``None`` for a plain HTTP service.
        version: Version of the servers that may get a request; ``None`` for
            all of them.

    Examples:
        >>> desk = Service("desk", 0.0, 0.0, None)
        >>> desk.pool, desk._replace(version="v2").pool
        ('desk', 'desk@v2')
    """

    name: str
    cold_seconds: float
    cold_rate: float
    engine: Engine | None
    version: str | None = None

    @property
    def pool(self) -> str:
        """Name of the service and of the version that is selected."""
        if self.version is None:
            return self.name
        return f"{self.name}{_VERSION_MARK}{self.version}"

    def has_server(self, server: backend_server.BackendServer) -> bool:
        """Return whether a server is one of the selected ones."""
        return server.service == self.name and (
            self.version is None or server.version == self.version
        )


class Organisation(typing.NamedTuple):
    """The owner of an API key."""

    name: str


class Limits(typing.NamedTuple):
    """Limits of callers' requests, and the capacity that they share.

    Attributes:
        header_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
        header_timeout: Seconds within which a head must arrive.
        idle_timeout: Seconds for which an idle connection is kept open.
        tokens_per_second: Throughput of all engines of the fleet, a prompt
            token counted once and a generated token twice; zero if unknown.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0
    tokens_per_second: float = 0.0


class FleetConfiguration(typing.NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Increases with each configuration.
        routes: The route table.
        service_by_name: The services.
        organisation_by_key: The owners of the valid API keys.
        limits: Limits of callers.
        requires_key: Whether requests on routes that are not public need a
            valid API key. Without any valid key, none of them is allowed.

    Examples:
        >>> closed = FleetConfiguration(1, None, {}, {"k": "acme"}, Limits())
        >>> closed.find_organisation("k"), closed.find_organisation(None)
        ('acme', None)
    """

    version: int
    routes: route_table.RouteTable
    service_by_name: Mapping[str, Service]
    organisation_by_key: Mapping[str, Organisation]
    limits: Limits
    requires_key: bool = True

    def find_organisation(self, key: str | None) -> Organisation | None:
        """Return the owner of an API key, or ``None`` if it is not valid."""
        return self.organisation_by_key.get(key) if key else None

    def find_pool(self, name: str) -> Service | None:
        """Return the service whose ``pool`` has this name."""
        service = self.service_by_name.get(name)
        if service is not None:
            return service
        name, mark, version = name.rpartition(_VERSION_MARK)
        service = self.service_by_name.get(name) if mark else None
        return service and service._replace(version=version)
