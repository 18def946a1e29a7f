"""The filters in order.

A request is refused as early as possible: before its body is read if its
organisation is unknown or has too many open requests, and before it is queued
if it is malformed.
"""

from collections.abc import Callable

from daisypick_core.results import failure as failure_value
from daisypick_node.router import exchange as exchange_module
from daisypick_node.router.filters import admit
from daisypick_node.router.filters import classify
from daisypick_node.router.filters import estimate
from daisypick_node.router.filters import identify
from daisypick_node.router.filters import read

Filter = Callable[
    [exchange_module.Exchange, exchange_module.Context],
    exchange_module.Exchange | failure_value.Failure,
]

FILTERS: tuple[Filter, ...] = (
    identify.apply,
    admit.apply,
    read.apply,
    classify.apply,
    estimate.apply,
)


def run(
    exchange: exchange_module.Exchange, context: exchange_module.Context
) -> exchange_module.Exchange | failure_value.Failure:
    """Apply all filters to a request; return the first failure, if any."""
    for apply in FILTERS:
        result = apply(exchange, context)
        if failure_value.is_failure(result):
            return result
        exchange = result
    return exchange
