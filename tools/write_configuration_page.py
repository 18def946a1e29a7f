"""Write docs/CONFIGURATION.md from the types of the configuration.

The page is generated so that it always matches what ``daisypick check``
accepts.

Usage: ``python tools/write_configuration_page.py [--check]``; with
``--check`` nothing is written and the exit code is 1 if the page is stale.
"""

from collections.abc import Iterator
import inspect
import pathlib
import re
import sys
import types
import typing

import msgspec

from daisypick_core.configuration import model
from daisypick_core.configuration import sections

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "CONFIGURATION.md"
_ATTRIBUTE = re.compile(r"^(\w+): (.*)$")

_HEAD = """\
# Configuration

<!-- Written by tools/write_configuration_page.py; do not edit. -->

The operators' folder holds TOML files, merged in the order of their names: a
value in a later file replaces the one of an earlier file, key by key. Each
entry is a table `[section.name]`. A name has 1 to 64 letters, digits, `.`,
`_` or `-`. `absent = true`, alone in its table, removes an entry that an
earlier file made. See [operations](operations/configuration.md) and the
folder `examples/configuration`.
"""


def make_page() -> str:
    """Return the text of the page."""
    parts = [_HEAD]
    for section in sections.by_name.values():
        parts.append("\n".join(_section_lines(section)))
    parts.append("\n".join(_call_lines()))
    return "\n".join(parts)


def read_descriptions(entry_type: type) -> dict[str, str]:
    """Return the descriptions of attributes from a class's docstring.

    Examples:
        >>> read_descriptions(model.Call)["path"]
        'Prefix of the path, beginning with ``/``.'
    """
    doc = inspect.getdoc(entry_type) or ""
    description_by_name: dict[str, str] = {}
    name = ""
    for line in doc.partition("Attributes:\n")[2].splitlines():
        match = _ATTRIBUTE.match(line.strip())
        if match and line.startswith("    ") and line[4] != " ":
            name = match.group(1)
            description_by_name[name] = match.group(2)
        elif name and line.strip():
            description_by_name[name] += f" {line.strip()}"
    return description_by_name


def _section_lines(section: sections.Section) -> Iterator[str]:
    summary = (inspect.getdoc(section.type) or "").splitlines()[0]
    yield f"## `[{section.name}.NAME]`"
    yield ""
    yield summary
    yield ""
    yield "| key | type | default | meaning |"
    yield "| --- | --- | --- | --- |"
    descriptions = read_descriptions(section.type)
    for field in section.fields:
        default = "required"
        if not field.is_required:
            default = f"`{msgspec.json.encode(field.default).decode()}`"
        meaning = descriptions[field.key].replace("``", "`")
        kind = _type_name(field.type)
        yield f"| `{field.key}` | {kind} | {default} | {meaning} |"
    yield ""


def _call_lines() -> Iterator[str]:
    yield "## A call"
    yield ""
    yield 'An inline table, for instance `{ method = "POST", path = "/x" }`.'
    yield ""
    yield "| key | type | meaning |"
    yield "| --- | --- | --- |"
    for key, meaning in read_descriptions(model.Call).items():
        yield f"| `{key}` | text | {meaning.replace('``', '`')} |"
    yield ""


def _type_name(value_type: typing.Any) -> str:
    """Return the name of a type in the terms of TOML.

    Examples:
        >>> _type_name(tuple[str, ...]), _type_name(float)
        ('list of text', 'number')
    """
    if isinstance(value_type, types.GenericAlias):
        return f"list of {_type_name(typing.get_args(value_type)[0])}"
    names = {
        str: "text",
        float: "number",
        int: "whole number",
        bool: "true or false",
        model.Call: "[call](#a-call)",
    }
    return names[value_type]


def main(arguments: list[str]) -> int:
    """Write the page, or check that it is up to date."""
    page = make_page()
    if "--check" not in arguments:
        PAGE.write_text(page, encoding="utf-8")
        return 0
    if PAGE.exists() and PAGE.read_text(encoding="utf-8") == page:
        return 0
    print("docs/CONFIGURATION.md is stale; run `make docs`")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
