"""The difference between two configurations, key by key.

Examples:
    >>> from daisypick_core.configuration import sections
    >>> def place(is_in):
    ...     entry = model.DataCentre("sofia", "", is_in)
    ...     return sections.make_configuration(
    ...         1, {"data_centres": {"sofia": entry}})
    >>> a, b = place(True), place(False)
    >>> for change in find_changes(a, b):
    ...     print(change)
    data_centres.sofia.is_in: true -> false
    >>> [str(change) for change in find_changes(a, model.EMPTY)]
    ['data_centres.sofia: removed']
"""

from collections.abc import Iterator
import typing

import msgspec

from daisypick_core.configuration import model
from daisypick_core.configuration import sections

MADE = "made"
REMOVED = "removed"
CHANGED = "changed"


class Change(typing.NamedTuple):
    """One difference.

    Attributes:
        kind: ``MADE``, ``REMOVED`` or ``CHANGED``.
        section: Name of the section.
        name: Name of the entry.
        key: The key that changed, ``""`` for a whole entry.
        before: Value in the first configuration.
        after: Value in the second configuration.
    """

    kind: str
    section: str
    name: str
    key: str = ""
    before: typing.Any = None
    after: typing.Any = None

    @property
    def path(self) -> str:
        """The dotted path of the key."""
        path = f"{self.section}.{self.name}"
        return f"{path}.{self.key}" if self.key else path

    def __str__(self) -> str:
        """Return the change as one line."""
        if self.kind != CHANGED:
            return f"{self.path}: {self.kind}"
        before = msgspec.json.encode(self.before).decode()
        after = msgspec.json.encode(self.after).decode()
        return f"{self.path}: {before} -> {after}"


def find_changes(
    before: model.Configuration, after: model.Configuration
) -> list[Change]:
    """Return the changes from one configuration to another, sorted."""
    changes = [
        change
        for section in sections.by_name.values()
        for change in _section_changes(section, before, after)
    ]
    return sorted(changes, key=lambda change: change.path)


def _section_changes(
    section: sections.Section,
    before: model.Configuration,
    after: model.Configuration,
) -> Iterator[Change]:
    old = sections.entries_by_name(before, section.name)
    new = sections.entries_by_name(after, section.name)
    for name in old.keys() - new.keys():
        yield Change(kind=REMOVED, section=section.name, name=name)
    for name, entry in new.items():
        if name not in old:
            yield Change(kind=MADE, section=section.name, name=name)
        elif entry != old[name]:
            yield from _entry_changes(section, old[name], entry)


def _entry_changes(
    section: sections.Section, old: typing.Any, new: typing.Any
) -> Iterator[Change]:
    for field in section.fields:
        before = getattr(old, field.key)
        after = getattr(new, field.key)
        if before != after:
            yield Change(
                kind=CHANGED,
                section=section.name,
                name=new.name,
                key=field.key,
                before=before,
                after=after,
            )


def find_overwritten(
    base: model.Configuration,
    current: model.Configuration,
    wanted: model.Configuration,
) -> list[Change]:
    """Return changes since ``base`` that ``wanted`` would revert.

    Examples:
        Another operator took sofia out of service, but the folder to be
        applied still has it in service:

        >>> from daisypick_core.configuration import sections
        >>> def place(is_in):
        ...     entry = model.DataCentre("sofia", "", is_in)
        ...     return sections.make_configuration(
        ...         1, {"data_centres": {"sofia": entry}})
        >>> [str(c) for c in
        ...     find_overwritten(place(True), place(False), place(True))]
        ['data_centres.sofia.is_in: true -> false']
        >>> find_overwritten(place(True), place(False), place(False))
        []
    """
    reverted = {
        (change.section, change.name)
        if change.kind != CHANGED
        else (change.section, change.name, change.key)
        for change in find_changes(current, wanted)
    }
    return [
        change
        for change in find_changes(base, current)
        if (change.section, change.name) in reverted
        or (change.section, change.name, change.key) in reverted
    ]
