r"""Merge the files of a folder in the order of their names.

A value in a later file overrides the value of an earlier file, key by key, so
a change can be made by adding a file. ``absent = true`` removes an entry that
an earlier file defined; a later file may define it again. Each value keeps
the name of the file that set it.

Examples:
    >>> merged = merge([
    ...     SourceFile("10-base.toml", "[organisations.union]\nshare = 1.0"),
    ...     SourceFile("20-more.toml", "[organisations.union]\nshare = 4.0"),
    ... ])
    >>> merged.entries["organisations"]["union"].values
    {'share': Value(value=4.0, file='20-more.toml')}
"""

from collections.abc import Iterable
import tomllib
import typing

from daisypick_core.configuration import faults
from daisypick_core.configuration import sections
from daisypick_core.results import codes


class SourceFile(typing.NamedTuple):
    """A file of the folder."""

    name: str
    text: str


class Value(typing.NamedTuple):
    """An unvalidated value and the file that set it."""

    value: typing.Any
    file: str


class Entry(typing.NamedTuple):
    """An entry as merged so far.

    Attributes:
        file: The file that defined the entry.
        values: The values set, by key.
    """

    file: str
    values: dict[str, Value]


class Merged(typing.NamedTuple):
    """The merged folder.

    Attributes:
        entries: Entries by section and name.
        faults: Faults that prevented a merge.
    """

    entries: dict[str, dict[str, Entry]]
    faults: list[faults.Fault]


def merge(files: Iterable[SourceFile]) -> Merged:
    """Merge files in the order of their names."""
    merged = Merged(entries={name: {} for name in sections.by_name}, faults=[])
    for file in sorted(files):
        for section, name, table in _tables(file, merged.faults):
            _merge_entry(merged, file.name, section, name, table)
    return merged


def _tables(
    file: SourceFile, found: list[faults.Fault]
) -> Iterable[tuple[str, str, dict[str, typing.Any]]]:
    """Yield section, name and table of each entry of a file."""
    try:
        document = tomllib.loads(file.text)
    except tomllib.TOMLDecodeError as error:
        found.append(faults.Fault(file.name, "", codes.BAD_FILE, str(error)))
        return
    for section, entries in document.items():
        if section not in sections.by_name:
            reason = "is not a section, expected " + ", ".join(sections.by_name)
            found.append(
                faults.Fault(file.name, section, codes.UNKNOWN_SETTING, reason)
            )
        elif not isinstance(entries, dict):
            found.append(_not_a_table(file.name, section))
        else:
            yield from _entry_tables(file.name, section, entries, found)


def _entry_tables(
    file: str,
    section: str,
    entries: dict[str, typing.Any],
    found: list[faults.Fault],
) -> Iterable[tuple[str, str, dict[str, typing.Any]]]:
    for name, table in entries.items():
        if isinstance(table, dict):
            yield section, name, table
        else:
            found.append(_not_a_table(file, f"{section}.{name}"))


def _not_a_table(file: str, key: str) -> faults.Fault:
    return faults.Fault(file, key, codes.BAD_VALUE, "must be a table")


def _merge_entry(
    merged: Merged,
    file: str,
    section: str,
    name: str,
    table: dict[str, typing.Any],
) -> None:
    entries = merged.entries[section]
    if sections.ABSENT in table:
        _remove_entry(merged, file, section, name, table)
        return
    entry = entries.setdefault(name, Entry(file=file, values={}))
    for key, value in table.items():
        entry.values[key] = Value(value=value, file=file)


def _remove_entry(
    merged: Merged,
    file: str,
    section: str,
    name: str,
    table: dict[str, typing.Any],
) -> None:
    key = f"{section}.{name}.{sections.ABSENT}"
    if table != {sections.ABSENT: True}:
        reason = "must be true and the only key; to keep the entry, omit it"
        merged.faults.append(faults.Fault(file, key, codes.BAD_VALUE, reason))
    elif merged.entries[section].pop(name, None) is None:
        # Ignoring a misspelt name would silently leave the entry in force.
        label = sections.by_name[section].label
        reason = f"no earlier file has the {label} {name!r}"
        merged.faults.append(
            faults.Fault(file, key, codes.DANGLING_NAME, reason)
        )
