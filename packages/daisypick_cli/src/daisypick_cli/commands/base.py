"""Options, output and exit codes shared by the commands."""

from collections.abc import Iterable
import os
import pathlib
import random
import time
import typing

from cleo import helpers
from cleo.commands import command
from cleo.io.inputs import option as cleo_option
from cleo.io.outputs import output as cleo_output
import gevent
import msgspec

from daisypick_cli import applying
from daisypick_cli import exit_codes
from daisypick_cli import processes as fleet
from daisypick_cli import publication
from daisypick_core.configuration import check
from daisypick_core.configuration import model
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.platform import budget as call_budget
from daisypick_node.platform import http as _http_platform  # noqa: F401
from daisypick_node.platform import interface

# An apply reads its packs in one burst and then makes few further calls.
_CALLS_PER_SECOND = 50.0
_BURST = 500.0

JSON_OPTION = helpers.option("json", description="Print JSON.")
FOLDER_OPTION = helpers.option(
    "folder",
    description="Folder of TOML files [DAISYPICK_FOLDER]; default: "
    "configuration.",
    flag=False,
)
PLATFORM_OPTION = helpers.option(
    "platform",
    description="Address of the platform, host:port [DAISYPICK_PLATFORM].",
    flag=False,
)
PLATFORM_CLIENT_OPTION = helpers.option(
    "platform-client",
    description="Registered client of the platform "
    "[DAISYPICK_PLATFORM_CLIENT]; default: http.",
    flag=False,
)
CA_OPTION = helpers.option(
    "tls-ca",
    description="CA file to verify processes with [DAISYPICK_TLS_CA].",
    flag=False,
)
WAIT_OPTION = helpers.option(
    "wait",
    description="Seconds to wait for the platform; default: "
    f"{publication.RETRY_TIMEOUT_SECONDS:.0f}.",
    flag=False,
)
STORE_OPTIONS = [
    PLATFORM_OPTION,
    PLATFORM_CLIENT_OPTION,
    CA_OPTION,
    WAIT_OPTION,
    JSON_OPTION,
]


def explain_exit_codes(*numbers: int) -> str:
    """Return the section of a help text that lists the exit codes."""
    lines = [
        f"  {number}  {exit_codes.MEANING_BY_CODE[number]}"
        for number in (exit_codes.OK, exit_codes.USAGE, *numbers)
    ]
    return "\n".join(["", "Exit codes:", *lines])


class OperatorCommand(command.Command):
    """Base class of the operators' commands."""

    def setting(self, name: str, default: str = "") -> str:
        """Return an option, its environment variable or the default."""
        given = self.option(name) if self._has_option(name) else None
        variable = "DAISYPICK_" + name.replace("-", "_").upper()
        return given or os.environ.get(variable, "") or default

    def _has_option(self, name: str) -> bool:
        options: list[cleo_option.Option] = self.definition.options
        return any(option.name == name for option in options)

    @property
    def folder(self) -> pathlib.Path:
        """The operators' folder."""
        return pathlib.Path(self.setting("folder", "configuration"))

    def print_output(self, value: object, lines: Iterable[str]) -> None:
        """Print a value as JSON with ``--json``, else print the lines."""
        if self.option("json"):
            lines = [msgspec.json.encode(value).decode()]
        for line in lines:
            self.io.write_line(line, type=cleo_output.Type.RAW)

    def report_failure(self, failure: failure_value.Failure) -> int:
        """Print a failure and return its exit code."""
        value = {
            "code": failure.code.number,
            "title": failure.code.title,
            "reason": failure.reason,
        }
        text = f"{failure.code.title}: {failure.reason}"
        self._print_error(value, [f"{text} [{failure.code.number}]"])
        return exit_codes.of_failure(failure)

    def report_faults(self, checked: check.Checked) -> int:
        """Print all faults of a folder and return the exit code."""
        faults = [
            {
                "file": fault.file,
                "key": fault.key,
                "code": fault.code.number,
                "reason": fault.reason,
            }
            for fault in checked.faults
        ]
        self._print_error({"faults": faults}, map(str, checked.faults))
        return exit_codes.FAULTS

    def report_conflict(self, conflict: publication.Conflict) -> int:
        """Print a conflict and what others changed; return the exit code."""
        value = {
            "code": conflict.failure.code.number,
            "reason": conflict.failure.reason,
            "generation": conflict.generation,
            "changes": [str(change) for change in conflict.changes],
        }
        lines = [
            f"{conflict.failure.code.title}: {conflict.failure.reason}; "
            f"generation {conflict.generation} is in force:",
            *(f"  {change}" for change in conflict.changes),
            "Merge their files into the folder and apply again, or revert "
            f"their changes with --overwrite {conflict.generation}.",
        ]
        self._print_error(value, lines)
        return exit_codes.CONFLICT

    def _print_error(self, value: object, lines: Iterable[str]) -> None:
        """Print lines to standard error, or JSON to standard output."""
        if self.option("json"):
            self.print_output(value, [])
            return
        for line in lines:
            self.io.write_error_line(line, type=cleo_output.Type.RAW)

    def make_publisher(
        self,
    ) -> publication.Publisher | failure_value.Failure:
        """Return a publisher for the platform in the settings."""
        address = self.setting("platform")
        name = self.setting("platform-client", "http")
        factory = interface.by_name.get(name)
        if factory is None:
            known = ", ".join(sorted(interface.by_name))
            return _bad_setting(
                f"platform-client: {name!r} is not one of: {known}"
            )
        budget = call_budget.CallBudget(rate=_CALLS_PER_SECOND, burst=_BURST)
        try:
            retry_timeout = float(
                self.setting("wait", str(publication.RETRY_TIMEOUT_SECONDS))
            )
            client = factory(address=address, budget=budget)
        except ValueError as error:
            return _bad_setting(f"platform or wait: {error}")
        return publication.Publisher(
            client=client,
            clock=time.monotonic,
            sleep=gevent.sleep,
            rng=random.Random(),
            retry_timeout=retry_timeout,
        )

    def make_applier(self) -> applying.Applier | failure_value.Failure:
        """Return an applier for the platform and the fleet."""
        publisher = self.make_publisher()
        if failure_value.is_failure(publisher):
            return publisher
        processes = self.make_processes()
        if failure_value.is_failure(processes):
            processes = None
        return applying.Applier(publisher=publisher, processes=processes)

    def make_processes(self) -> fleet.Processes | failure_value.Failure:
        """Return a client for running processes.

        The key is never an option: command lines are visible in process
        lists.
        """
        key = os.environ.get("DAISYPICK_OPERATOR_KEY", "")
        if not key:
            return _bad_setting("DAISYPICK_OPERATOR_KEY is not set")
        return fleet.Processes(
            operator_key=key, ca_file=self.setting("tls-ca") or None
        )

    def read_stored(
        self,
    ) -> model.Configuration | failure_value.Failure:
        """Return the configuration in the store."""
        publisher = self.make_publisher()
        if failure_value.is_failure(publisher):
            return publisher
        stored = publisher.read()
        if failure_value.is_failure(stored):
            return stored
        return stored.configuration

    def report_outcome(self, outcome: applying.Outcome) -> int:
        """Print the outcome of an apply and return the exit code."""
        if isinstance(outcome, publication.Conflict):
            return self.report_conflict(outcome)
        if failure_value.is_failure(outcome):
            return self.report_failure(outcome)
        applied = typing.cast(applying.Applied, outcome)
        value = {
            **applied._asdict(),
            "changes": [str(change) for change in applied.changes],
        }
        self.print_output(value, _outcome_lines(applied))
        return exit_codes.OK


def _outcome_lines(applied: applying.Applied) -> Iterable[str]:
    for change in applied.changes:
        yield f"  {change}"
    if applied.is_new:
        yield f"Generation {applied.generation} was accepted."
    else:
        yield (
            f"Nothing to change; generation {applied.generation} "
            "remains in force."
        )
    if applied.asked:
        yield f"{applied.told} of {applied.asked} notified processes have it."


def _bad_setting(reason: str) -> failure_value.Failure:
    return failure_value.Failure(code=codes.BAD_VALUE, reason=reason)
