"""``fairness``."""

import pathlib

from cleo import helpers

from daisypick_cli import exit_codes
from daisypick_cli import fairness_log
from daisypick_cli.commands import base
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.scheduling import fair_windows

_MAX_ROWS = 10


class FairnessCommand(base.OperatorCommand):
    """``daisypick fairness``."""

    name = "fairness"
    description = "Show the least served organisations from routers' logs."
    help = """\
Prints, for each organisation that was starved throughout six seconds, the
worst such span: its usage against half of its own demand or half of the best
served organisation's usage, whichever is less. A margin below 1 is unfair,
unless servers or routers failed at that time.

Examples:
  daisypick fairness router-1.log router-2.log
"""
    arguments = [
        helpers.argument("logs", description="Log files.", multiple=True)
    ]
    options = [base.JSON_OPTION]

    def handle(self) -> int:
        """Read the logs and print the smallest margins."""
        lines: list[str] = []
        for name in self.argument("logs"):
            try:
                text = pathlib.Path(name).read_text(errors="replace")
            except OSError as error:
                return self.report_failure(
                    failure_value.Failure(
                        code=codes.BAD_VALUE, reason=f"logs: {error}"
                    )
                )
            lines.extend(text.splitlines())
        least_served = fair_windows.find_least_served(
            fairness_log.read_seconds(lines)
        )
        self.print_output(
            [served._asdict() for served in least_served[:_MAX_ROWS]],
            [_format_row(served) for served in least_served[:_MAX_ROWS]]
            or ["No organisation was starved throughout six seconds."],
        )
        return exit_codes.OK


def _format_row(served: fair_windows.Served) -> str:
    return (
        f"{served.margin:.2f}  {served.organisation} from {served.begins}:"
        f" asked {served.asked:.0f}, got {served.got:.0f},"
        f" {served.best} got {served.best_got:.0f}"
    )


COMMANDS = [FairnessCommand]
