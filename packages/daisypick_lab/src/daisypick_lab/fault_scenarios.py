"""Fault scenarios for an embedded fleet under load.

Each scenario is a function that injects faults into the fleet, with pauses in
between, and is registered by its name. ``run_scenario`` runs one of them under
load and returns the verdict on all responses.

Examples:
    >>> "platform_outage" in by_name
    True
"""

from collections.abc import Callable
import typing

import gevent

from daisypick_lab import deployments
from daisypick_lab import embedded
from daisypick_lab import load
from daisypick_lab import tally as tally_module
from daisypick_standins.engine import faults as engine_faults
from daisypick_standins.plain import faults as plain_faults
from daisypick_standins.platform import faults as platform_faults

FaultScenario = Callable[[embedded.EmbeddedFleet], None]

by_name: dict[str, FaultScenario] = {}

_ROUNDS = 2
_PAUSE_SECONDS = 0.1
_FINISH_SECONDS = 60.0


class ScenarioResult(typing.NamedTuple):
    """Result of a fault scenario.

    Attributes:
        tally: Results of all calls.
        verdict: Violations found in them.
        is_done: Whether every call ended in time.
    """

    tally: tally_module.Tally
    verdict: tally_module.Verdict
    is_done: bool


def register(name: str) -> Callable[[FaultScenario], FaultScenario]:
    """Return a decorator that registers a scenario under a name."""

    def _add(scenario: FaultScenario) -> FaultScenario:
        by_name[name] = scenario
        return scenario

    return _add


def run_scenario(
    name: str,
    *,
    deployment: deployments.Deployment,
    seed: int,
    min_whole: int = 0,
) -> ScenarioResult:
    """Run a fault scenario under load.

    Args:
        name: Name of a registered scenario.
        deployment: The fleet and its load.
        seed: Seed of both.
        min_whole: Whole responses until which the load goes on, for some time
            at most.
    """
    fleet = embedded.EmbeddedFleet(deployment=deployment, seed=seed)
    try:
        fleet.start()
        generator = load.LoadGenerator(
            profiles=deployment.profiles,
            routers=fleet.router_addresses,
            seed=seed,
        )
        generator.start()
        gevent.sleep(_PAUSE_SECONDS)
        by_name[name](fleet)
        gevent.sleep(_PAUSE_SECONDS)
        _wait_for_whole(generator.tally, min_whole)
        is_done = generator.stop(_FINISH_SECONDS)
        verdict = generator.tally.verdict(fleet.runs_by_marker())
        return ScenarioResult(generator.tally, verdict, is_done)
    finally:
        fleet.stop()


def _wait_for_whole(tally: tally_module.Tally, count: int) -> None:
    with gevent.Timeout(_FINISH_SECONDS, False):
        while tally.by_phase[""].outcomes["whole"] < count:
            gevent.sleep(_PAUSE_SECONDS)


@register("platform_outage")
def _platform_outage(fleet: embedded.EmbeddedFleet) -> None:
    """Respond with 503, then not at all, with recovery after each."""
    for outage in (platform_faults.UNAVAILABLE, platform_faults.SILENT):
        fleet.platform.set_faults(platform_faults.Faults(outage=outage))
        gevent.sleep(3 * _PAUSE_SECONDS)
        fleet.platform.set_faults(platform_faults.Faults())
        gevent.sleep(_PAUSE_SECONDS)


@register("platform_answers_lost")
def _platform_answers_lost(fleet: embedded.EmbeddedFleet) -> None:
    """Lose responses to writes that took effect, in each possible way."""
    for fault in ("lose_answers", "server_errors", "abort_writes"):
        fleet.platform.set_faults(platform_faults.Faults(**{fault: 3}))
        gevent.sleep(2 * _PAUSE_SECONDS)
    fleet.platform.set_faults(platform_faults.Faults())


@register("engine_breaks_answers")
def _engine_breaks_answers(fleet: embedded.EmbeddedFleet) -> None:
    """Fail a request at one engine and truncate a response of it."""
    engine = next(iter(fleet.engines.values()))
    for _ in range(_ROUNDS):
        engine.set_faults(engine_faults.Faults(break_off=1, fail=1))
        gevent.sleep(4 * _PAUSE_SECONDS)


@register("engines_turn_cold")
def _engines_turn_cold(fleet: embedded.EmbeddedFleet) -> None:
    """Turn engines cold one after another, with unchanged boot ids."""
    for engine in fleet.engines.values():
        engine.set_faults(engine_faults.Faults(turn_cold=True))
        gevent.sleep(_PAUSE_SECONDS)


@register("engine_crashes")
def _engine_crashes(fleet: embedded.EmbeddedFleet) -> None:
    """Crash engines: all running requests fail and the engine restarts."""
    for engine in list(fleet.engines.values())[:2]:
        engine.set_faults(engine_faults.Faults(crash=True))
        gevent.sleep(3 * _PAUSE_SECONDS)


@register("plain_service_loses_answers")
def _plain_service_loses_answers(fleet: embedded.EmbeddedFleet) -> None:
    """Lose, truncate, fail and refuse calls at the plain services."""
    for fault in ("lose", "half", "fail", "refuse"):
        for service in fleet.plain_services.values():
            service.set_faults(plain_faults.Faults(**{fault: 2}))
        gevent.sleep(2 * _PAUSE_SECONDS)


@register("data_centres_out_and_in")
def _data_centres_out_and_in(fleet: embedded.EmbeddedFleet) -> None:
    """Take the data centres out of service and in again, one by one."""
    for name in fleet.deployment.data_centres:
        fleet.set_data_centre(name, is_in=False)
        gevent.sleep(_PAUSE_SECONDS)
        fleet.set_data_centre(name, is_in=True)


@register("agents_restart")
def _agents_restart(fleet: embedded.EmbeddedFleet) -> None:
    """Stop an engine's and a plain service's agent without draining.

    New agents start immediately at the same addresses.
    """
    for names in (fleet.engines, fleet.plain_services):
        fleet.restart_agent(next(iter(names)))
        gevent.sleep(_PAUSE_SECONDS)


@register("agents_drain")
def _agents_drain(fleet: embedded.EmbeddedFleet) -> None:
    """Shut agents down gracefully, as SIGTERM does; restart them."""
    for name in list(fleet.agents):
        fleet.agents[name].drain()
        fleet.restart_agent(name)


@register("routers_drain")
def _routers_drain(fleet: embedded.EmbeddedFleet) -> None:
    """Shut one router down gracefully, as SIGTERM does."""
    fleet.routers[0].drain()
