"""The sections of a configuration file, derived from the model.

A file has a table for each entry, ``[organisations.union]``. The keys of an
entry are the fields of its type in ``model``; a field without a default is
required.

Examples:
    >>> by_name["organisations"].type.__name__
    'Organisation'
    >>> [field.key for field in by_name["data_centres"].fields]
    ['region', 'is_in']
    >>> by_name["backend_servers"].field("service").is_required
    True
"""

import functools
import typing

from daisypick_core.configuration import model

ABSENT = "absent"


class Field(typing.NamedTuple):
    """A key that an entry may have.

    Attributes:
        key: Name of the key.
        type: Type of its value.
        default: Value if no file sets one.
        is_required: Whether a file must set a value.
    """

    key: str
    type: typing.Any
    default: typing.Any
    is_required: bool


class Section(typing.NamedTuple):
    """A kind of entry.

    Attributes:
        name: Name of the table in a file.
        label: Term for one entry in messages.
        type: Its type in ``model``.
        fields: The keys of an entry.
    """

    name: str
    label: str
    type: type
    fields: tuple[Field, ...]

    def field(self, key: str) -> Field | None:
        """Return the field of a key, ``None`` for an unknown one."""
        return _fields_by_key(self).get(key)


@functools.lru_cache
def _fields_by_key(section: Section) -> dict[str, Field]:
    return {field.key: field for field in section.fields}


def _make_section(name: str, label: str, entry_type: type) -> Section:
    hints = typing.get_type_hints(entry_type)
    defaults = entry_type._field_defaults  # type: ignore[attr-defined]
    fields = tuple(
        Field(
            key=key,
            type=hint,
            default=defaults.get(key),
            is_required=key not in defaults,
        )
        for key, hint in hints.items()
        if key != "name"
    )
    return Section(name=name, label=label, type=entry_type, fields=fields)


by_name: dict[str, Section] = {
    section.name: section
    for section in (
        _make_section("organisations", "organisation", model.Organisation),
        _make_section("services", "service", model.Service),
        _make_section("backend_servers", "backend server", model.BackendServer),
        _make_section("data_centres", "data centre", model.DataCentre),
    )
}


def entries_by_name(
    configuration: model.Configuration, section: str
) -> typing.Mapping[str, typing.Any]:
    """Return the entries of one section of a configuration."""
    return getattr(configuration, f"{section}_by_name")


def make_configuration(
    generation: int,
    entries_by_section: typing.Mapping[str, typing.Mapping[str, typing.Any]],
) -> model.Configuration:
    """Return a configuration with the given entries."""
    return model.Configuration(
        generation=generation,
        **{
            f"{name}_by_name": dict(entries_by_section.get(name, {}))
            for name in by_name
        },
    )
