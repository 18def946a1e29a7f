"""``status``, ``dump`` and ``explain``."""

import typing

from cleo import helpers
import msgspec

from daisypick_cli import exit_codes
from daisypick_cli import processes as fleet
from daisypick_cli import status
from daisypick_cli.commands import base
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

_UNAVAILABLE_HELP = base.explain_exit_codes(
    exit_codes.FAULTS, exit_codes.UNAVAILABLE
)
_ROUTERS_OPTION = helpers.option(
    "router",
    description="Address of a router to query, host:port; may be repeated. "
    "Default: the routers that the agents know.",
    flag=False,
    multiple=True,
)
_LIMIT_OPTION = helpers.option(
    "agents",
    description="Agents to query in each data centre; default: 100.",
    flag=False,
    default="100",
)


class _FleetCommand(base.OperatorCommand):
    """A command that queries many processes."""

    def fetch_dumps(self) -> status.FleetDumps | failure_value.Failure:
        """Return the dumps of agents and routers."""
        processes = self.make_processes()
        if failure_value.is_failure(processes):
            return processes
        if not self.option("agents").isdecimal():
            return failure_value.Failure(
                code=codes.BAD_VALUE, reason="agents: not a number"
            )
        current = self.read_stored()
        if failure_value.is_failure(current):
            return current
        return status.query_fleet(
            processes,
            current,
            per_data_centre=int(self.option("agents")),
            routers=self.option("router"),
        )


class StatusCommand(_FleetCommand):
    """``daisypick status``."""

    name = "status"
    description = "Show a summary of the fleet."
    help = (
        """\
Queries agents of the configuration in force, and routers.

Examples:
  daisypick status
  daisypick status --agents 5 --router 10.0.0.9:7000 --json
"""
        + _UNAVAILABLE_HELP
    )
    options = [_ROUTERS_OPTION, _LIMIT_OPTION, *base.STORE_OPTIONS]

    def handle(self) -> int:
        """Query the fleet and print the summary."""
        fleet_dumps = self.fetch_dumps()
        if failure_value.is_failure(fleet_dumps):
            return self.report_failure(fleet_dumps)
        summary = status.summarise(fleet_dumps)
        self.print_output(summary, status.format_lines(summary))
        return exit_codes.OK


class DumpCommand(base.OperatorCommand):
    """``daisypick dump``."""

    name = "dump"
    description = "Print the state of a process as JSON."
    help = (
        """\
Examples:
  daisypick dump 10.0.0.9:7000
"""
        + _UNAVAILABLE_HELP
    )
    arguments = [helpers.argument("address", description="host:port.")]
    options = [base.CA_OPTION, base.JSON_OPTION]

    def handle(self) -> int:
        """Fetch and print the dump."""
        processes = self.make_processes()
        if failure_value.is_failure(processes):
            return self.report_failure(processes)
        outcome = _call(processes.dump, self.argument("address"))
        if failure_value.is_failure(outcome):
            return self.report_failure(outcome)
        text = msgspec.json.format(msgspec.json.encode(outcome), indent=2)
        self.print_output(outcome, [text.decode()])
        return exit_codes.OK


class ExplainCommand(_FleetCommand):
    """``daisypick explain``."""

    name = "explain"
    description = "Show the events that processes recorded for a request."
    help = (
        """\
Queries one process, or the same processes as status. Processes keep the
events of the most recent requests only.

Examples:
  daisypick explain 0af3c1 --at 10.0.0.9:7000
  daisypick explain 0af3c1
"""
        + _UNAVAILABLE_HELP
    )
    arguments = [
        helpers.argument("request-id", description="Id of the request.")
    ]
    options = [
        helpers.option("at", description="Address of a process.", flag=False),
        _ROUTERS_OPTION,
        _LIMIT_OPTION,
        *base.STORE_OPTIONS,
    ]

    def handle(self) -> int:
        """Query the processes and print the events."""
        request_id = self.argument("request-id")
        processes = self.make_processes()
        if failure_value.is_failure(processes):
            return self.report_failure(processes)
        addresses = [self.option("at")] if self.option("at") else None
        if addresses is None:
            fleet_dumps = self.fetch_dumps()
            if failure_value.is_failure(fleet_dumps):
                return self.report_failure(fleet_dumps)
            addresses = list(fleet_dumps.dump_by_address)
        outcomes = processes.call_each(
            lambda address: _call(
                lambda one: processes.explain(one, request_id), address
            ),
            addresses,
        )
        return self._report(request_id, outcomes)

    def _report(self, request_id: str, outcomes: dict[str, typing.Any]) -> int:
        known = {
            address: outcome
            for address, outcome in outcomes.items()
            if not failure_value.is_failure(outcome)
        }
        if not known:
            return self.report_failure(
                _unknown_request_failure(request_id, outcomes)
            )
        lines = [
            f"{address}  {msgspec.json.encode(event).decode()}"
            for address, outcome in known.items()
            for event in outcome.get("events", [])
        ]
        self.print_output(known, lines)
        return exit_codes.OK


def _unknown_request_failure(
    request_id: str, outcomes: dict[str, typing.Any]
) -> failure_value.Failure:
    """Return the only process's failure, or one that sums up all of them."""
    if len(outcomes) == 1:
        return next(iter(outcomes.values()))
    unresponsive = sum(
        outcome.code == codes.PEER_UNREACHABLE for outcome in outcomes.values()
    )
    return failure_value.Failure(
        code=codes.NOT_FOUND,
        reason=f"request {request_id}: none of {len(outcomes)} processes has "
        f"events of it; {unresponsive} did not respond",
    )


def _call(
    call: typing.Callable[[str], fleet.Json | failure_value.Failure],
    address: str,
) -> fleet.Json | failure_value.Failure:
    """Call a process; an address that a user mistyped is a failure."""
    try:
        return call(address)
    except ValueError as error:
        return failure_value.Failure(code=codes.BAD_VALUE, reason=str(error))


COMMANDS = [StatusCommand, DumpCommand, ExplainCommand]
