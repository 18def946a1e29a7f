"""``data-centre out`` and ``data-centre in``."""

from cleo import helpers

from daisypick_cli import exit_codes
from daisypick_cli import folder as folder_files
from daisypick_cli.commands import base
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

_HELP = """\
Writes a new file that sorts last in the folder and changes only this data
centre in the configuration in force. Other differences between the folder and
the configuration in force neither block the change nor are applied with it.

Examples:
  daisypick data-centre {word} varna
""" + base.explain_exit_codes(
    exit_codes.FAULTS,
    exit_codes.CONFLICT,
    exit_codes.UNAVAILABLE,
    exit_codes.UNKNOWN,
)


class _DataCentreCommand(base.OperatorCommand):
    is_in: bool
    arguments = [
        helpers.argument("data-centre", description="Name of the data centre.")
    ]
    options = [base.FOLDER_OPTION, *base.STORE_OPTIONS]

    def handle(self) -> int:
        """Write the file and apply the change."""
        name = self.argument("data-centre")
        checked = folder_files.check_folder(self.folder)
        if checked.configuration is None:
            return self.report_faults(checked)
        entry = checked.configuration.data_centres_by_name.get(name)
        if entry is None:
            return self.report_failure(
                failure_value.Failure(
                    code=codes.DANGLING_NAME,
                    reason=f"the folder has no data centre {name!r}",
                )
            )
        applier = self.make_applier()
        if failure_value.is_failure(applier):
            return self.report_failure(applier)
        if entry.is_in != self.is_in:
            # The file is written before the platform is called: if the
            # platform is unavailable, the next apply includes the change.
            file = folder_files.write_data_centre(
                self.folder, name, is_in=self.is_in
            )
            if not self.option("json"):
                self.line(f"Wrote {file}.")
        return self.report_outcome(
            applier.set_data_centre(name, is_in=self.is_in)
        )


class DataCentreOutCommand(_DataCentreCommand):
    """``daisypick data-centre out``."""

    name = "data-centre out"
    description = "Take a data centre out of service."
    help = _HELP.format(word="out")
    is_in = False


class DataCentreInCommand(_DataCentreCommand):
    """``daisypick data-centre in``."""

    name = "data-centre in"
    description = "Bring a data centre back into service."
    help = _HELP.format(word="in")
    is_in = True


COMMANDS = [DataCentreOutCommand, DataCentreInCommand]
