"""Reads the body within limits of size and time."""

import xxhash

from daisypick_core.results import failure as failure_value
from daisypick_node.router import exchange as exchange_module


def apply(
    exchange: exchange_module.Exchange, context: exchange_module.Context
) -> exchange_module.Exchange | failure_value.Failure:
    """Fill in the body and the fingerprint of the whole request."""
    del context
    body = exchange.call.read_body()
    if failure_value.is_failure(body):
        return body
    call = exchange.call
    line = f"{call.method} {call.path}?{call.query}\n"
    digest = xxhash.xxh3_128(line.encode())
    digest.update(body)
    return exchange._replace(body=body, fingerprint=digest.hexdigest())
