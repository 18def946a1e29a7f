"""``fairness`` and ``rollout``."""

import pathlib

from cleo import helpers

from daisypick_cli import exit_codes
from daisypick_cli import fairness_log
from daisypick_cli import rollout_log
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
        lines = _read_lines(self.argument("logs"))
        if failure_value.is_failure(lines):
            return self.report_failure(lines)
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


class RolloutCommand(base.OperatorCommand):
    """``daisypick rollout``."""

    name = "rollout"
    description = "Show the course of roll-outs from routers' logs."
    help = """\
Prints the steps of each roll-out with the number of routers that have taken
them and why a version was rolled back, then by route the answers, failures and
median times of both versions, as counted by the router that decided.

Examples:
  daisypick rollout router-1.log router-2.log
  daisypick rollout --json router-*.log
"""
    arguments = [
        helpers.argument("logs", description="Log files.", multiple=True)
    ]
    options = [base.JSON_OPTION]

    def handle(self) -> int:
        """Read the logs and print steps and answers."""
        lines = _read_lines(self.argument("logs"))
        if failure_value.is_failure(lines):
            return self.report_failure(lines)
        steps, answers = rollout_log.read(lines)
        self.print_output(
            {
                "steps": [step._asdict() for step in steps],
                "answers": [row._asdict() for row in answers],
            },
            [
                *(_format_step(step) for step in steps),
                *(_format_answers(row) for row in answers),
            ]
            or ["The logs show no roll-out."],
        )
        return exit_codes.OK


def _read_lines(names: list[str]) -> list[str] | failure_value.Failure:
    lines: list[str] = []
    for name in names:
        try:
            text = pathlib.Path(name).read_text(errors="replace")
        except OSError as error:
            return failure_value.Failure(
                code=codes.BAD_VALUE, reason=f"logs: {error}"
            )
        lines.extend(text.splitlines())
    return lines


def _format_step(step: rollout_log.Step) -> str:
    return (
        f"{step.at:.3f}  {step.service} to {step.target}: {step.text}"
        f" ({step.routers} routers)"
    )


def _format_answers(row: rollout_log.Answers) -> str:
    return (
        f"{row.service} to {row.target}, {row.route}, {row.version}:"
        f" {row.answers} answers, {row.failures} failures,"
        f" first byte {row.first_ms:.0f} ms, pause {row.pace_ms:.0f} ms"
    )


COMMANDS = [FairnessCommand, RolloutCommand]
