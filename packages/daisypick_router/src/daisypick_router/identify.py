"""Finds the route, the organisation and the service of a request."""

import random

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.serving import fleet_configuration
from daisypick_core.serving import route_table
from daisypick_http import messages
from daisypick_platform import request_headers
from daisypick_router import context as contexts

# Seconds after which callers may retry while there is no configuration yet.
# Listing it takes a few hundredths of a second when the store is healthy.
_RETRY_AFTER_UNCONFIGURED = 0.5


def identify(
    request: messages.Request,
    configuration: fleet_configuration.FleetConfiguration | None,
    rng: random.Random,
) -> contexts.Context | failure.Failure:
    """Return the context of a request, or the failure if it is refused."""
    if configuration is None:
        return failure.Failure(
            code=codes.NOT_CONFIGURED,
            reason="no configuration was read yet",
            retry_after=_RETRY_AFTER_UNCONFIGURED,
        )
    caller_headers = request_headers.read_caller(request.headers)
    found = _find_owner(caller_headers, request.target, configuration)
    if failure.is_failure(found):
        return found
    route, organisation = found
    service = configuration.service_by_name.get(route.pick_service(rng))
    if service is None:
        return failure.Failure(
            code=codes.NO_BACKEND_SERVER,
            reason=f"route {route.name} leads to no service",
        )
    return contexts.Context(
        request=request,
        caller_headers=caller_headers,
        route=route,
        organisation=organisation,
        service=service,
        version=configuration.version,
    )


def refuse_head(
    head: messages.RequestHead,
    configuration: fleet_configuration.FleetConfiguration,
) -> failure.Failure | None:
    """Return the failure of a request that its head decides, or ``None``."""
    found = _find_owner(
        request_headers.read_caller(head.headers), head.target, configuration
    )
    return found if failure.is_failure(found) else None


def _find_owner(
    caller_headers: request_headers.CallerHeaders,
    target: bytes,
    configuration: fleet_configuration.FleetConfiguration,
) -> tuple[route_table.Route, str | None] | failure.Failure:
    """Return the route and the organisation of a request."""
    route = configuration.routes.find(
        caller_headers.host, target.decode("latin-1")
    )
    if route is None:
        return failure.Failure(
            code=codes.NO_ROUTE,
            reason=f"host {caller_headers.host!r} and its path",
        )
    if route.public or not configuration.requires_key:
        return route, None
    owner = configuration.find_organisation(caller_headers.key)
    if owner is None:
        return failure.Failure(
            code=codes.UNAUTHENTICATED, reason="key is missing or unknown"
        )
    return route, owner.name
