"""Limits the open requests of an organisation at this router."""

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.router import exchange as exchange_module


def apply(
    exchange: exchange_module.Exchange, context: exchange_module.Context
) -> exchange_module.Exchange | failure_value.Failure:
    """Refuse excess requests before they use body and queue memory."""
    organisation = exchange.organisation
    assert organisation is not None
    open_count = context.open_by_organisation[organisation.name]
    if open_count < organisation.max_open:
        return exchange
    return failure_value.Failure(
        code=codes.TOO_MANY_CONNECTIONS,
        reason=f"organisation: {organisation.name} has {open_count} open",
        retry_after=1.0,
    )
