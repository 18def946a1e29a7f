"""Write a configuration to the store: packs first, then the root.

The conditional update of the root is the commit point. It is retried with the
same condition and the same change id until a response is conclusive: at most
one of the copies can take effect, and the id in the root shows whether one
did. A conflict is returned together with what the others have changed.

Stale packs are deleted without affecting concurrent writers: the name of a
pack holds the generation that it was written for, and only the root of that
generation can be the first to list it. Once a root of that generation or a
later one exists that does not list the pack, no later root will.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import random
import typing

from daisypick_core.configuration import chunks
from daisypick_core.configuration import difference
from daisypick_core.configuration import model
from daisypick_core.configuration import root as root_object
from daisypick_core.configuration import wire
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node import configuration_store
from daisypick_node.platform import interface

MAX_PACKS = 64
MAX_PACK_BYTES = 900_000
RECENT_LIMIT = 64
RETRY_TIMEOUT_SECONDS = 30.0
_INITIAL_BACKOFF = 0.2
_MAX_BACKOFF = 3.0
_TRANSIENT_CODES = frozenset(
    {
        codes.PLATFORM_UNAVAILABLE.number,
        codes.PLATFORM_ANSWER_LOST.number,
        codes.PLATFORM_BUDGET_SPENT.number,
    }
)


class Published(typing.NamedTuple):
    """A configuration that was accepted.

    Attributes:
        root: Its root.
        is_new: ``False`` if the store already held the same content.
        chunk_by_hash: Chunks that the tree of the root before it lacks.
    """

    root: root_object.Root
    is_new: bool
    chunk_by_hash: Mapping[str, bytes]


class Conflict(typing.NamedTuple):
    """Another writer's update took effect first; this change did not.

    Attributes:
        failure: ``CONFIGURATION_CONFLICT``.
        generation: The generation in force.
        changes: What the others changed.
    """

    failure: failure_value.Failure
    generation: int
    changes: tuple[difference.Change, ...]


Outcome = Published | Conflict | failure_value.Failure
_Result = typing.TypeVar("_Result")


class Publisher:
    """Reads and writes the stored configuration.

    Attributes:
        client: Client of the platform.
    """

    def __init__(
        self,
        *,
        client: interface.PlatformClient,
        clock: Callable[[], float],
        sleep: Callable[[float], None],
        rng: random.Random,
        retry_timeout: float = RETRY_TIMEOUT_SECONDS,
    ) -> None:
        self.client = client
        self._clock = clock
        self._sleep = sleep
        self._rng = rng
        self._retry_timeout = retry_timeout

    def read(
        self,
    ) -> configuration_store.StoredConfiguration | failure_value.Failure:
        """Return the stored configuration, retrying through an outage."""
        return self._retry(lambda: configuration_store.read_all(self.client))

    def publish(
        self,
        wanted: model.Configuration,
        base: configuration_store.StoredConfiguration,
        *,
        known_generation: int = 0,
    ) -> Outcome:
        """Replace the stored configuration ``base`` by ``wanted``.

        Args:
            wanted: The new configuration; its generation is ignored.
            base: The stored configuration that the change is based on.
            known_generation: The highest generation known elsewhere.
                Processes never apply a lower generation than they have, so
                after the store is restored from a backup, the next one must
                exceed this.
        """
        tree = chunks.split(wanted)
        is_same = base.root is not None and base.root.top == tree.top
        if is_same and base.configuration.generation >= known_generation:
            return Published(root=base.root, is_new=False, chunk_by_hash={})
        change = self._plan(tree, base, known_generation)
        for name, pack in change.pack_by_name.items():
            failure = self._write_pack(name, pack)
            if failure is not None:
                return failure
        return self._write_root(change, base)

    def _plan(
        self,
        tree: chunks.Tree,
        base: configuration_store.StoredConfiguration,
        known_generation: int,
    ) -> "_Change":
        generation = max(base.configuration.generation, known_generation) + 1
        change_id = f"{self._rng.getrandbits(64):016x}"
        old_packs = base.root.packs if base.root else ()
        recent = base.root.recent if base.root else ()
        new_chunks = {
            chunk_hash: chunk
            for chunk_hash, chunk in tree.chunk_by_hash.items()
            if chunk_hash not in base.chunk_by_hash
        }
        chunks_to_pack = new_chunks
        if len(old_packs) >= MAX_PACKS:
            old_packs, chunks_to_pack = (), tree.chunk_by_hash
        pack_by_name = {
            configuration_store.pack_name(generation, change_id, part): pack
            for part, pack in enumerate(_make_packs(chunks_to_pack))
        }
        root = root_object.make_root(
            generation=generation,
            change_id=change_id,
            top=tree.top,
            packs=(*old_packs, *pack_by_name),
            recent=(*recent, change_id)[-RECENT_LIMIT:],
        )
        return _Change(
            root=root,
            pack_by_name=pack_by_name,
            differing=_differing_chunks(tree, base),
        )

    def _write_pack(
        self, name: str, pack: bytes
    ) -> failure_value.Failure | None:
        def _put() -> typing.Any:
            return self.client.put(
                configuration_store.KIND, name, pack, if_version=None
            )

        result = self._retry(_put)
        if not failure_value.is_failure(result):
            return None
        # The name is unique to this change: if it exists, an earlier copy
        # of the write took effect and its response was lost.
        return None if result.code == codes.PLATFORM_CONFLICT else result

    def _write_root(
        self,
        change: "_Change",
        base: configuration_store.StoredConfiguration,
    ) -> Outcome:
        value = root_object.encode_root(change.root)
        may_be_written = False

        def _put() -> typing.Any:
            nonlocal may_be_written
            result = self.client.put(
                configuration_store.KIND,
                configuration_store.ROOT,
                value,
                if_version=base.version,
            )
            if failure_value.is_failure(result):
                lost = result.code == codes.PLATFORM_ANSWER_LOST
                may_be_written = may_be_written or lost
            return result

        result = self._retry(_put)
        if not failure_value.is_failure(result):
            return self._accepted(change)
        if result.code == codes.PLATFORM_CONFLICT:
            return self._resolve_conflict(change, base)
        if may_be_written:
            return failure_value.Failure(
                code=codes.PLATFORM_ANSWER_LOST,
                reason=f"change {change.root.change_id} may be in force; "
                "apply again when the platform responds",
            )
        return result

    def _resolve_conflict(
        self,
        change: "_Change",
        base: configuration_store.StoredConfiguration,
    ) -> Outcome:
        """Read the root back to find out whose write took effect."""
        current = self.read()
        if failure_value.is_failure(current):
            return failure_value.Failure(
                code=codes.PLATFORM_ANSWER_LOST,
                reason=f"change {change.root.change_id} conflicted with "
                f"another change or a copy of itself: {current.reason}; "
                "apply again",
            )
        root = current.root
        if root is not None and change.root.change_id in root.recent:
            return self._accepted(change)
        self._delete(change.pack_by_name)
        generation = current.configuration.generation
        changes = difference.find_changes(
            base.configuration, current.configuration
        )
        return Conflict(
            failure=failure_value.Failure(
                code=codes.CONFIGURATION_CONFLICT,
                reason=f"generation {generation} was applied meanwhile",
            ),
            generation=generation,
            changes=tuple(changes),
        )

    def _accepted(self, change: "_Change") -> Published:
        self._delete_stale_packs(change.root)
        return Published(
            root=change.root, is_new=True, chunk_by_hash=change.differing
        )

    def _delete_stale_packs(self, root: root_object.Root) -> None:
        """Delete packs that no root can list any more; ignore failures."""
        names = self.client.list_names(
            configuration_store.KIND, configuration_store.PACK_PREFIX
        )
        if failure_value.is_failure(names):
            return
        self._delete(
            name
            for name in names
            if name not in root.packs
            and configuration_store.pack_generation(name) <= root.generation
        )

    def _delete(self, names: typing.Iterable[str]) -> None:
        for name in names:
            stored = self.client.get(configuration_store.KIND, name)
            if not failure_value.is_failure(stored):
                self.client.delete(
                    configuration_store.KIND, name, if_version=stored.version
                )

    def _retry(self, call: Callable[[], _Result]) -> _Result:
        """Retry a call through an outage, with jittered exponential backoff."""
        deadline = self._clock() + self._retry_timeout
        backoff = _INITIAL_BACKOFF
        while True:
            result = call()
            is_transient = (
                failure_value.is_failure(result)
                and result.code.number in _TRANSIENT_CODES
            )
            if not is_transient or self._clock() + backoff > deadline:
                return result
            self._sleep(backoff * (0.5 + self._rng.random()))
            backoff = min(2 * backoff, _MAX_BACKOFF)


class _Change(typing.NamedTuple):
    """A change that is ready to be written.

    Attributes:
        root: The root to write.
        pack_by_name: The packs to write before the root.
        differing: Chunks that the base's tree lacks.
    """

    root: root_object.Root
    pack_by_name: dict[str, bytes]
    differing: dict[str, bytes]


def _differing_chunks(
    tree: chunks.Tree, base: configuration_store.StoredConfiguration
) -> dict[str, bytes]:
    if base.root is None:
        return tree.chunk_by_hash
    all_chunks = base.chunk_by_hash | tree.chunk_by_hash
    changed = chunks.changed_chunks(base.root.top, tree.top, all_chunks)
    return {chunk_hash: all_chunks[chunk_hash] for chunk_hash in changed}


def _make_packs(chunk_by_hash: Mapping[str, bytes]) -> Iterator[bytes]:
    """Yield encoded packs, each within the size limit of a stored object."""
    batch: dict[str, bytes] = {}
    size = 0
    for chunk_hash, chunk in chunk_by_hash.items():
        if size + len(chunk) > MAX_PACK_BYTES and batch:
            yield wire.encode_chunks(batch)
            batch, size = {}, 0
        batch[chunk_hash] = chunk
        size += len(chunk) + len(chunk_hash) + 4
    if batch:
        yield wire.encode_chunks(batch)
