"""Finds the organisation by the hash of its key."""

import hashlib

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.http import keys
from daisypick_node.router import exchange as exchange_module


def apply(
    exchange: exchange_module.Exchange, context: exchange_module.Context
) -> exchange_module.Exchange | failure_value.Failure:
    """Fill in the organisation.

    The lookup by the hash of the key stores no plain keys and leaks nothing
    about them by the time of a comparison.
    """
    configuration = context.configuration()
    if configuration.generation == 0:
        return failure_value.Failure(
            code=codes.NOT_CONFIGURED,
            reason="router: has no configuration yet",
            retry_after=1.0,
        )
    token = keys.bearer_token(exchange.call.headers.get("authorization", ""))
    digest = hashlib.sha256(token.encode()).hexdigest()
    name = context.organisation_by_hash.get(digest)
    if name is None:
        return failure_value.Failure(
            code=codes.UNAUTHENTICATED, reason="authorization: key not known"
        )
    organisation = configuration.organisations_by_name[name]
    return exchange._replace(organisation=organisation)
