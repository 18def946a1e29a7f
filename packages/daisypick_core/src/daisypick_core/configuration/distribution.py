"""Epidemic distribution of the configuration to all processes.

A process holds one configuration and never goes back to a lower generation.
Every message from a peer carries a generation; if that is higher, the process
fetches the root and the chunks that differ from that peer. A process learns
of a new generation in three ways:

* contact: requests, responses and notices carry the generation;
* notices: a process that puts a generation in force notifies a few peers, at
  most ``notice_fanout`` every ``notice_seconds``;
* exchange: every ``exchange_seconds`` each process sends its generation to one
  random peer, which replies with its own; this reaches processes that have no
  traffic and compensates for lost notices.

A few processes of each data centre watch the store. The choice of watchers
only affects speed: two watchers fetch the same root, and a time without a
watcher only delays a change.

A process that starts without a configuration queries the store and several
peers, and is ready once it holds the highest of their generations. The store
alone or the peers alone suffice.

Examples:
    >>> import random
    >>> holder = ConfigurationHolder(rng=random.Random(1))
    >>> holder.set_peers(["10.0.0.1:80"], ["10.0.0.1:80"])
    >>> for action in holder.start(0.0):
    ...     print(action)
    FetchRoot(source='store', have='')
    FetchRoot(source='10.0.0.1:80', have='')
    >>> holder.is_ready
    False

References:
    A. Demers et al., Epidemic Algorithms for Replicated Database
    Maintenance, PODC 1987.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import random
import typing

from daisypick_core.configuration import distribution_actions as actions
from daisypick_core.configuration import fetch as tree_fetch
from daisypick_core.configuration import local_chunks
from daisypick_core.configuration import model
from daisypick_core.configuration import patch
from daisypick_core.configuration import root as root_object
from daisypick_core.configuration import rounds
from daisypick_core.configuration import source_generations
from daisypick_core.configuration import startup
from daisypick_core.configuration import wire
from daisypick_core.results import failure as failure_value

STORE = actions.STORE


class ConfigurationHolder:
    """The configuration of one process, kept up to date from its peers.

    Attributes:
        configuration: The configuration in force, initially ``model.EMPTY``.
        root: The root in force, initially ``None``.
        is_store_behind: Whether the store was last seen at a lower
            generation, as after a restore from an old backup.
        split_count: Number of roots seen with the same generation but another
            tree, which cannot occur if the store's conditional updates are
            correct.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        limits: rounds.DistributionLimits = rounds.DEFAULT_LIMITS,
    ) -> None:
        self.configuration = model.EMPTY
        self.root: root_object.Root | None = None
        self.is_store_behind = False
        self.split_count = 0
        self._rng = rng
        self._limits = limits
        self._local_chunks = local_chunks.LocalChunks()
        self._source_generations = source_generations.SourceGenerations(rng=rng)
        self._rounds = rounds.Rounds(rng=rng, limits=limits)
        self._fetch: tree_fetch.Fetch | None = None
        self._staged: Mapping[str, bytes] = {}
        self._queried: tuple[str, float] | None = None
        self._rejected: set[str] = set()
        self._paused_until = 0.0
        self._startup = startup.Startup(rng=rng, limits=limits)

    @property
    def generation(self) -> int:
        """The generation in force, 0 for none."""
        return self.configuration.generation

    @property
    def top(self) -> str:
        """Hash of the top chunk in force."""
        return self._local_chunks.top

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force and startup is complete."""
        return self.generation > 0 and not self._startup.is_under_way

    def set_peers(self, peers: Sequence[str], near: Sequence[str]) -> None:
        """Set the addresses of the live peers and of the nearby ones."""
        self._rounds.set_peers(peers, near)

    def start(self, now: float) -> list[actions.Action]:
        """Query the store and several peers for their roots."""
        sources = [STORE, *self._rounds.start(now)]
        self._startup.begin(sources, now)
        return [actions.FetchRoot(source=one, have="") for one in sources]

    def record_contact(
        self, peer: str, generation: int, now: float
    ) -> list[actions.Action]:
        """Record the generation that a peer reported in a contact."""
        self._rounds.note_contact(now)
        if generation <= self.generation:
            return []
        self._source_generations.record(peer, generation)
        return self._query_best(now)

    def receive_root(
        self,
        source: str,
        response: wire.RootResponse | failure_value.Failure,
        now: float,
    ) -> list[actions.Action]:
        """Process the root of a source, requested or not."""
        if self._queried is not None and self._queried[0] == source:
            self._queried = None
        if failure_value.is_failure(response):
            return self._source_failed(source, now)
        if source != STORE:
            self._rounds.note_contact(now)
        root = response.root
        self._compare_root(source, root)
        self._record_root(source, root, now)
        if self._startup.is_pending(source):
            return self._settle_startup(source, now)
        if root is None or root.generation <= self.generation:
            return self._query_best(now)
        if root.digest in self._rejected:
            self._paused_until = now + self._limits.notice_seconds
            return []
        return self._fetch_tree(source, root, response.chunk_by_hash, now)

    def receive_chunks(
        self,
        source: str,
        chunk_by_hash: Mapping[str, bytes] | failure_value.Failure,
        now: float,
    ) -> list[actions.Action]:
        """Process chunks received from a source."""
        if self._fetch is None:
            return []
        if failure_value.is_failure(chunk_by_hash):
            return self._source_failed(source, now)
        has_progress = self._fetch.add_chunks(chunk_by_hash)
        if source != self._fetch.source and not self._fetch.is_complete:
            return []
        if not has_progress and source != STORE:
            return self._source_failed(source, now)
        return self._continue_fetch(now)

    def tick(self, now: float) -> list[actions.Action]:
        """Process timeouts and due rounds; call this at least once a second."""
        due: list[actions.Action] = []
        for source in self._startup.overdue(now):
            due += self._source_failed(source, now)
        due += self._check_timeouts(now)
        due += self._repeat_startup(now)
        due += self._query_best(now)
        due += self._rounds.due_notices(self.generation, now)
        if not self._startup.has_pending:
            due += self._rounds.due_exchanges(self.generation, now)
        return due

    def make_root_response(self, have: str) -> wire.RootResponse:
        """Return the response to a peer that has the tree ``have``."""
        return wire.RootResponse(
            root=self.root, chunk_by_hash=self._local_chunks.bundle(have)
        )

    def find_chunks(self, hashes: Sequence[str]) -> dict[str, bytes]:
        """Return the requested chunks that are held."""
        return self._local_chunks.find(hashes[: self._limits.batch])

    def _compare_root(self, source: str, root: root_object.Root | None) -> None:
        generation = root.generation if root else 0
        if source == STORE:
            self.is_store_behind = generation < self.generation
        if root and generation == self.generation and root.top != self.top:
            self.split_count += 1

    def _record_root(
        self, source: str, root: root_object.Root | None, now: float
    ) -> None:
        if source == actions.OPERATOR:
            return
        generation = root.generation if root else 0
        reported = self._source_generations.reported_generation(source)
        self._source_generations.replace(source, generation)
        if generation <= self.generation < reported:
            # The source reports a generation that it does not have. Without
            # a suspension each contact would fetch its root again.
            self._source_generations.suspend(
                source, now + self._limits.suspend_seconds
            )

    def _is_busy(self) -> bool:
        return self._fetch is not None or self._queried is not None

    def _query_best(self, now: float) -> list[actions.Action]:
        """Query the source with the highest generation, if it is ahead."""
        is_paused = self._startup.has_pending or now < self._paused_until
        if self._is_busy() or is_paused:
            return []
        source = self._source_generations.best_source(
            above=self.generation, now=now
        )
        if source is None:
            return []
        self._queried = (source, now)
        return [actions.FetchRoot(source=source, have=self.top)]

    def _settle_startup(self, source: str, now: float) -> list[actions.Action]:
        if not self._startup.settle(source, now):
            return []
        self._complete_startup()
        return self._query_best(now)

    def _complete_startup(self) -> None:
        """Complete startup unless a source that has not failed is ahead."""
        is_behind = self._source_generations.has_source_ahead(self.generation)
        is_waiting = self._startup.has_pending or is_behind
        if self.generation > 0 and not is_waiting:
            self._startup.is_under_way = False

    def _repeat_startup(self, now: float) -> list[actions.Action]:
        if self._startup.is_under_way and not self._is_busy():
            self._complete_startup()
        if self._is_busy() or not self._startup.is_round_due(now):
            return []
        return self.start(now)

    def _source_failed(self, source: str, now: float) -> list[actions.Action]:
        self._source_generations.suspend(
            source, now + self._limits.suspend_seconds
        )
        if self._fetch is not None and self._fetch.source == source:
            self._staged = self._fetch.staged
            self._fetch = None
        if self._startup.is_pending(source):
            return self._settle_startup(source, now)
        return self._query_best(now)

    def _check_timeouts(self, now: float) -> list[actions.Action]:
        latest = now - self._limits.fetch_timeout
        if self._fetch is not None and self._fetch.since <= latest:
            return self._source_failed(self._fetch.source, now)
        if self._queried is not None and self._queried[1] <= latest:
            source, _ = self._queried
            self._queried = None
            return self._source_failed(source, now)
        return []

    def _fetch_tree(
        self,
        source: str,
        root: root_object.Root,
        chunk_by_hash: Mapping[str, bytes],
        now: float,
    ) -> list[actions.Action]:
        if self._fetch is not None:
            if root.generation <= self._fetch.root.generation:
                return self._add_to_fetch(root, chunk_by_hash, now)
            self._staged = self._fetch.staged
        self._fetch = tree_fetch.Fetch(
            root=root,
            source=source,
            since=now,
            held=self._local_chunks,
            staged=self._staged,
        )
        self._fetch.add_chunks(chunk_by_hash)
        return self._continue_fetch(now)

    def _add_to_fetch(
        self,
        root: root_object.Root,
        chunk_by_hash: Mapping[str, bytes],
        now: float,
    ) -> list[actions.Action]:
        """Add chunks that came with the root being fetched already."""
        fetch = self._fetch
        assert fetch is not None
        if root.digest == fetch.root.digest:
            fetch.add_chunks(chunk_by_hash)
        return self._continue_fetch(now) if fetch.is_complete else []

    def _continue_fetch(self, now: float) -> list[actions.Action]:
        """Take the next step of the fetch."""
        fetch = self._fetch
        assert fetch is not None
        fetch.since = now
        if fetch.is_complete:
            return self._adopt(fetch, now)
        if fetch.source != STORE:
            hashes = fetch.next_hashes(self._limits.batch)
            return [actions.FetchChunks(source=fetch.source, hashes=hashes)]
        if fetch.remaining_packs:
            return [actions.FetchPack(name=fetch.remaining_packs.pop())]
        return self._source_failed(STORE, now)

    def _adopt(
        self, fetch: tree_fetch.Fetch, now: float
    ) -> list[actions.Action]:
        self._fetch = None
        self._staged = {}
        # A higher root may have been put in force in the meantime. Lowering
        # the generation would make a removed API key valid again.
        if fetch.root.generation <= self.generation:
            return self._query_best(now)
        patched = self._patch(fetch)
        if failure_value.is_failure(patched):
            self._rejected.add(fetch.root.digest)
            self._paused_until = now + self._limits.notice_seconds
            self._source_generations.suspend(
                fetch.source, now + self._limits.suspend_seconds
            )
            return [actions.Reject(source=fetch.source, failure=patched)]
        self._local_chunks.switch_to(fetch.root.top, fetch.staged)
        self.configuration = patched.configuration
        self.root = fetch.root
        self._rejected.clear()
        self._source_generations.forget_up_to(self.generation)
        self._complete_startup()
        self._rounds.note_change()
        activate = actions.Activate(
            configuration=patched.configuration,
            changed_by_section=patched.changed_by_section,
        )
        return [
            activate,
            *self._rounds.due_notices(self.generation, now),
            *self._query_best(now),
        ]

    def _patch(
        self, fetch: tree_fetch.Fetch
    ) -> patch.Patched | failure_value.Failure:
        held = self._local_chunks.chunk_by_hash
        return patch.patch(
            self.configuration,
            self._local_chunks.top,
            fetch.root.top,
            {**held, **fetch.staged},
            generation=fetch.root.generation,
        )

    def describe(self) -> dict[str, typing.Any]:
        """Return the state for a diagnostic dump."""
        return {
            "generation": self.generation,
            "change_id": self.root.change_id if self.root else "",
            "is_ready": self.is_ready,
            "is_store_behind": self.is_store_behind,
            "split_count": self.split_count,
            "peers": self._rounds.peer_count,
            "fetches_generation": (
                self._fetch.root.generation if self._fetch else 0
            ),
            "chunks": len(self._local_chunks.chunk_by_hash),
        }
