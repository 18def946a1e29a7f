"""Finds the service, and whether the request is repeatable."""

import posixpath
import urllib.parse

import msgspec

from daisypick_core.configuration import model
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.router import exchange as exchange_module

CHAT = "/v1/chat/completions"
SERVICES = "/services/"
KEY_HEADER = "idempotency-key"
TIMEOUT_HEADER = "daisypick-timeout"
_MAX_KEY_LENGTH = 256


class ChatRequest(msgspec.Struct):
    """The fields of a chat completion request that the router reads."""

    model: str
    messages: msgspec.Raw
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_decoder = msgspec.json.Decoder(ChatRequest)


def read_chat(body: bytes) -> ChatRequest | failure_value.Failure:
    """Return the chat request in a body."""
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        return _bad_request(f"body: {error}")


def apply(
    exchange: exchange_module.Exchange, context: exchange_module.Context
) -> exchange_module.Exchange | failure_value.Failure:
    """Fill in service, path, repeatability, key and deadline."""
    configuration = context.configuration()
    deadline = _deadline(exchange, context.request_timeout)
    if failure_value.is_failure(deadline):
        return deadline
    exchange = exchange._replace(deadline=deadline)
    if exchange.call.path == CHAT:
        return _classify_chat(exchange, configuration)
    return _classify_plain(exchange, configuration)


def _classify_chat(
    exchange: exchange_module.Exchange, configuration: model.Configuration
) -> exchange_module.Exchange | failure_value.Failure:
    chat = read_chat(exchange.body)
    if failure_value.is_failure(chat):
        return chat
    service = configuration.services_by_name.get(chat.model)
    if service is None or service.kind != model.MODEL:
        return _unknown_service(chat.model)
    return exchange._replace(service=service, path=CHAT, is_stream=chat.stream)


def _classify_plain(
    exchange: exchange_module.Exchange, configuration: model.Configuration
) -> exchange_module.Exchange | failure_value.Failure:
    call = exchange.call
    name, _, rest = call.path[len(SERVICES) :].partition("/")
    service = configuration.services_by_name.get(name)
    if service is None or service.kind != model.PLAIN:
        return _unknown_service(name)
    path = f"/{rest}"
    plain_path = _normalise(path)
    is_repeatable = not any(
        _matches(entry, call.method, plain_path)
        for entry in service.not_repeatable
    )
    key = call.headers.get(KEY_HEADER)
    if key is not None and not 0 < len(key) <= _MAX_KEY_LENGTH:
        return _bad_request(f"{KEY_HEADER}: 1 to {_MAX_KEY_LENGTH} characters")
    return exchange._replace(
        service=service,
        path=f"{path}?{call.query}" if call.query else path,
        is_repeatable=is_repeatable,
        idempotency_key=None if is_repeatable else key,
    )


def _matches(entry: model.Call, method: str, path: str) -> bool:
    if entry.method not in ("*", method):
        return False
    prefix = entry.path.rstrip("/")
    return path == prefix or path.startswith(f"{prefix}/")


def _normalise(path: str) -> str:
    """Return a path in the normal form that most servers use.

    ``//bookings`` and ``/%62ookings`` reach the same call as ``/bookings``. If
    paths were compared literally, such a call would be classified as repeatable
    and a booking could run twice. The backend server still gets the path as it
    was sent.

    Examples:
        >>> _normalise("/%62ookings"), _normalise("//x/.././bookings/")
        ('/bookings', '/bookings')
    """
    decoded = urllib.parse.unquote(path).replace("\\", "/")
    return "/" + posixpath.normpath(f"/{decoded}").lstrip("/")


def _deadline(
    exchange: exchange_module.Exchange, max_timeout: float
) -> float | failure_value.Failure:
    text = exchange.call.headers.get(TIMEOUT_HEADER)
    if text is None:
        return exchange.received_at + max_timeout
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not seconds > 0:
        return _bad_request(f"{TIMEOUT_HEADER}: {text!r} is not above 0")
    return exchange.received_at + min(seconds, max_timeout)


def _unknown_service(name: str) -> failure_value.Failure:
    return failure_value.Failure(
        code=codes.UNKNOWN_SERVICE, reason=f"service: {name[:64]!r}"
    )


def _bad_request(reason: str) -> failure_value.Failure:
    return failure_value.Failure(code=codes.BAD_REQUEST, reason=reason)
