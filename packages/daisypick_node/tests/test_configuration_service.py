import random
import time

import gevent
import msgspec
import pytest

from daisypick_core.configuration import chunks
from daisypick_core.configuration import model
from daisypick_core.configuration import root as root_object
from daisypick_core.configuration import rounds
from daisypick_core.configuration import sections
from daisypick_core.configuration import wire
from daisypick_node import configuration_routes
from daisypick_node import configuration_service
from daisypick_node import configuration_store
from daisypick_node.http import keys as keys_module
from daisypick_node.http import peers as peers_module
from daisypick_node.http import server as server_module
from daisypick_node.platform import http as http_platform
from daisypick_standins.platform import faults
from daisypick_standins.platform import server as platform_server

KEYS = keys_module.Keys(fleet=("fleet-key",), operator=("operator-key",))
# A node that wrongly considers itself a watcher corrects this only when its
# watch ends, so conditions may take longer than that to become true.
WATCH_SECONDS = 1.0
WAIT = WATCH_SECONDS + 20.0


class Node:
    """A process that only follows the configuration."""

    def __init__(self, platform, seeds, data_centre="sofia"):
        self.installed = []
        self.peers = peers_module.Peers(fleet_key="fleet-key", timeout=1.0)
        self.service = configuration_service.ConfigurationService(
            role="agent",
            data_centre=data_centre,
            seeds=seeds,
            platform=http_platform.HttpPlatformClient(address=platform.address),
            peers=self.peers,
            install=self.installed.append,
            clock=time.monotonic,
            rng=random.Random(len(seeds)),
            limits=rounds.DistributionLimits(
                exchange_seconds=0.5,
                start_retry=0.2,
                suspend_seconds=0.2,
                # Each call reports its own outcome, so this is not needed.
                fetch_timeout=1000.0,
            ),
            watch_seconds=WATCH_SECONDS,
        )
        self.server = server_module.Server(
            listen="127.0.0.1:0", routes=self.service.handlers(), keys=KEYS
        )
        self.server.start()
        self.address = self.server.address
        self.service.start(self.address)

    @property
    def generation(self):
        return self.installed[-1].generation if self.installed else 0

    def stop(self):
        self.service.stop()
        self.server.stop(timeout=0)
        self.peers.close()


@pytest.fixture
def platform():
    platform = platform_server.Platform()
    platform.start()
    yield platform
    platform.set_faults(faults.Faults())
    platform.stop()


@pytest.fixture
def nodes(platform):
    nodes = []
    for _ in range(5):
        nodes.append(Node(platform, [node.address for node in nodes]))
    yield nodes
    for node in nodes:
        node.stop()


def make_response(generation, packs=()):
    configuration = sections.make_configuration(
        generation,
        {"data_centres": {"sofia": model.DataCentre("sofia", str(generation))}},
    )
    tree = chunks.split(configuration)
    root = root_object.make_root(
        generation=generation, change_id="c", top=tree.top, packs=packs
    )
    return wire.RootResponse(root=root, chunk_by_hash=tree.chunk_by_hash)


def store(platform, generation):
    pack = configuration_store.pack_name(generation, "c", 0)
    response = make_response(generation, packs=(pack,))
    kind, name = configuration_store.KIND, configuration_store.ROOT
    chunk_data = wire.encode_chunks(response.chunk_by_hash)
    platform.store.put(kind, pack, chunk_data, if_version=None)
    current = platform.store.get(kind, name)
    value = root_object.encode_root(response.root)
    version = current.version if current else None
    platform.store.put(kind, name, value, if_version=version)


def wait_until(condition):
    with gevent.Timeout(WAIT):
        while not condition():
            gevent.sleep(0.01)


def all_at(nodes, generation):
    return lambda: all(node.generation == generation for node in nodes)


def test_stored_change_takes_effect_at_all_nodes(platform, nodes):
    assert all(not node.installed for node in nodes)
    for generation in (1, 2):
        store(platform, generation)
        wait_until(all_at(nodes, generation))
    # Once the members know each other, two processes of the role watch.
    wait_until(lambda: platform.waiting_watches == 2)


def test_offered_change_survives_an_outage_right_after_acceptance(
    platform, nodes
):
    # The store accepts a change and becomes unavailable before any process
    # has read it. The operator's command line offers it to one process, with
    # the operator key; the processes must distribute it among themselves.
    store(platform, 1)
    wait_until(all_at(nodes, 1))
    platform.set_faults(faults.Faults(outage=faults.UNAVAILABLE))
    operator = peers_module.Peers(fleet_key="operator-key", timeout=1.0)
    offer = wire.encode_response(make_response(2))
    response = operator.call(
        nodes[0].address,
        "POST",
        configuration_routes.OFFER,
        msgspec.Raw(offer),
    )
    assert response == b'{"generation":2}'
    wait_until(all_at(nodes, 2))


def test_start_during_an_outage_uses_the_peers_configuration(platform, nodes):
    # A node starts without a configuration while the store is unavailable. It
    # must get it from its peers and never serve with an older generation.
    store(platform, 3)
    wait_until(all_at(nodes, 3))
    platform.set_faults(faults.Faults(outage=faults.UNAVAILABLE))
    late_node = Node(platform, [node.address for node in nodes])
    wait_until(lambda: late_node.generation == 3)
    assert [one.generation for one in late_node.installed] == [3]
    late_node.stop()


def test_contact_with_an_invalid_address_does_not_delay_changes(
    platform, nodes
):
    # A message reports a higher generation at a peer with an invalid address.
    # If the call terminated its greenlet with an exception, the next
    # generation would be delayed until a timeout.
    store(platform, 1)
    wait_until(all_at(nodes, 1))
    nodes[0].service.note_contact("nowhere", 7)
    wait_until(lambda: not nodes[0].service.holder._is_busy())
    store(platform, 2)
    wait_until(all_at(nodes, 2))


def test_node_without_store_and_peers_waits(platform):
    platform.set_faults(faults.Faults(outage=faults.UNAVAILABLE))
    node = Node(platform, ["127.0.0.1:1"])
    wait_until(lambda: platform.calls_by_kind["get"] >= 3)
    assert not node.installed
    platform.set_faults(faults.Faults())
    store(platform, 1)
    wait_until(lambda: node.generation == 1)
    node.stop()
