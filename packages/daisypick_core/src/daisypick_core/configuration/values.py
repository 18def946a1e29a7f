"""Checks of single values, registered by section and key.

A check receives a value of the right type and returns the reason why it is
invalid, or ``None``. To add a check, decorate a function with ``@register``.

Examples:
    >>> find_fault("organisations", "share", 0.0)
    'is 0.0, must be above 0'
    >>> find_fault("organisations", "share", 4.0) is None
    True
    >>> convert([{"method": "POST", "path": "/b"}], tuple[model.Call, ...])
    (Call(method='POST', path='/b'),)
"""

from collections.abc import Callable
import ipaddress
import math
import re
import typing

import msgspec

from daisypick_core.configuration import model

Check = Callable[[typing.Any], str | None]

checks_by_key: dict[tuple[str, str], Check] = {}

MAX_SHARE = 1e6
MAX_COUNT = 1_000_000
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
_METHOD = re.compile(r"[A-Z]+|\*")


class _CallTable(typing.TypedDict):
    method: str
    path: str


def register(*keys: str) -> Callable[[Check], Check]:
    """Register a check for keys of the form ``section.key``."""

    def _add(check: Check) -> Check:
        for key in keys:
            section, _, field = key.partition(".")
            checks_by_key[section, field] = check
        return check

    return _add


def convert(value: typing.Any, value_type: typing.Any) -> typing.Any:
    """Convert a value from a file to the type of its field.

    Raises:
        msgspec.ValidationError: The value has the wrong type.
    """
    if value_type == tuple[model.Call, ...]:
        tables = msgspec.convert(value, list[_CallTable])
        _refuse_other_keys(value)
        return tuple(model.Call(**table) for table in tables)
    return msgspec.convert(value, value_type)


def _refuse_other_keys(tables: list[dict[str, typing.Any]]) -> None:
    for table in tables:
        others = sorted(set(table) - set(model.Call._fields))
        if others:
            raise msgspec.ValidationError(f"has unknown keys {others}")


def find_fault(section: str, key: str, value: typing.Any) -> str | None:
    """Return why a value of the right type is invalid, or ``None``."""
    check = checks_by_key.get((section, key))
    return check(value) if check else None


@register("organisations.share")
def check_share(value: float) -> str | None:
    """Check a share of capacity."""
    if not math.isfinite(value) or value <= 0:
        return f"is {value}, must be above 0"
    if value > MAX_SHARE:
        return f"is {value}, must be at most {MAX_SHARE:.0f}"
    return None


@register("organisations.key_hashes")
def check_key_hashes(value: tuple[str, ...]) -> str | None:
    """Check SHA-256 hashes.

    The message does not repeat the value, which may be a plaintext key.
    """
    for position, key_hash in enumerate(value):
        if not _SHA256_HEX.fullmatch(key_hash):
            return (
                f"item {position} must be a SHA-256 in 64 lower-case hex digits"
            )
    return None


@register(
    "organisations.max_queued",
    "organisations.max_open",
    "backend_servers.slots",
    "backend_servers.cold_slots",
)
def check_count(value: int) -> str | None:
    """Check a limit, which must be at least one."""
    if not 1 <= value <= MAX_COUNT:
        return f"is {value}, must be in 1..{MAX_COUNT}"
    return None


@register("services.kind")
def check_kind(value: str) -> str | None:
    """Check the kind of a service."""
    if value not in (model.MODEL, model.PLAIN):
        return f"is {value!r}, must be {model.MODEL!r} or {model.PLAIN!r}"
    return None


@register("services.not_repeatable")
def check_calls(value: tuple[model.Call, ...]) -> str | None:
    """Check calls that may run at most once."""
    for call in value:
        if not _METHOD.fullmatch(call.method):
            return f"method {call.method!r} must be upper-case letters or '*'"
        if not call.path.startswith("/"):
            return f"path {call.path!r} must begin with '/'"
    return None


@register("backend_servers.address", "backend_servers.agent")
def check_address(value: str) -> str | None:
    """Check ``IP:port``; host names are not resolved."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"is {value!r}, must be an IP address and a port"
    if not port.isdecimal() or not 1 <= int(port) <= 65535:
        return f"is {value!r}, its port must be in 1..65535"
    return None
