"""Write docs/RESULT_CODES.md and docs/SETTINGS.md from the code.

Both are generated so that they always match the code.

Usage: ``python tools/write_reference_pages.py [--check]``; with ``--check``
nothing is written and the exit code is 1 if a page is stale.
"""

from collections.abc import Iterator
import pathlib
import sys

import pydantic
import pydantic_core

from daisypick_core.results import codes
from daisypick_node import settings

DOCS = pathlib.Path(__file__).parents[1] / "docs"

_GROUPS = {
    1: "The caller's request",
    2: "Capacity",
    3: "The gate of a backend server",
    4: "At most once",
    5: "Backend servers",
    6: "Configuration",
    7: "The platform",
    8: "Processes of the fleet among themselves",
}

_CODES_HEAD = """\
# Result codes

<!-- Written by tools/write_reference_pages.py; do not edit. -->

A refusal is `application/problem+json` with `code`, `title`, `detail`, `ran`,
`request_id` and, where known, the header `Retry-After`. `ran` is `no` if the
request surely did not run and never will; it is `unknown` if it may have run.
Numbers are stable, titles and statuses may be reworded.
"""

_SETTINGS_HEAD = """\
# Settings

<!-- Written by tools/write_reference_pages.py; do not edit. -->

Each setting is a flag and an environment variable; the flag goes first. They
are checked at the start, and all faults are listed at once (exit code 2).
Keys are masked in dumps and never logged.
"""


def make_codes_page() -> str:
    """Return the page of all result codes, grouped by thousands."""
    lines = [_CODES_HEAD]
    for group, title in _GROUPS.items():
        lines.append(f"## {group}xxx: {title}\n")
        lines.append("| code | title | HTTP status | ran |")
        lines.append("| --- | --- | --- | --- |")
        lines += [
            f"| {code.number} | {code.title} | {code.status} | {code.ran} |"
            for number, code in sorted(codes.by_number.items())
            if number // 1000 == group
        ]
        lines.append("")
    return "\n".join(lines)


def make_settings_page() -> str:
    """Return the page of the settings of both kinds of process."""
    common = settings.ProcessSettings.model_fields
    lines = [_SETTINGS_HEAD, "## Both kinds of process\n"]
    lines += _setting_lines(common)
    for title, settings_class in (
        ("`daisypickd router`", settings.RouterSettings),
        ("`daisypickd agent`", settings.AgentSettings),
    ):
        own = {
            name: field
            for name, field in settings_class.model_fields.items()
            if name not in common
        }
        lines += [f"\n## {title}\n", *_setting_lines(own)]
    return "\n".join(lines) + "\n"


def _setting_lines(
    field_by_name: dict[str, pydantic.fields.FieldInfo],
) -> Iterator[str]:
    yield "| flag | variable | default | meaning |"
    yield "| --- | --- | --- | --- |"
    for name, field in field_by_name.items():
        default = "required"
        if field.default is not pydantic_core.PydanticUndefined:
            default = f"`{field.default}`" if field.default != "" else "none"
        yield (
            f"| `--{name.replace('_', '-')}` "
            f"| `{settings.PREFIX}{name.upper()}` "
            f"| {default} | {field.description} |"
        )


def main(arguments: list[str]) -> int:
    """Write the pages, or check that they are up to date."""
    pages = {
        "RESULT_CODES.md": make_codes_page(),
        "SETTINGS.md": make_settings_page(),
    }
    stale = 0
    for name, text in pages.items():
        path = DOCS / name
        if "--check" not in arguments:
            path.write_text(text, encoding="utf-8")
        elif not path.exists() or path.read_text(encoding="utf-8") != text:
            print(f"docs/{name} is stale; run `make docs`")
            stale = 1
    return stale


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
