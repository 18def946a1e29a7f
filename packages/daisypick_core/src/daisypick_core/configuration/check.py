r"""Validate a merged folder as a whole and build its configuration.

Validation has three passes: single values (type, then the checks registered
for the key), single entries, and relations between entries. All faults are
collected; only a folder without faults becomes a configuration.

Examples:
    >>> from daisypick_core.configuration import merge
    >>> file = merge.SourceFile("a.toml", "[organisations.union]\nshare = -1")
    >>> for fault in check(merge.merge([file])).faults:
    ...     print(fault)
    a.toml: organisations.union.share: is -1.0, must be above 0 [6002]
"""

from collections.abc import Iterator
import re
import typing

import msgspec

from daisypick_core.configuration import cross_checks
from daisypick_core.configuration import faults
from daisypick_core.configuration import merge
from daisypick_core.configuration import model
from daisypick_core.configuration import sections
from daisypick_core.configuration import values
from daisypick_core.results import codes

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
DEFAULT = "(default)"


class Checked(typing.NamedTuple):
    """Result of a validation.

    Attributes:
        configuration: The configuration with generation 0; ``None`` if there
            are faults.
        faults: All faults, sorted by file and key.
        file_by_key: File of each value by dotted key, ``DEFAULT`` for a
            value that no file sets.
    """

    configuration: model.Configuration | None
    faults: tuple[faults.Fault, ...]
    file_by_key: dict[str, str]


def check(merged: merge.Merged) -> Checked:
    """Return the configuration of a merged folder, or all its faults."""
    found = list(merged.faults)
    file_by_key: dict[str, str] = {}
    entries_by_section: dict[str, dict[str, typing.Any]] = {}
    for section_name, entries in merged.entries.items():
        section = sections.by_name[section_name]
        made = entries_by_section.setdefault(section_name, {})
        for name, entry in entries.items():
            entry_faults = list(_entry_faults(section, name, entry))
            _note_files(section, name, entry, file_by_key)
            found += entry_faults
            if not entry_faults:
                made[name] = _make_entry(section, name, entry)
    configuration = sections.make_configuration(0, entries_by_section)
    for cross_fault in cross_checks.find_faults(configuration, merged):
        found.append(
            cross_fault._replace(file=_file_at_fault(cross_fault, file_by_key))
        )
    found.sort(key=lambda fault: (fault.file, fault.key))
    return Checked(
        configuration=None if found else configuration,
        faults=tuple(found),
        file_by_key=file_by_key,
    )


def _entry_faults(
    section: sections.Section, name: str, entry: merge.Entry
) -> Iterator[faults.Fault]:
    path = f"{section.name}.{name}"
    if not _NAME.fullmatch(name):
        reason = "name must be 1 to 64 letters, digits, '.', '_' or '-'"
        yield faults.Fault(entry.file, path, codes.BAD_VALUE, reason)
    for key, given in entry.values.items():
        yield from _value_faults(section, f"{path}.{key}", key, given)
    for field in section.fields:
        if field.is_required and field.key not in entry.values:
            reason = f"is required for each {section.label}"
            yield faults.Fault(
                entry.file, f"{path}.{field.key}", codes.MISSING_KEY, reason
            )


def _value_faults(
    section: sections.Section, path: str, key: str, given: merge.Value
) -> Iterator[faults.Fault]:
    field = section.field(key)
    if field is None:
        known = ", ".join(field.key for field in section.fields)
        reason = f"is not a known key, expected {known}"
        yield faults.Fault(given.file, path, codes.UNKNOWN_SETTING, reason)
        return
    try:
        value = values.convert(given.value, field.type)
    except msgspec.ValidationError as error:
        yield faults.Fault(given.file, path, codes.BAD_VALUE, str(error))
        return
    reason = values.find_fault(section.name, key, value)
    if reason:
        yield faults.Fault(given.file, path, codes.BAD_VALUE, reason)


def _file_at_fault(fault: faults.Fault, file_by_key: dict[str, str]) -> str:
    """Return the file that sets the value, or that defines its entry."""
    file = file_by_key[fault.key]
    if file != DEFAULT:
        return file
    return file_by_key[fault.key.rpartition(".")[0]]


def _make_entry(
    section: sections.Section, name: str, entry: merge.Entry
) -> typing.Any:
    fields = {
        key: values.convert(given.value, section.field(key).type)
        for key, given in entry.values.items()
    }
    return section.type(name=name, **fields)


def _note_files(
    section: sections.Section,
    name: str,
    entry: merge.Entry,
    file_by_key: dict[str, str],
) -> None:
    file_by_key[f"{section.name}.{name}"] = entry.file
    for field in section.fields:
        given = entry.values.get(field.key)
        path = f"{section.name}.{name}.{field.key}"
        file_by_key[path] = given.file if given else DEFAULT
