"""``fairness``."""

import pathlib

from cleo import helpers

from daisypick_cli import exit_codes
from daisypick_cli import fairness_log
from daisypick_cli.commands import base
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.scheduling import fair_windows

_SHOWN = 10


class FairnessCommand(base.OperatorCommand):
    """``daisypick fairness``."""

    name = "fairness"
    description = "Show from routers' logs who was served least."
    help = """\
For each organisation that waited through six seconds, the worst such span:
what it got against half of what it asked or of what the best served one got.
A margin below 1 is unfair, unless servers or routers failed at that time.

Examples:
  daisypick fairness router-1.log router-2.log
"""
    arguments = [
        helpers.argument("logs", description="Log files.", multiple=True)
    ]
    options = [base.JSON_OPTION]

    def handle(self) -> int:
        """Read the logs and show the least margins."""
        lines: list[str] = []
        for name in self.argument("logs"):
            try:
                text = pathlib.Path(name).read_text(errors="replace")
            except OSError as error:
                return self.fail(
                    failure_value.Failure(
                        code=codes.BAD_VALUE, reason=f"logs: {error}"
                    )
                )
            lines.extend(text.splitlines())
        found = fair_windows.find_least_served(fairness_log.read_seconds(lines))
        self.say(
            [served._asdict() for served in found[:_SHOWN]],
            [_write_line(served) for served in found[:_SHOWN]]
            or ["No organisation waited through six seconds."],
        )
        return exit_codes.OK


def _write_line(served: fair_windows.Served) -> str:
    return (
        f"{served.margin:.2f}  {served.organisation} from {served.begins}:"
        f" asked {served.asked:.0f}, got {served.got:.0f},"
        f" {served.best} got {served.best_got:.0f}"
    )


COMMANDS = [FairnessCommand]
