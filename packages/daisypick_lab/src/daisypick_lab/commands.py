"""What this package adds to ``daisypick``: ``demo`` and ``measure``."""

import pathlib
import signal

from cleo import helpers
from cleo.commands import command
import gevent
from gevent import event
import msgspec

from daisypick_lab import comparison
from daisypick_lab import embedded
from daisypick_lab import report
from daisypick_lab import results
from daisypick_lab import run
from daisypick_lab import shapes

EXIT_GOOD = 0
EXIT_BAD = 1
EXIT_USAGE = 2
_DEPLOYMENTS = ("union", "kopacka")

_SEED = helpers.option(
    "seed", description="Seed of load and fleet.", flag=False, default="1"
)
_JSON = helpers.option("json", description="Print the result as JSON.")
_QUICK = helpers.option("quick", description="Shorter phases.")


class DemoCommand(command.Command):
    """Run the main job on an embedded fleet."""

    name = "demo"
    description = "Run an embedded fleet under load and show what it did."
    help = """Starts a whole fleet in this process on loopback, sends a mixed
load of eight organisations, one of which floods, takes a data centre out and
brings it back.

  daisypick demo           about 40 seconds, then a table
  daisypick demo --quick   about 15 seconds
  daisypick demo --serve   keeps the fleet up and prints how to call it

Exit codes: 0 if every answer was whole and its own, nothing ran twice and
each "not run" was true; 1 if not; 2 for a wrong option."""
    options = [
        _QUICK,
        helpers.option("serve", description="Keep the fleet up, no load."),
        _SEED,
        _JSON,
    ]

    def handle(self) -> int:
        """Run the demo."""
        seed = _read_seed(self.option("seed"))
        if seed is None:
            self.line_error(_bad_seed(self.option("seed")))
            return EXIT_USAGE
        if self.option("serve"):
            return self._serve(seed)
        result = run.Run(
            shape=shapes.DEMO,
            plan=run.QUICK if self.option("quick") else run.Plan(),
            seed=seed,
            say=self.line_error,
        ).run()
        if self.option("json"):
            self.line(msgspec.json.encode(result).decode())
        else:
            self.line(report.render(result))
        return EXIT_GOOD if result.verdict.is_clean else EXIT_BAD

    def _serve(self, seed: int) -> int:
        fleet = embedded.EmbeddedFleet(shape=shapes.DEMO, seed=seed)
        fleet.start()
        for line in _describe(fleet):
            self.line(line)
        ended = event.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            gevent.signal_handler(number, ended.set)
        ended.wait()
        fleet.stop()
        return EXIT_GOOD


class MeasureCommand(command.Command):
    """Measure the deployments of the brief."""

    name = "measure"
    description = "Measure fairness, utilisation, control and a data centre."
    help = """Runs the deployments of today's sizes on an embedded fleet and
prints the four measures: fairness gap, utilisation, control traffic, and
service while a data centre leaves and returns.

  daisypick measure --output now.json
  daisypick measure --deployment union --compare now.json

Exit codes: 0 if every answer was whole and its own and nothing ran twice; 1
if not; 2 for a wrong option or an unreadable file."""
    options = [
        helpers.option(
            "deployment",
            description="union or kopacka; default: both.",
            flag=False,
            multiple=True,
        ),
        helpers.option(
            "output", description="Write the results as JSON.", flag=False
        ),
        helpers.option(
            "compare", description="Earlier results as JSON.", flag=False
        ),
        _QUICK,
        _SEED,
        _JSON,
    ]

    def handle(self) -> int:
        """Measure."""
        seed = _read_seed(self.option("seed"))
        names = tuple(self.option("deployment")) or _DEPLOYMENTS
        if seed is None:
            self.line_error(_bad_seed(self.option("seed")))
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
        found = [
            run.Run(
                shape=shapes.by_name[name],
                plan=plan,
                seed=seed,
                say=self.line_error,
            ).run()
            for name in names
        ]
        self._show(found, earlier)
        is_clean = all(result.verdict.is_clean for result in found)
        return EXIT_GOOD if is_clean else EXIT_BAD

    def _show(
        self, found: list[results.Result], earlier: list[results.Result]
    ) -> None:
        encoded = msgspec.json.format(msgspec.json.encode(found))
        if self.option("output"):
            pathlib.Path(self.option("output")).write_bytes(encoded + b"\n")
        if self.option("json"):
            self.line(encoded.decode())
            return
        for result in found:
            self.line(f"deployment {result.deployment}, seed {result.seed}")
            self.line(report.render(result))
            self.line("")
        if earlier:
            self.line(comparison.render(earlier, found))


COMMANDS = [DemoCommand, MeasureCommand]


def _read_seed(text: str) -> int | None:
    try:
        return int(text)
    except ValueError:
        return None


def _bad_seed(text: str) -> str:
    return f"seed: {text!r} is no whole number"


def _describe(fleet: embedded.EmbeddedFleet) -> list[str]:
    """Return addresses and a line to try."""
    router = fleet.router_addresses[0]
    profile = fleet.shape.profiles[0]
    body = (
        f'{{"model": "{fleet.shape.model_service}", "stream": true, '
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
        "End with Ctrl-C.",
    ]
