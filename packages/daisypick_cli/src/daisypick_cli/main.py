"""The application ``daisypick``.

Other packages add commands through an entry point of the group
``daisypick.commands``. It names a module with ``COMMANDS``, a list of cleo
command classes. A package that is not installed adds none.
"""

from collections.abc import Iterator
import importlib.metadata
import sys

from cleo import application
from cleo.commands import command

from daisypick_cli.commands import data_centre
from daisypick_cli.commands import folder_commands
from daisypick_cli.commands import inspection
from daisypick_cli.commands import key
from daisypick_cli.commands import logs

VERSION = "0.1.0"
GROUP = "daisypick.commands"
_MODULES = (folder_commands, data_centre, inspection, key, logs)


def make_application() -> application.Application:
    """Return the command line with all its commands."""
    daisypick = application.Application("daisypick", VERSION)
    for module in _MODULES:
        for command_class in module.COMMANDS:
            daisypick.add(command_class())
    for found in find_commands():
        daisypick.add(found())
    return daisypick


def find_commands() -> Iterator[type[command.Command]]:
    """Yield the commands that other packages add."""
    for entry_point in importlib.metadata.entry_points(group=GROUP):
        try:
            module = entry_point.load()
        except ImportError as error:
            # A package that fails to import must not prevent operators from
            # running ``apply`` and ``data-centre out``.
            sys.stderr.write(
                f"cannot load commands of {entry_point.value}: {error}\n"
            )
            continue
        yield from module.COMMANDS


def main() -> None:
    """Run the command line."""
    sys.exit(make_application().run())
