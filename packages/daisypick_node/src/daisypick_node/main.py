"""The binary ``daisypickd``: ``daisypickd router`` and ``daisypickd agent``.

Exit codes: 0 after a graceful shutdown, 2 for bad settings (all of them are
listed), 1 for anything else.
"""

import signal
import sys

from cleo import application
from cleo import helpers
from cleo.commands import command
import gevent
import gevent.event

from daisypick_core.results import failure as failure_value
from daisypick_node import logs
from daisypick_node import process as process_module
from daisypick_node import settings as settings_module
from daisypick_node.agent import process as agent_process
from daisypick_node.platform import budget as call_budget
from daisypick_node.platform import http as _http_platform  # noqa: F401
from daisypick_node.platform import interface
from daisypick_node.router import process as router_process

VERSION = "0.1.0"
EXIT_OK = 0
EXIT_BAD_SETTINGS = 2

_log = logs.PartLog("daisypickd")


def _flags(settings_class: type[settings_module.ProcessSettings]) -> list:
    """Return a flag for each field of the settings."""
    return [
        helpers.option(
            name.replace("_", "-"),
            description=(
                f"{field.description} [{settings_module.PREFIX}{name.upper()}]"
            ),
            flag=False,
        )
        for name, field in settings_class.model_fields.items()
    ]


class _DaemonCommand(command.Command):
    """Starts a process and waits for a signal to drain it."""

    settings_class: type[settings_module.ProcessSettings]
    process_class: type[process_module.Process]

    def handle(self) -> int:
        """Run the process until a signal stops it."""
        given = {
            name: self.option(name.replace("_", "-"))
            for name in self.settings_class.model_fields
        }
        flags = {k: v for k, v in given.items() if v is not None}
        settings = settings_module.load(self.settings_class, flags)
        if isinstance(settings, list):
            return self._report(settings)
        logs.write_to_stdout()
        process = self.process_class(
            settings=settings, platform=make_platform(settings)
        )
        run_until_signal(process)
        return EXIT_OK

    def _report(self, faults: list[failure_value.Failure]) -> int:
        for fault in faults:
            self.line_error(f"{fault.code.number} {fault.reason}")
        return EXIT_BAD_SETTINGS


class RouterCommand(_DaemonCommand):
    """``daisypickd router``."""

    name = "router"
    description = "Run a router on an entry VM."
    settings_class = settings_module.RouterSettings
    process_class = router_process.RouterProcess
    options = _flags(settings_module.RouterSettings)


class AgentCommand(_DaemonCommand):
    """``daisypickd agent``."""

    name = "agent"
    description = "Run the agent beside a backend server."
    settings_class = settings_module.AgentSettings
    process_class = agent_process.AgentProcess
    options = _flags(settings_module.AgentSettings)


def make_platform(
    settings: settings_module.ProcessSettings,
) -> interface.PlatformClient:
    """Return the registered client of the platform in the settings."""
    factory = interface.by_name[settings.platform_client]
    return factory(
        address=settings.platform,
        ca_file=settings.platform_ca or None,
        budget=call_budget.CallBudget(rate=settings.platform_calls_per_second),
    )


def run_until_signal(process: process_module.Process) -> None:
    """Run a process until SIGTERM or SIGINT.

    The first signal drains the process, a second one stops it at once. SIGHUP
    is logged and changes nothing.
    """
    drain_requested = gevent.event.Event()
    stop_requested = gevent.event.Event()

    def _handle_signal() -> None:
        if drain_requested.is_set():
            stop_requested.set()
        drain_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, _handle_signal)
    gevent.signal_handler(
        signal.SIGHUP, _log.say, "Ignores SIGHUP; settings are read at a start."
    )
    # Blocked since the start of the program.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    process.start()
    sys.stderr.write(f"listening on {process.address}\n")
    sys.stderr.flush()
    drain_requested.wait()
    _log.say("Drains.", address=process.address)
    draining = gevent.spawn(process.drain)
    gevent.wait([draining, stop_requested], count=1)
    process.stop()
    _log.say("Stops.", address=process.address)


def main() -> None:
    """Run the command line."""
    daemon = application.Application("daisypickd", VERSION)
    daemon.add(RouterCommand())
    daemon.add(AgentCommand())
    sys.exit(daemon.run())
