"""``check``, ``diff``, ``apply`` and ``show``."""

from collections.abc import Iterator
import typing

from cleo import helpers
import msgspec

from daisypick_cli import exit_codes
from daisypick_cli import folder as folder_files
from daisypick_cli.commands import base
from daisypick_core.configuration import check
from daisypick_core.configuration import difference
from daisypick_core.configuration import sections
from daisypick_core.results import failure as failure_value


class CheckCommand(base.OperatorCommand):
    """``daisypick check``."""

    name = "check"
    description = "Check the folder; nothing is sent."
    help = """\
Merges the files of the folder in the order of their names and lists all
faults with their file, key, reason and code.

Examples:
  daisypick check --folder examples/configuration
  daisypick check --json
""" + base.explain_exit_codes(exit_codes.FAULTS)
    options = [base.FOLDER_OPTION, base.JSON_OPTION]

    def handle(self) -> int:
        """Check the folder."""
        checked = folder_files.check_folder(self.folder)
        if checked.configuration is None:
            return self.report_faults(checked)
        counts = {
            name: len(sections.entries_by_name(checked.configuration, name))
            for name in sections.by_name
        }
        lines = [f"{count} {name}" for name, count in counts.items()]
        self.print_output({"faults": [], **counts}, [*lines, "No faults."])
        return exit_codes.OK


class DiffCommand(base.OperatorCommand):
    """``daisypick diff``."""

    name = "diff"
    description = "Show what an apply of the folder would change."
    help = """\
Compares the configuration stored in the platform with the folder, key by key.

Examples:
  daisypick diff --platform 10.0.0.5:8080
""" + base.explain_exit_codes(
        exit_codes.FAULTS, exit_codes.UNAVAILABLE, exit_codes.DIFFERENT
    )
    options = [base.FOLDER_OPTION, *base.STORE_OPTIONS]

    def handle(self) -> int:
        """Compare the folder with the store."""
        checked = folder_files.check_folder(self.folder)
        if checked.configuration is None:
            return self.report_faults(checked)
        current = self.read_stored()
        if failure_value.is_failure(current):
            return self.report_failure(current)
        changes = difference.find_changes(current, checked.configuration)
        texts = [str(change) for change in changes]
        value = {"generation": current.generation, "changes": texts}
        self.print_output(value, texts or ["No difference."])
        return exit_codes.DIFFERENT if changes else exit_codes.OK


class ApplyCommand(base.OperatorCommand):
    """``daisypick apply``."""

    name = "apply"
    description = "Check the folder and apply it."
    help = """\
Stores what changed, then replaces the root by one conditional update and
notifies some processes of each data centre, so that the change spreads even
if the platform becomes unavailable. If a response is lost, the root is read
back to find out whether the update took effect. If the folder would revert
changes by others, nothing is changed and they are listed; merge their files
and apply again.

Examples:
  daisypick apply --folder configuration --platform 10.0.0.5:8080
  daisypick apply --overwrite 41      (revert changes by others up to 41)
""" + base.explain_exit_codes(
        exit_codes.FAULTS,
        exit_codes.CONFLICT,
        exit_codes.UNAVAILABLE,
        exit_codes.UNKNOWN,
    )
    options = [
        base.FOLDER_OPTION,
        helpers.option(
            "overwrite",
            description="Generation up to which changes by others are "
            "reverted.",
            flag=False,
        ),
        *base.STORE_OPTIONS,
    ]

    def handle(self) -> int:
        """Apply the folder."""
        checked = folder_files.check_folder(self.folder)
        if checked.configuration is None:
            return self.report_faults(checked)
        overwrite = self.option("overwrite")
        if overwrite is not None and not overwrite.isdecimal():
            self.line_error("--overwrite: not a generation number")
            return exit_codes.USAGE
        applier = self.make_applier()
        if failure_value.is_failure(applier):
            return self.report_failure(applier)
        outcome = applier.apply(
            self.folder,
            checked.configuration,
            overwrite=None if overwrite is None else int(overwrite),
        )
        return self.report_outcome(outcome)


class ShowCommand(base.OperatorCommand):
    """``daisypick show``."""

    name = "show"
    description = "Show the merged folder and the file that sets each value."
    help = """\
A value that no file sets is marked (default).

Examples:
  daisypick show
  daisypick show organisations.union
  daisypick show --json
""" + base.explain_exit_codes(exit_codes.FAULTS)
    arguments = [
        helpers.argument(
            "prefix", description="Dotted key to start with.", optional=True
        )
    ]
    options = [base.FOLDER_OPTION, base.JSON_OPTION]

    def handle(self) -> int:
        """Print the values and their files."""
        checked = folder_files.check_folder(self.folder)
        if checked.configuration is None:
            return self.report_faults(checked)
        prefix = self.argument("prefix") or ""
        shown = {
            key: {"value": value, "file": file}
            for key, value, file in _list_values(checked)
            if key == prefix or key.startswith(f"{prefix}." if prefix else "")
        }
        lines = [
            f"{key} = {msgspec.json.encode(entry['value']).decode()}"
            f"    # {entry['file']}"
            for key, entry in shown.items()
        ]
        self.print_output(shown, lines)
        return exit_codes.OK


def _list_values(
    checked: check.Checked,
) -> Iterator[tuple[str, typing.Any, str]]:
    """Yield the dotted key, the value and the file of each value."""
    for section in sections.by_name.values():
        entries = sections.entries_by_name(checked.configuration, section.name)
        for name, entry in sorted(entries.items()):
            for field in section.fields:
                key = f"{section.name}.{name}.{field.key}"
                value = getattr(entry, field.key)
                yield key, value, checked.file_by_key[key]


COMMANDS = [CheckCommand, DiffCommand, ApplyCommand, ShowCommand]
