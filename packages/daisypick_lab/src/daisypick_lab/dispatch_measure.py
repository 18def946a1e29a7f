"""Measures queueing, server selection and cold starts in the dispatch model.

Usage: ``python -m daisypick_lab.dispatch_measure [SCENARIO...]`` prints lines
of JSON for each scenario; without names it runs all of them. Every figure is
in virtual time and depends on the seed that is printed with it.
"""

from collections.abc import Callable
import json
import random
import sys
import time
import typing

from daisypick_core.routing import pick
from daisypick_lab import dispatch_model
from daisypick_lab import server_model

Result = dict[str, typing.Any]
Scenario = Callable[[], list[Result]]

SEED = 1
_ORGANISATIONS = 40
_PREFIXES_EACH = 4

by_name: dict[str, Scenario] = {}


def register(name: str) -> Callable[[Scenario], Scenario]:
    """Register a scenario under a name."""

    def _add(scenario: Scenario) -> Scenario:
        by_name[name] = scenario
        return scenario

    return _add


class Arrivals:
    """Requests of many organisations with heavy-tailed lengths."""

    def __init__(
        self, *, fleet: dispatch_model.Fleet, routers: list[str]
    ) -> None:
        self._fleet = fleet
        self._routers = routers
        self._rng = random.Random(SEED)

    def submit(self) -> None:
        """Submit one request."""
        rng = self._rng
        organisation = rng.randrange(_ORGANISATIONS)
        prefix = rng.randrange(_PREFIXES_EACH)
        self._fleet.submit(
            rng.choice(self._routers),
            f"organisation-{organisation}",
            min(1000, int(20 * rng.paretovariate(1.5))),
            prefix=f"{organisation}/{prefix}",
            timeout=1000.0,
        )

    def at_rate(self, rate: float, until: float) -> None:
        """Submit with random intervals at a mean rate per second."""
        self.submit()
        if self._fleet.clock.now < until:
            self._fleet.clock.after(
                self._rng.expovariate(rate), self.at_rate, rate, until
            )


@register("backlog")
def measure_backlog() -> list[Result]:
    """Queue the whole backlog at 1, 10 and all 200 of the routers."""
    results = []
    sizes = dispatch_model.Sizes(routers=200, agents=60, slots=8)
    for loaded_routers in (1, 10, 200):
        fleet = dispatch_model.Fleet(sizes=sizes, cold_slots=8, seed=SEED)
        names = list(fleet.router_by_name)
        arrivals = Arrivals(fleet=fleet, routers=names[:loaded_routers])
        for _ in range(12_000):
            arrivals.submit()
        fleet.clock.run(5.0)
        fleet.metrics.clear()
        fleet.clock.run(20.0)
        results.append(
            {"holders": loaded_routers, "left": fleet.metrics.queued}
            | _queueing_result(fleet.metrics)
        )
    return results


@register("near_capacity")
def measure_near_capacity() -> list[Result]:
    """Send requests at 95 % of capacity to all of many routers."""
    sizes = dispatch_model.Sizes(routers=200, agents=60, slots=8)
    results = []
    for announces_idle in (False, True):
        fleet = dispatch_model.Fleet(
            sizes=sizes, cold_slots=8, announces_idle=announces_idle, seed=SEED
        )
        fleet.report_loads()
        arrivals = Arrivals(fleet=fleet, routers=list(fleet.router_by_name))
        arrivals.at_rate(0.95 * 480 / 1.33, 40.0)
        fleet.clock.run(10.0)
        fleet.metrics.clear()
        fleet.clock.run(40.0)
        results.append(
            {"seeks": announces_idle}
            | _queueing_result(fleet.metrics)
            | _first_token_result(fleet)
        )
    return results


@register("pick")
def measure_pick() -> list[Result]:
    """Compare pick policies at 70 % of capacity with two slow servers."""
    results = []
    for policy in sorted(pick.by_name):
        sizes = dispatch_model.Sizes(routers=20, agents=40, slots=8)
        fleet = dispatch_model.Fleet(
            sizes=sizes, cold_slots=8, policy=policy, seed=SEED
        )
        for slow in ("agent-3", "agent-7"):
            fleet.agent_by_name[slow].server.slowdown = 4.0
        arrivals = Arrivals(fleet=fleet, routers=list(fleet.router_by_name))
        arrivals.at_rate(0.7 * 320 / 1.33, 60.0)
        fleet.clock.run(15.0)
        fleet.metrics.clear()
        fleet.clock.run(60.0)
        results.append({"policy": policy} | _first_token_result(fleet))
    return results


@register("cold")
def measure_cold() -> list[Result]:
    """Turn a third of the servers cold unannounced; count the crashes."""
    results = []
    for cold_slots in (8, 1):
        sizes = dispatch_model.Sizes(routers=20, agents=30, slots=8)
        times = server_model.ServerTimes(cold_seconds=8.0)
        fleet = dispatch_model.Fleet(
            sizes=sizes, times=times, cold_slots=cold_slots, seed=SEED
        )
        arrivals = Arrivals(fleet=fleet, routers=list(fleet.router_by_name))
        arrivals.at_rate(0.6 * 240 / 1.33, 60.0)
        fleet.clock.run(20.0)
        for n in range(0, 30, 3):
            fleet.agent_by_name[f"agent-{n}"].server.turn_cold()
        fleet.clock.run(120.0)
        servers = [agent.server for agent in fleet.agent_by_name.values()]
        results.append(
            {
                "cold_slots": cold_slots,
                "falls": sum(server.crashes for server in servers),
                "broken": fleet.metrics.broken_count,
                "failed": len(fleet.metrics.failures),
                "finished": fleet.metrics.finished,
                "returns": dict(fleet.metrics.not_run_by_title),
                "attempts_per_start": _attempts(fleet.metrics),
            }
            | _first_token_result(fleet)
        )
    return results


@register("data_centre")
def measure_data_centre() -> list[Result]:
    """Take one of three data centres out and in again with cold servers."""
    sizes = dispatch_model.Sizes(routers=50, agents=30, data_centres=3)
    times = server_model.ServerTimes(cold_seconds=8.0)
    fleet = dispatch_model.Fleet(sizes=sizes, times=times, seed=SEED)
    arrivals = Arrivals(fleet=fleet, routers=list(fleet.router_by_name))
    arrivals.at_rate(0.55 * 240 / 1.33, 100.0)
    results = []

    def _record_phase(phase: str, until: float) -> None:
        fleet.metrics.clear()
        fleet.clock.run(until)
        starts_there = [
            at - (until - 20.0)
            for at, name in fleet.metrics.starts
            if fleet.agent_by_name[name].data_centre == "dc-0"
        ]
        servers = [agent.server for agent in fleet.agent_by_name.values()]
        results.append(
            {
                "phase": phase,
                "starts_there": len(starts_there),
                "last_start_there": round(max(starts_there, default=0.0), 3),
                "broken": fleet.metrics.broken_count,
                "failed": len(fleet.metrics.failures),
                "falls": sum(server.crashes for server in servers),
                "returns": dict(fleet.metrics.not_run_by_title),
            }
            | _first_token_result(fleet)
        )

    fleet.clock.run(20.0)
    _record_phase("before", 40.0)
    fleet.publish(fleet.configuration(2, out=("dc-0",)))
    _record_phase("out", 60.0)
    for agent in fleet.agent_by_name.values():
        if agent.data_centre == "dc-0":
            agent.server.turn_cold()
    fleet.publish(fleet.configuration(3))
    _record_phase("back", 80.0)
    _record_phase("after", 100.0)
    return results


def _queueing_result(metrics: dispatch_model.FleetMetrics) -> Result:
    metrics.record()
    return {
        "utilisation": round(metrics.utilisation, 4),
        "idle_slot_seconds": round(metrics.usable_idle_slot_seconds, 2),
        "attempts_per_start": _attempts(metrics),
        "returns": dict(metrics.not_run_by_title),
        "notices_per_agent_second": round(metrics.announcements / 60 / 30, 2),
    }


def _attempts(metrics: dispatch_model.FleetMetrics) -> float:
    return round(metrics.attempts / max(1, len(metrics.starts)), 3)


def _first_token_result(fleet: dispatch_model.Fleet) -> Result:
    servers = [agent.server for agent in fleet.agent_by_name.values()]
    hits = sum(server.hits for server in servers)
    misses = sum(server.misses for server in servers)
    return {
        "first_token_p50": round(fleet.metrics.percentile(50), 3),
        "first_token_p95": round(fleet.metrics.percentile(95), 3),
        "prefix_hits": round(hits / max(1, hits + misses), 3),
    }


def main(names: list[str]) -> None:
    """Run the named scenarios and print their results."""
    for name in names or sorted(by_name):
        started_at = time.perf_counter()
        for result in by_name[name]():
            line = {"scenario": name, "seed": SEED} | result
            print(json.dumps(line), flush=True)
        print(f"# {name}: {time.perf_counter() - started_at:.1f} s", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
