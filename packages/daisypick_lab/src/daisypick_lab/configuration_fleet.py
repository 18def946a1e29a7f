"""Configuration holders of the core on a virtual clock.

The simulated network delays and loses calls and can be partitioned. The store
receives changes of single organisations. Costs count at both ends of a call.

See Also:
    ``daisypick_lab.configuration_model``: the scenarios and their table.
"""

from collections.abc import Callable
import heapq
import itertools
import random
import time
import typing

from daisypick_core.configuration import chunks
from daisypick_core.configuration import distribution
from daisypick_core.configuration import distribution_actions as actions
from daisypick_core.configuration import root as root_object
from daisypick_core.configuration import wire
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_lab import configuration_size
from daisypick_lab import configuration_topology

HEADER_BYTES = 400
# A notice carries its sender and four members that the sender knows of.
NOTICE_BYTES = 420
NEAR_SECONDS = 0.0015
FAR_SECONDS = 0.02
STORE_SECONDS = 0.005
TICK_SECONDS = 0.5
CALL_TIMEOUT = 2.0

_LOST = failure_value.Failure(code=codes.PEER_UNREACHABLE, reason="lost")


class Scenario(typing.NamedTuple):
    """Parameters of one simulation run.

    Attributes:
        name: Name in the printed table.
        nodes: Number of processes.
        organisations: Organisations in the configuration.
        changes_per_second: Mean number of changes per second.
        seconds: Simulated time during which changes are made.
        loss: Share of calls that are lost.
        cut: Data centres that can reach neither the others nor the store
            during the partition.
        cut_from: Start of the partition, seconds.
        cut_until: End of the partition, seconds.
        store_up_until: Time from which the store does not respond, seconds.
        watchers: Processes of each data centre that watch the store.
        offered: Processes of each data centre to which the operator offers a
            change.
    """

    name: str
    nodes: int = 400
    organisations: int = 300
    changes_per_second: float = configuration_size.REFERENCE_CHANGES_PER_SECOND
    seconds: float = 120.0
    loss: float = 0.0
    cut: frozenset[int] = frozenset()
    cut_from: float = 0.0
    cut_until: float = 0.0
    store_up_until: float = float("inf")
    watchers: int = 4
    offered: int = 2


class Outcome(typing.NamedTuple):
    """Measurements of one simulation run.

    Attributes:
        changes: Changes accepted.
        median: Median time until a change is in force on all nodes, seconds;
            for changes delayed by a partition, counted from its end.
        slowest: Longest such time, seconds.
        messages: Calls made and served per node and second.
        bytes: Bytes of these calls per node and second.
        cpu: Processor time of the decision logic per node and second,
            milliseconds.
        lowered: Number of activations that did not raise a node's
            generation; must be 0.
    """

    changes: int
    median: float
    slowest: float
    messages: float
    bytes: float
    cpu: float
    lowered: int


class Fleet:
    """Configuration holders with a simulated network and store."""

    def __init__(self, *, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._messages = self._bytes = 0
        self._operator_cpu = 0.0
        self._accepted_at: dict[int, float] = {}
        self._pending_nodes: dict[int, set[int]] = {}
        self._in_force_at: dict[int, float] = {}
        self._lowered = 0
        self._generation_by_node: dict[int, int] = {}
        self._configuration = configuration_size.make_configuration(
            scenario.organisations
        )._replace(backend_servers_by_name={})
        self._tree = chunks.split(self._configuration)
        self._root = self._make_root(1)
        self._pack = self._tree.chunk_by_hash
        self._holders = [
            distribution.ConfigurationHolder(
                rng=random.Random(seed * 100_003 + number)
            )
            for number in range(scenario.nodes)
        ]

    def run(self) -> Outcome:
        """Run the scenario and return its measurements."""
        self._initialise_nodes()
        self._schedule_changes()
        started = time.process_time()
        end = self._scenario.seconds + 30.0
        while self._events and self._events[0][0] <= end:
            self._now, _, work = heapq.heappop(self._events)
            work()
        cpu = time.process_time() - started - self._operator_cpu
        node_seconds = self._scenario.nodes * end
        times = sorted(map(self._activation_seconds, self._accepted_at))
        return Outcome(
            changes=len(times),
            median=times[len(times) // 2],
            slowest=times[-1],
            messages=self._messages / node_seconds,
            bytes=self._bytes / node_seconds,
            cpu=1000.0 * cpu / node_seconds,
            lowered=self._lowered,
        )

    def _activation_seconds(self, generation: int) -> float:
        """Return the seconds until a generation is in force on all nodes.

        For a change delayed by a partition, they count from its end.
        """
        in_force_at = self._in_force_at.get(generation, float("inf"))
        since = self._accepted_at[generation]
        cut_until = self._scenario.cut_until
        if since < cut_until <= in_force_at:
            since = cut_until
        return in_force_at - since

    def _initialise_nodes(self) -> None:
        """Load the first generation on every node, without counting costs."""
        response = wire.RootResponse(self._root, self._tree.chunk_by_hash)
        for number, holder in enumerate(self._holders):
            nodes = len(self._holders)
            holder.set_peers(
                configuration_topology.PeerAddresses(
                    own=number, nodes=nodes, step=1
                ),
                configuration_topology.PeerAddresses(
                    own=number,
                    nodes=nodes,
                    step=configuration_topology.DATA_CENTRES,
                ),
            )
            holder.start(0.0)
            holder.receive_root(actions.OPERATOR, response, 0.0)
            phase = self._rng.random() * TICK_SECONDS
            self._at(phase, lambda n=number: self._tick(n))

    def _schedule_changes(self) -> None:
        at = 10.0
        while at < self._scenario.seconds:
            self._at(at, self._apply_change)
            at += self._rng.expovariate(self._scenario.changes_per_second)

    def _at(self, when: float, work: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), work))

    def _after(self, delay: float, work: Callable[[], None]) -> None:
        self._at(self._now + delay, work)

    def _tick(self, number: int) -> None:
        self._carry_out(number, self._holders[number].tick(self._now))
        self._after(TICK_SECONDS, lambda: self._tick(number))

    def _apply_change(self) -> None:
        """Change one organisation; notify watchers and offer the change."""
        started = time.process_time()
        generation = self._root.generation + 1
        organisations = dict(self._configuration.organisations_by_name)
        name = self._rng.choice(list(organisations))
        organisations[name] = organisations[name]._replace(
            share=1.0 + self._rng.randrange(1_000)
        )
        self._configuration = self._configuration._replace(
            organisations_by_name=organisations
        )
        tree = chunks.split(self._configuration)
        self._pack = {
            chunk_hash: chunk
            for chunk_hash, chunk in tree.chunk_by_hash.items()
            if chunk_hash not in self._tree.chunk_by_hash
        }
        self._tree = tree
        self._root = self._make_root(generation)
        self._accepted_at[generation] = self._now
        self._pending_nodes[generation] = set(range(len(self._holders)))
        self._operator_cpu += time.process_time() - started
        self._announce(self._root, self._pack)

    def _announce(self, root: root_object.Root, pack: dict[str, bytes]) -> None:
        is_up = self._now < self._scenario.store_up_until
        watched = wire.RootResponse(root, {})
        offer = wire.RootResponse(root, pack)
        for number in range(len(self._holders)):
            rank = number // configuration_topology.DATA_CENTRES
            if is_up and rank < self._scenario.watchers:
                self._deliver_root(number, actions.STORE, watched)
            if rank < self._scenario.offered:
                self._deliver_root(number, actions.OPERATOR, offer)

    def _deliver_root(
        self, number: int, source: str, response: wire.RootResponse
    ) -> None:
        if self._is_partitioned(
            configuration_topology.data_centre_of(number), None
        ):
            return
        self._count(None, len(wire.encode_response(response)))
        self._after(
            STORE_SECONDS,
            lambda: self._carry_out(
                number,
                self._holders[number].receive_root(source, response, self._now),
            ),
        )

    def _make_root(self, generation: int) -> root_object.Root:
        return root_object.make_root(
            generation=generation,
            change_id=f"{generation:016x}",
            top=self._tree.top,
            packs=("base", f"{generation}"),
        )

    def _carry_out(
        self, number: int, pending_actions: list[actions.Action]
    ) -> None:
        for action in pending_actions:
            if isinstance(action, actions.Activate):
                self._record_activation(number, action)
            elif isinstance(action, actions.Notify):
                self._notify(number, int(action.peer), action.generation)
            elif isinstance(action, actions.FetchRoot):
                self._fetch_root(number, action)
            elif isinstance(action, actions.FetchChunks):
                self._fetch_chunks(number, action)
            elif isinstance(action, actions.FetchPack):
                self._fetch_pack(number, action)

    def _record_activation(self, number: int, action: actions.Activate) -> None:
        generation = action.configuration.generation
        if generation <= self._generation_by_node.get(number, 0):
            self._lowered += 1
        self._generation_by_node[number] = generation
        for older in [
            pending for pending in self._pending_nodes if pending <= generation
        ]:
            self._pending_nodes[older].discard(number)
            if not self._pending_nodes[older]:
                del self._pending_nodes[older]
                self._in_force_at[older] = self._now

    def _notify(self, number: int, peer: int, generation: int) -> None:
        def _serve() -> int:
            holder = self._holders[peer]
            pending_actions = holder.record_contact(
                str(number), generation, self._now
            )
            self._carry_out(peer, pending_actions)
            return holder.generation

        def _receive_reply(reply: int | failure_value.Failure) -> None:
            if not failure_value.is_failure(reply):
                holder = self._holders[number]
                pending_actions = holder.record_contact(
                    str(peer), reply, self._now
                )
                self._carry_out(number, pending_actions)

        self._call(
            number, peer, _serve, _receive_reply, lambda _: 2 * NOTICE_BYTES
        )

    def _fetch_root(self, number: int, action: actions.FetchRoot) -> None:
        def _receive(
            response: wire.RootResponse | failure_value.Failure,
        ) -> None:
            holder = self._holders[number]
            pending_actions = holder.receive_root(
                action.source, response, self._now
            )
            self._carry_out(number, pending_actions)

        if action.source == actions.STORE:
            self._read_store(
                number, wire.RootResponse(self._root, {}), _receive
            )
            return
        peer = int(action.source)
        self._call(
            number,
            peer,
            lambda: self._holders[peer].make_root_response(action.have),
            _receive,
            lambda response: len(wire.encode_response(response)),
        )

    def _fetch_chunks(self, number: int, action: actions.FetchChunks) -> None:
        receive = self._make_chunk_receiver(number, action.source)
        if action.source == actions.OPERATOR:
            self._after(0.0, lambda: receive(_LOST))
            return
        peer = int(action.source)
        self._call(
            number,
            peer,
            lambda: self._holders[peer].find_chunks(action.hashes),
            receive,
            lambda chunk_by_hash: len(wire.encode_chunks(chunk_by_hash)),
        )

    def _fetch_pack(self, number: int, action: actions.FetchPack) -> None:
        is_base = action.name == "base"
        pack = self._tree.chunk_by_hash if is_base else self._pack
        self._read_store(
            number, pack, self._make_chunk_receiver(number, actions.STORE)
        )

    def _make_chunk_receiver(
        self, number: int, source: str
    ) -> Callable[[typing.Any], None]:
        def _receive(
            chunk_by_hash: dict[str, bytes] | failure_value.Failure,
        ) -> None:
            holder = self._holders[number]
            pending_actions = holder.receive_chunks(
                source, chunk_by_hash, self._now
            )
            self._carry_out(number, pending_actions)

        return _receive

    def _read_store(
        self,
        number: int,
        value: wire.RootResponse | dict[str, bytes],
        receive: Callable[[typing.Any], None],
    ) -> None:
        is_up = self._now < self._scenario.store_up_until
        if not is_up or self._is_partitioned(
            configuration_topology.data_centre_of(number), None
        ):
            self._after(CALL_TIMEOUT, lambda: receive(_LOST))
            return
        size = 200
        if isinstance(value, dict):
            size = len(wire.encode_chunks(value))
        self._count(None, size)
        self._after(STORE_SECONDS, lambda: receive(value))

    def _call(
        self,
        number: int,
        peer: int,
        serve: Callable[[], typing.Any],
        receive: Callable[[typing.Any], None],
        measure: Callable[[typing.Any], int],
    ) -> None:
        """Simulate a call; a lost call fails after a timeout."""
        is_lost = self._rng.random() < self._scenario.loss
        if is_lost or self._is_partitioned(
            configuration_topology.data_centre_of(number),
            configuration_topology.data_centre_of(peer),
        ):
            self._count(None, 0)
            self._after(CALL_TIMEOUT, lambda: receive(_LOST))
            return
        is_near = configuration_topology.data_centre_of(
            number
        ) == configuration_topology.data_centre_of(peer)
        delay = NEAR_SECONDS if is_near else FAR_SECONDS

        def _arrive() -> None:
            response = serve()
            self._count(peer, measure(response))
            self._after(delay, lambda: receive(response))

        self._after(delay, _arrive)

    def _is_partitioned(
        self, data_centre: int, peer_data_centre: int | None
    ) -> bool:
        scenario = self._scenario
        if not scenario.cut_from <= self._now < scenario.cut_until:
            return False
        return (data_centre in scenario.cut) != (
            peer_data_centre in scenario.cut
        )

    def _count(self, peer: int | None, size: int) -> None:
        """Count a call at both ends, or at one end if no peer received it."""
        ends = 1 if peer is None else 2
        self._messages += ends
        self._bytes += ends * (size + HEADER_BYTES)
