"""Processor time of configuration distribution over real sockets.

All followers run in one process on loopback, without any other work, so its
processor time includes both ends of all calls. The stand-in of the platform
and the publishing operator run in the same process, so the figures are upper
bounds.

Usage: ``python -m daisypick_lab.configuration_sockets`` prints two lines for
each number of followers: idle, and with ten times the reference rate of
changes.
"""

import random
import time
import typing

import gevent

from daisypick_cli import publication
from daisypick_core.configuration import model
from daisypick_core.results import failure as failure_value
from daisypick_lab import configuration_size
from daisypick_node import configuration_service
from daisypick_node.http import keys as keys_module
from daisypick_node.http import peers as peers_module
from daisypick_node.http import server as server_module
from daisypick_node.platform import budget as call_budget
from daisypick_node.platform import http as http_platform
from daisypick_standins.platform import server as platform_server

ORGANISATIONS = 1_000
SECONDS = 10.0
SETTLE_SECONDS = 4.0
CHANGES_PER_SECOND = 1.39
_KEYS = keys_module.Keys(fleet=("fleet-key",), operator=("operator-key",))


class Cost(typing.NamedTuple):
    """Cost per follower and second.

    Attributes:
        cpu: Processor time, milliseconds.
        messages: Number of calls made.
        bytes: Size of these calls including headers, bytes.
    """

    cpu: float
    messages: float
    bytes: float


class Follower:
    """A configuration service with its own listening socket."""

    def __init__(
        self, *, platform: str, seeds: list[str], data_centre: str
    ) -> None:
        self.peers = peers_module.Peers(fleet_key="fleet-key", timeout=2.0)
        self.service = configuration_service.ConfigurationService(
            role="agent",
            data_centre=data_centre,
            seeds=seeds,
            platform=http_platform.HttpPlatformClient(address=platform),
            peers=self.peers,
            install=lambda _: None,
            clock=time.monotonic,
            rng=random.Random(len(seeds)),
        )
        self._server = server_module.Server(
            listen="127.0.0.1:0", routes=self.service.handlers(), keys=_KEYS
        )
        self._server.start()
        self.address = self._server.address
        self.service.start(self.address)

    def stop(self) -> None:
        """Stop the configuration service and the server."""
        self.service.stop()
        self._server.stop(timeout=0)
        self.peers.close()


class Fleet:
    """A stand-in of the platform, a publisher and followers."""

    def __init__(self, *, count: int) -> None:
        self._platform = platform_server.Platform()
        self._platform.start()
        address = self._platform.address
        self.publisher = publication.Publisher(
            client=http_platform.HttpPlatformClient(
                address=address,
                budget=call_budget.CallBudget(rate=100.0, burst=500.0),
            ),
            clock=time.monotonic,
            sleep=gevent.sleep,
            rng=random.Random(1),
        )
        self.configuration = configuration_size.make_configuration(
            ORGANISATIONS
        )._replace(backend_servers_by_name={})
        self.publish()
        self._followers: list[Follower] = []
        for number in range(count):
            self._followers.append(
                Follower(
                    platform=address,
                    seeds=[follower.address for follower in self._followers],
                    data_centre=f"dc-{number % 2}",
                )
            )

    def publish(self) -> None:
        """Publish the current configuration."""
        stored = self.publisher.read()
        assert not failure_value.is_failure(stored)
        outcome = self.publisher.publish(self.configuration, stored)
        assert isinstance(outcome, publication.Published)

    def change(self, number: int) -> None:
        """Change one organisation and publish the configuration."""
        entries = dict(self.configuration.organisations_by_name)
        name = f"organisation-{number % ORGANISATIONS:05}"
        entries[name] = model.Organisation(name, share=100.0 + number)
        self.configuration = self.configuration._replace(
            organisations_by_name=entries
        )
        self.publish()

    def measure(self, changes_per_second: float) -> Cost:
        """Measure the cost at a rate of changes; 0 measures an idle fleet."""
        before = self._counts()
        started, began = time.process_time(), time.monotonic()
        number = 0
        while time.monotonic() - began < SECONDS:
            if not changes_per_second:
                gevent.sleep(SECONDS)
                continue
            gevent.sleep(1.0 / changes_per_second)
            number += 1
            self.change(number)
        cpu = time.process_time() - started
        seconds = time.monotonic() - began
        scale = len(self._followers) * seconds
        after = self._counts()
        return Cost(
            cpu=1000.0 * cpu / scale,
            messages=(after[0] - before[0]) / scale,
            bytes=(after[1] - before[1]) / scale,
        )

    def generations(self) -> dict[str, int]:
        """Return the generation of each follower, by address."""
        return {
            follower.address: follower.service.holder.generation
            for follower in self._followers
        }

    def stop(self) -> None:
        """Stop the followers and the platform."""
        for follower in self._followers:
            follower.stop()
        self._platform.stop()

    def _counts(self) -> tuple[int, int]:
        traffics = [follower.peers.traffic for follower in self._followers]
        return (
            sum(traffic.messages for traffic in traffics),
            sum(traffic.bytes for traffic in traffics),
        )


def main() -> None:
    """Print a table of costs by number of followers and rate."""
    print("followers changes/s cpu-ms/s calls/s bytes/s")
    for count in (10, 20, 40):
        fleet = Fleet(count=count)
        gevent.sleep(SETTLE_SECONDS)
        for rate in (0.0, CHANGES_PER_SECOND):
            cost = fleet.measure(rate)
            print(
                f"{count:9} {rate:9.2f} {cost.cpu:8.3f} "
                f"{cost.messages:7.2f} {cost.bytes:7.0f}",
                flush=True,
            )
        fleet.stop()


if __name__ == "__main__":
    main()
