"""The commands ``daisypick demo`` and ``daisypick measure``."""

import pathlib
import signal

from cleo import helpers
from cleo.commands import command
import gevent
from gevent import event
import msgspec

from daisypick_lab import comparison
from daisypick_lab import deployments
from daisypick_lab import embedded
from daisypick_lab import report
from daisypick_lab import results
from daisypick_lab import run

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
_DEPLOYMENTS = ("union", "studio")

_SEED = helpers.option(
    "seed",
    description="Random seed of load and fleet.",
    flag=False,
    default="1",
)
_JSON = helpers.option("json", description="Print the result as JSON.")
_QUICK = helpers.option("quick", description="Shorter phases.")


class DemoCommand(command.Command):
    """Run an embedded fleet under load and print the measurements."""

    name = "demo"
    description = "Run an embedded fleet under load and report results."
    help = """Starts a whole fleet in this process on loopback, sends a mixed
load of eight organisations, one of which overloads the fleet, takes a data
centre out of service and restores it.

  daisypick demo           about 40 seconds, then a table
  daisypick demo --quick   about 15 seconds
  daisypick demo --serve   keeps the fleet running and prints how to call it

Exit codes: 0 if every response was complete and belonged to its request, no
non-repeatable request ran twice and no request reported as "not run" ran; 1
otherwise; 2 for an invalid option."""
    options = [
        _QUICK,
        helpers.option(
            "serve", description="Serve until interrupted, without load."
        ),
        _SEED,
        _JSON,
    ]

    def handle(self) -> int:
        """Run the demo and return the exit code."""
        seed = _read_seed(self.option("seed"))
        if seed is None:
            self.line_error(_describe_invalid_seed(self.option("seed")))
            return EXIT_USAGE
        if self.option("serve"):
            return self._serve(seed)
        result = run.Run(
            deployment=deployments.DEMO,
            plan=run.QUICK if self.option("quick") else run.Plan(),
            seed=seed,
            report_progress=self.line_error,
        ).run()
        if self.option("json"):
            self.line(msgspec.json.encode(result).decode())
        else:
            self.line(report.render(result))
        return EXIT_SUCCESS if result.verdict.is_clean else EXIT_FAILURE

    def _serve(self, seed: int) -> int:
        fleet = embedded.EmbeddedFleet(deployment=deployments.DEMO, seed=seed)
        fleet.start()
        for line in _describe(fleet):
            self.line(line)
        ended = event.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            gevent.signal_handler(number, ended.set)
        ended.wait()
        fleet.stop()
        return EXIT_SUCCESS


class MeasureCommand(command.Command):
    """Measure the reference deployments."""

    name = "measure"
    description = "Measure fairness, utilisation and control traffic."
    help = """Runs the reference deployments on an embedded fleet and prints
four measures: fairness gap, utilisation, control traffic, and service while a
data centre is taken out of service and restored.

  daisypick measure --output now.json
  daisypick measure --deployment union --compare now.json

Exit codes: 0 if every response was complete and belonged to its request, no
non-repeatable request ran twice and no request reported as "not run" ran; 1
otherwise; 2 for an invalid option or an unreadable file."""
    options = [
        helpers.option(
            "deployment",
            description="union or studio; default: both.",
            flag=False,
            multiple=True,
        ),
        helpers.option(
            "output",
            description="JSON file to write the results to.",
            flag=False,
        ),
        helpers.option(
            "compare", description="JSON file with earlier results.", flag=False
        ),
        _QUICK,
        _SEED,
        _JSON,
    ]

    def handle(self) -> int:
        """Measure the deployments and return the exit code."""
        seed = _read_seed(self.option("seed"))
        names = tuple(self.option("deployment")) or _DEPLOYMENTS
        if seed is None:
            self.line_error(_describe_invalid_seed(self.option("seed")))
            return EXIT_USAGE
        for name in names:
            if name not in _DEPLOYMENTS:
                self.line_error(f"deployment: {name!r} is unknown")
                return EXIT_USAGE
        earlier = comparison.read(self.option("compare"))
        if isinstance(earlier, str):
            self.line_error(earlier)
            return EXIT_USAGE
        plan = run.QUICK if self.option("quick") else run.Plan()
        run_results = [
            run.Run(
                deployment=deployments.by_name[name],
                plan=plan,
                seed=seed,
                report_progress=self.line_error,
            ).run()
            for name in names
        ]
        self._show(run_results, earlier)
        is_clean = all(result.verdict.is_clean for result in run_results)
        return EXIT_SUCCESS if is_clean else EXIT_FAILURE

    def _show(
        self, run_results: list[results.Result], earlier: list[results.Result]
    ) -> None:
        encoded = msgspec.json.format(msgspec.json.encode(run_results))
        if self.option("output"):
            pathlib.Path(self.option("output")).write_bytes(encoded + b"\n")
        if self.option("json"):
            self.line(encoded.decode())
            return
        for result in run_results:
            self.line(f"deployment {result.deployment}, seed {result.seed}")
            self.line(report.render(result))
            self.line("")
        if earlier:
            self.line(comparison.render(earlier, run_results))


COMMANDS = [DemoCommand, MeasureCommand]


def _read_seed(text: str) -> int | None:
    try:
        return int(text)
    except ValueError:
        return None


def _describe_invalid_seed(text: str) -> str:
    return f"seed: {text!r} is not a whole number"


def _describe(fleet: embedded.EmbeddedFleet) -> list[str]:
    """Return the addresses of a fleet and a sample request."""
    router = fleet.router_addresses[0]
    profile = fleet.deployment.profiles[0]
    body = (
        f'{{"model": "{fleet.deployment.model_service}", "stream": true, '
        '"messages": [{"role": "user", "content": "When are you open?"}]}'
    )
    return [
        f"platform: {fleet.platform.address}",
        *(f"router: {address}" for address in fleet.router_addresses),
        *(f"agent {n}: {a.address}" for n, a in fleet.agents.items()),
        f"operator key: {embedded.OPERATOR_KEY}",
        "Try:",
        f"curl -N http://{router}/v1/chat/completions "
        f"-H 'Authorization: Bearer {profile.key}' "
        f"-H 'Content-Type: application/json' -d '{body}'",
        "Press Ctrl-C to stop.",
    ]
