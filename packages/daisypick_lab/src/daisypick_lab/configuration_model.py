"""Time until a configuration change is in force on all nodes, and its cost.

No process has any other traffic. This is the worst case: other messages
between processes also carry the generation and speed up the distribution.

Usage: ``python -m daisypick_lab.configuration_model`` prints a table. Times
are seconds of the virtual clock; costs are per node.
"""

from daisypick_lab import configuration_fleet

REGION = frozenset({0, 1})
SCENARIOS = (
    configuration_fleet.Scenario("100 nodes", nodes=100),
    configuration_fleet.Scenario("200 nodes", nodes=200),
    configuration_fleet.Scenario("400 nodes", nodes=400),
    configuration_fleet.Scenario("800 nodes", nodes=800),
    configuration_fleet.Scenario(
        "3,990 nodes", nodes=3_990, organisations=40, seconds=60.0
    ),
    configuration_fleet.Scenario(
        "22,000 organisations",
        nodes=60,
        organisations=22_000,
        watchers=1,
        offered=0,
    ),
    configuration_fleet.Scenario(
        "10 times the changes", changes_per_second=1.39
    ),
    configuration_fleet.Scenario("10% of calls lost", loss=0.1),
    configuration_fleet.Scenario("changes not offered", offered=0),
    configuration_fleet.Scenario("store down from start", store_up_until=0.0),
    configuration_fleet.Scenario(
        "60 s region partition", cut=REGION, cut_from=30.0, cut_until=90.0
    ),
)


def main() -> None:
    """Run all scenarios and print a table."""
    print(
        f"{'scenario':22} {'changes':>7} {'median s':>8} {'slowest s':>9} "
        f"{'msgs/s':>7} {'bytes/s':>8} {'cpu ms/s':>8} {'lowered':>7}"
    )
    for scenario in SCENARIOS:
        outcome = configuration_fleet.Fleet(scenario=scenario, seed=1).run()
        print(
            f"{scenario.name:22} {outcome.changes:7} {outcome.median:8.3f} "
            f"{outcome.slowest:9.3f} {outcome.messages:7.2f} "
            f"{outcome.bytes:8.0f} {outcome.cpu:8.3f} {outcome.lowered:7}",
            flush=True,
        )


if __name__ == "__main__":
    main()
