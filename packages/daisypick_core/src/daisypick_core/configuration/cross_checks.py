"""Checks of relations between entries.

The faults have no file; ``check`` adds the file that set the value. Only valid
entries are compared, so that a bad value is reported once. A name is defined
if any entry has it, even an entry with faults of its own.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from daisypick_core.configuration import faults
from daisypick_core.configuration import merge
from daisypick_core.configuration import model
from daisypick_core.configuration import sections
from daisypick_core.results import codes

CrossCheck = Callable[
    [model.Configuration, merge.Merged], Iterable[faults.Fault]
]

_cross_checks: list[CrossCheck] = []

_NAMES_BY_KEY = {"service": "services", "data_centre": "data_centres"}


def register(cross_check: CrossCheck) -> CrossCheck:
    """Register a check of relations between entries."""
    _cross_checks.append(cross_check)
    return cross_check


def find_faults(
    configuration: model.Configuration, merged: merge.Merged
) -> Iterator[faults.Fault]:
    """Yield the faults in relations between entries."""
    for cross_check in _cross_checks:
        yield from cross_check(configuration, merged)


def _fault(key: str, code: codes.Code, reason: str) -> faults.Fault:
    return faults.Fault(file="", key=key, code=code, reason=reason)


@register
def _dangling_names(
    configuration: model.Configuration, merged: merge.Merged
) -> Iterator[faults.Fault]:
    for name, server in configuration.backend_servers_by_name.items():
        for key, section in _NAMES_BY_KEY.items():
            target = getattr(server, key)
            if target not in merged.entries[section]:
                label = sections.by_name[section].label
                yield _fault(
                    f"backend_servers.{name}.{key}",
                    codes.DANGLING_NAME,
                    f"no {label} {target!r} is defined",
                )


@register
def _duplicate_key_hashes(
    configuration: model.Configuration, merged: merge.Merged
) -> Iterator[faults.Fault]:
    # With one key in two organisations, requests would be charged to
    # whichever organisation the router finds first.
    del merged
    owner_by_hash: dict[str, str] = {}
    for name, organisation in configuration.organisations_by_name.items():
        for key_hash in organisation.key_hashes:
            owner = owner_by_hash.setdefault(key_hash, name)
            if owner != name:
                yield _fault(
                    f"organisations.{name}.key_hashes",
                    codes.DUPLICATE_VALUE,
                    f"{key_hash[:8]}... belongs to organisation {owner!r}",
                )


@register
def _duplicate_addresses(
    configuration: model.Configuration, merged: merge.Merged
) -> Iterator[faults.Fault]:
    # Two agents in front of one server would each admit requests for all of
    # its slots.
    del merged
    user_by_address: dict[str, str] = {}
    for name, server in configuration.backend_servers_by_name.items():
        for key in ("address", "agent"):
            path = f"backend_servers.{name}.{key}"
            address = getattr(server, key)
            user = user_by_address.setdefault(address, path)
            if user != path:
                reason = f"{address} is also used by {user}"
                yield _fault(path, codes.DUPLICATE_VALUE, reason)


@register
def _cold_slots(
    configuration: model.Configuration, merged: merge.Merged
) -> Iterator[faults.Fault]:
    del merged
    for name, server in configuration.backend_servers_by_name.items():
        if server.cold_slots > server.slots:
            yield _fault(
                f"backend_servers.{name}.cold_slots",
                codes.BAD_VALUE,
                f"is {server.cold_slots}, above slots = {server.slots}",
            )


@register
def _model_settings(
    configuration: model.Configuration, merged: merge.Merged
) -> Iterator[faults.Fault]:
    del merged
    for name, service in configuration.services_by_name.items():
        path = f"services.{name}"
        if service.kind == model.MODEL and not service.model:
            reason = "is required for a service of kind 'model'"
            yield _fault(f"{path}.model", codes.MISSING_KEY, reason)
        for key in ("model", "version", "adapters"):
            if service.kind == model.PLAIN and getattr(service, key):
                reason = "must not be set for a service of kind 'plain'"
                yield _fault(f"{path}.{key}", codes.BAD_VALUE, reason)
