"""Reads the configuration from the platform's store.

One object, the root, is written by conditional update and determines the
configuration in force. Chunks are stored in packs: each change writes one pack
with its new chunks, and the root lists the packs that together hold its tree.
A process that starts without chunks reads a few packs instead of thousands of
single chunks.

See Also:
    ``daisypick_cli.publication``: how a change is written.
    ``daisypick_core.configuration.distribution``: how it is distributed.
"""

import typing

from daisypick_core.configuration import chunks
from daisypick_core.configuration import model
from daisypick_core.configuration import root as root_object
from daisypick_core.configuration import wire
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.platform import interface

KIND = "configuration"
ROOT = "root"
PACK_PREFIX = "pack-"
_MAX_READS = 5


class StoredRoot(typing.NamedTuple):
    """The root and its version in the store."""

    root: root_object.Root
    version: str


class StoredConfiguration(typing.NamedTuple):
    """A stored configuration with its root and chunks.

    Attributes:
        root: The root, ``None`` if the store has none.
        version: Version of the root object, ``None`` if there is none.
        chunk_by_hash: The chunks of all packs; includes those of its tree.
        configuration: The decoded configuration.
    """

    root: root_object.Root | None
    version: str | None
    chunk_by_hash: dict[str, bytes]
    configuration: model.Configuration


NOTHING = StoredConfiguration(
    root=None, version=None, chunk_by_hash={}, configuration=model.EMPTY
)


def pack_name(generation: int, change_id: str, part: int) -> str:
    """Return the name of a pack; the names sort by generation.

    Examples:
        >>> pack_name(7, "ab12", 0)
        'pack-0000000007-ab12-0'
    """
    return f"{PACK_PREFIX}{generation:010}-{change_id}-{part}"


def pack_generation(name: str) -> int:
    """Return the generation that a pack was written for.

    Examples:
        >>> pack_generation("pack-0000000007-ab12-0")
        7
    """
    return int(name[len(PACK_PREFIX) :].partition("-")[0])


def read_root(
    client: interface.PlatformClient,
) -> StoredRoot | failure_value.Failure:
    """Return the root, or a ``NOT_FOUND`` failure if there is none."""
    stored = client.get(KIND, ROOT)
    if failure_value.is_failure(stored):
        return stored
    return decode_root(stored)


def decode_root(
    stored: interface.StoredObject,
) -> StoredRoot | failure_value.Failure:
    """Decode the root in a stored object."""
    root = root_object.decode_root(stored.value)
    if failure_value.is_failure(root):
        return root
    return StoredRoot(root=root, version=stored.version)


def read_pack(
    client: interface.PlatformClient, name: str
) -> dict[str, bytes] | failure_value.Failure:
    """Return the valid chunks of a pack."""
    stored = client.get(KIND, name)
    if failure_value.is_failure(stored):
        return stored
    return wire.decode_chunks(stored.value)


def read_all(
    client: interface.PlatformClient,
) -> StoredConfiguration | failure_value.Failure:
    """Return the stored configuration.

    A pack can be deleted between the reads of the root and of the pack.
    Another root is then in force, and the read is retried.
    """
    outcome: StoredConfiguration | failure_value.Failure = NOTHING
    for _ in range(_MAX_READS):
        stored = read_root(client)
        if failure_value.is_failure(stored):
            if stored.code == codes.NOT_FOUND:
                return NOTHING
            return stored
        outcome = _read_tree(client, stored)
        is_pack_deleted = (
            failure_value.is_failure(outcome)
            and outcome.code == codes.NOT_FOUND
        )
        if not is_pack_deleted:
            return outcome
    return outcome


def _read_tree(
    client: interface.PlatformClient, stored: StoredRoot
) -> StoredConfiguration | failure_value.Failure:
    chunk_by_hash: dict[str, bytes] = {}
    for name in stored.root.packs:
        pack = read_pack(client, name)
        if failure_value.is_failure(pack):
            return pack
        chunk_by_hash |= pack
    configuration = chunks.join(
        stored.root.generation, stored.root.top, chunk_by_hash
    )
    if failure_value.is_failure(configuration):
        return configuration
    return StoredConfiguration(
        root=stored.root,
        version=stored.version,
        chunk_by_hash=chunk_by_hash,
        configuration=configuration,
    )
