"""Estimates the cost of a request and hashes the prefix of its prompt."""

import xxhash

from daisypick_core.configuration import model
from daisypick_core.results import failure as failure_value
from daisypick_node.router import exchange as exchange_module
from daisypick_node.router.filters import classify

CHARACTERS_PER_TOKEN = 4
DEFAULT_COMPLETION_TOKENS = 256
PREFIX_BYTES = 512


def apply(
    exchange: exchange_module.Exchange, context: exchange_module.Context
) -> exchange_module.Exchange | failure_value.Failure:
    """Fill in estimate and prefix; a plain request costs one unit."""
    del context
    assert exchange.service is not None
    if exchange.service.kind != model.MODEL:
        return exchange
    chat = classify.read_chat(exchange.body)
    if failure_value.is_failure(chat):
        return chat
    prompt = len(chat.messages) / CHARACTERS_PER_TOKEN
    completion = chat.max_completion_tokens or chat.max_tokens
    prefix = xxhash.xxh3_64_hexdigest(bytes(chat.messages)[:PREFIX_BYTES])
    return exchange._replace(
        estimate=prompt + (completion or DEFAULT_COMPLETION_TOKENS),
        prefix=prefix,
    )
