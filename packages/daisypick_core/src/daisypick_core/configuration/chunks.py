"""Content-addressed chunks, the unit of transfer of a configuration.

Entries are placed in a tree by the hash of their names. A leaf holds up to
``LEAF_LIMIT`` entries; a larger one is split into a node of ``FANOUT``
children. The tree depends on the entries alone, not on the order of changes,
so every process with the same entries has the same chunks. A chunk is
identified by the hash of its bytes: a change of one entry creates a new leaf
and new nodes on the path above it, and all other chunks are unchanged (a
Merkle tree).

A leaf is a JSON object of entries, a node a JSON array of child hashes with
``""`` for an empty child. A leaf stores only values that differ from the
defaults.

Examples:
    >>> tree = split(model.EMPTY)
    >>> join(1, tree.top, tree.chunk_by_hash) == model.EMPTY._replace(
    ...     generation=1)
    True

References:
    R. C. Merkle, A Digital Signature Based on a Conventional Encryption
    Function, 1987.
"""

import base64
from collections.abc import Iterator
from collections.abc import Mapping
import hashlib
import typing

import msgspec

from daisypick_core.configuration import model
from daisypick_core.configuration import sections
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

FANOUT = 16
LEAF_LIMIT = 32
# 96 bits: the 10**8 chunks that 12,000 changes a day create in five years
# collide with a probability of 10**-13.
_HASH_BYTES = 12
_MAX_DEPTH = 8

_encoder = msgspec.json.Encoder(order="sorted")
Fields = dict[str, typing.Any]
_decoder = msgspec.json.Decoder(list[str] | dict[str, Fields])


class Tree(typing.NamedTuple):
    """A configuration as chunks.

    Attributes:
        top: Hash of the top chunk.
        chunk_by_hash: All chunks of the tree.
    """

    top: str
    chunk_by_hash: dict[str, bytes]


def hash_chunk(chunk: bytes) -> str:
    """Return the hash that identifies a chunk, 16 URL-safe characters."""
    digest = hashlib.blake2b(chunk, digest_size=_HASH_BYTES).digest()
    return base64.urlsafe_b64encode(digest).decode()


def split(
    configuration: model.Configuration,
    *,
    fanout: int = FANOUT,
    leaf_limit: int = LEAF_LIMIT,
) -> Tree:
    """Return the chunks of a configuration."""
    bits = fanout.bit_length() - 1
    positioned = sorted(
        (_position(path), path, entry)
        for path, entry in _entries(configuration)
    )
    chunk_by_hash: dict[str, bytes] = {}
    builder = _Builder(chunk_by_hash, bits, leaf_limit)
    return Tree(top=builder.build(positioned, 0), chunk_by_hash=chunk_by_hash)


def children(chunk: bytes) -> tuple[str, ...]:
    """Return the child hashes of a node, none for a leaf.

    Raises:
        msgspec.DecodeError: The bytes are not a valid chunk.
    """
    decoded = _decoder.decode(chunk)
    if isinstance(decoded, dict):
        return ()
    return tuple(child for child in decoded if child)


def missing_chunks(top: str, chunk_by_hash: Mapping[str, bytes]) -> list[str]:
    """Return the hashes referenced below ``top`` whose chunks are not held."""
    missing: list[str] = []
    pending = [top]
    while pending:
        chunk_hash = pending.pop()
        chunk = chunk_by_hash.get(chunk_hash)
        if chunk is None:
            missing.append(chunk_hash)
        else:
            pending += children(chunk)
    return missing


def changed_chunks(
    top_a: str, top_b: str, chunk_by_hash: Mapping[str, bytes]
) -> set[str]:
    """Return the hashes of chunks that are in tree b but not in tree a.

    The trees are walked level by level and shared subtrees are skipped, so
    the cost is proportional to the size of the change.

    Raises:
        KeyError: A chunk of either tree is not held.
    """
    only_a, only_b = {top_a} - {top_b}, {top_b} - {top_a}
    changed: set[str] = set()
    while only_b:
        changed |= only_b
        below_a = _children_of(only_a, chunk_by_hash)
        below_b = _children_of(only_b, chunk_by_hash)
        only_a, only_b = below_a - below_b, below_b - below_a
    return changed


def _children_of(
    hashes: set[str], chunk_by_hash: Mapping[str, bytes]
) -> set[str]:
    return {
        child
        for chunk_hash in hashes
        for child in children(chunk_by_hash[chunk_hash])
    }


def join(
    generation: int, top: str, chunk_by_hash: Mapping[str, bytes]
) -> model.Configuration | failure_value.Failure:
    """Return the configuration of a complete tree, or ``BAD_CHUNK``."""
    entries_by_section: dict[str, dict[str, typing.Any]] = {}
    try:
        for path, fields in _entries_below(top, chunk_by_hash):
            section_name, _, name = path.partition("/")
            section = sections.by_name.get(section_name)
            if section is None:
                continue
            entries = entries_by_section.setdefault(section_name, {})
            entries[name] = make_entry(section, name, fields)
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        return failure_value.Failure(
            code=codes.BAD_CHUNK, reason=f"tree {top}: {error}"
        )
    return sections.make_configuration(generation, entries_by_section)


def leaf_entries(chunk: bytes) -> dict[str, Fields]:
    """Return the entries of a leaf by ``section/name``, none for a node.

    Raises:
        msgspec.DecodeError: The bytes are not a valid chunk.
    """
    decoded = _decoder.decode(chunk)
    return decoded if isinstance(decoded, dict) else {}


def make_entry(
    section: sections.Section, name: str, fields: Fields
) -> typing.Any:
    """Build an entry; unknown keys, as of a later release, are ignored.

    Raises:
        msgspec.ValidationError: A value has the wrong type.
        TypeError: A required key is missing.
    """
    known = {
        key: msgspec.convert(value, section.field(key).type)
        for key, value in fields.items()
        if section.field(key)
    }
    return section.type(name=name, **known)


def _entries_below(
    top: str, chunk_by_hash: Mapping[str, bytes]
) -> Iterator[tuple[str, Fields]]:
    chunk = chunk_by_hash[top]
    yield from leaf_entries(chunk).items()
    for child in children(chunk):
        yield from _entries_below(child, chunk_by_hash)


def _entries(
    configuration: model.Configuration,
) -> Iterator[tuple[str, Fields]]:
    for section in sections.by_name.values():
        entries = sections.entries_by_name(configuration, section.name)
        for name, entry in entries.items():
            yield f"{section.name}/{name}", _fields(section, entry)


def _fields(section: sections.Section, entry: typing.Any) -> Fields:
    return {
        field.key: getattr(entry, field.key)
        for field in section.fields
        if field.is_required or getattr(entry, field.key) != field.default
    }


def _position(path: str) -> int:
    digest = hashlib.blake2b(path.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


_PositionedEntries = list[tuple[int, str, Fields]]


class _Builder:
    """Builds the tree of sorted entries bottom-up."""

    def __init__(
        self, chunk_by_hash: dict[str, bytes], bits: int, leaf_limit: int
    ) -> None:
        self._chunk_by_hash = chunk_by_hash
        self._bits = bits
        self._leaf_limit = leaf_limit

    def build(self, positioned: _PositionedEntries, depth: int) -> str:
        """Store the chunks of a subtree; return the hash of its top chunk."""
        if len(positioned) <= self._leaf_limit or depth == _MAX_DEPTH:
            return self._store({path: entry for _, path, entry in positioned})
        shift = 64 - self._bits * (depth + 1)
        buckets: list[_PositionedEntries] = [[] for _ in range(1 << self._bits)]
        for item in positioned:
            buckets[(item[0] >> shift) % len(buckets)].append(item)
        return self._store(
            [
                self.build(bucket, depth + 1) if bucket else ""
                for bucket in buckets
            ]
        )

    def _store(self, content: typing.Any) -> str:
        chunk = _encoder.encode(content)
        chunk_hash = hash_chunk(chunk)
        self._chunk_by_hash[chunk_hash] = chunk
        return chunk_hash
