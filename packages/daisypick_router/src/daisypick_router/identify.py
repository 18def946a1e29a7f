"""Whose request it is and where it leads."""

import random

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.serving import fleet_configuration
from daisypick_http import messages
from daisypick_platform import request_headers
from daisypick_router import context as contexts

# A router without a configuration asks callers back after this time; a list
# and its answer take a few hundredths of a second when the store is well.
_RETRY_AFTER_UNCONFIGURED = 0.5


def identify(
    request: messages.Request,
    configuration: fleet_configuration.FleetConfiguration | None,
    rng: random.Random,
) -> contexts.Context | failure.Failure:
    """Return the context of a request, or why it is refused."""
    if configuration is None:
        return failure.Failure(
            code=codes.NOT_CONFIGURED,
            reason="no configuration was read yet",
            retry_after=_RETRY_AFTER_UNCONFIGURED,
        )
    words = request_headers.read_caller(request.headers)
    route = configuration.routes.find(
        words.host, request.target.decode("latin-1")
    )
    if route is None:
        return failure.Failure(
            code=codes.NO_ROUTE, reason=f"host {words.host!r} and its path"
        )
    organisation = None
    if not route.public and configuration.organisation_by_key:
        owner = configuration.organisation_by_key.get(words.key or "")
        if owner is None:
            return failure.Failure(
                code=codes.UNAUTHENTICATED, reason="key is missing or unknown"
            )
        organisation = owner.name
    service = configuration.service_by_name.get(route.pick_service(rng))
    if service is None:
        return failure.Failure(
            code=codes.NO_BACKEND_SERVER,
            reason=f"route {route.name} leads to no service",
        )
    return contexts.Context(
        request=request,
        words=words,
        route=route,
        organisation=organisation,
        service=service,
        version=configuration.version,
    )
