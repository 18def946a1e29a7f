"""Roots and chunks as JSON, between processes and in the store.

Chunks are JSON already and are embedded byte for byte, so that the receiver
can verify their hashes.

Examples:
    >>> chunk = b'{"data_centres/sofia":{}}'
    >>> data = encode_chunks({chunks.hash_chunk(chunk): chunk})
    >>> list(decode_chunks(data).values()) == [chunk]
    True
    >>> decode_chunks(data.replace(b"sofia", b"varna"))
    {}
"""

from collections.abc import Mapping
import typing

import msgspec

from daisypick_core.configuration import chunks
from daisypick_core.configuration import root as root_object
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value


class RootResponse(typing.NamedTuple):
    """A root and the chunks that the receiver is expected to lack.

    Attributes:
        root: The root in force, ``None`` if the sender has none.
        chunk_by_hash: Chunks, each verified against its hash.
    """

    root: root_object.Root | None
    chunk_by_hash: Mapping[str, bytes]


class _ResponseDocument(typing.TypedDict):
    root: root_object.RootDocument | None
    chunks: dict[str, msgspec.Raw]


_response_decoder = msgspec.json.Decoder(_ResponseDocument)
_chunks_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


def encode_response(response: RootResponse) -> bytes:
    """Return the JSON form of a response, without store object names."""
    document = None
    if response.root is not None:
        bare = response.root._replace(packs=(), recent=())
        document = root_object.to_document(bare)
    return msgspec.json.encode(
        {"root": document, "chunks": _to_raw(response.chunk_by_hash)}
    )


def decode_response(data: bytes) -> RootResponse | failure_value.Failure:
    """Return a verified response; corrupt chunks are dropped.

    Failures: ``BAD_MESSAGE`` if the data cannot be decoded, ``BAD_CHUNK`` if
    its root is corrupt.
    """
    try:
        document = _response_decoder.decode(data)
    except msgspec.MsgspecError as error:
        return _bad_message(error)
    root = None
    if document["root"] is not None:
        root = root_object.from_document(document["root"])
        if failure_value.is_failure(root):
            return root
    return RootResponse(root=root, chunk_by_hash=_from_raw(document["chunks"]))


def encode_chunks(chunk_by_hash: Mapping[str, bytes]) -> bytes:
    """Return the JSON form of some chunks."""
    return msgspec.json.encode(_to_raw(chunk_by_hash))


def decode_chunks(data: bytes) -> dict[str, bytes] | failure_value.Failure:
    """Return verified chunks by hash; corrupt chunks are dropped."""
    try:
        return _from_raw(_chunks_decoder.decode(data))
    except msgspec.MsgspecError as error:
        return _bad_message(error)


def keep_valid(chunk_by_hash: Mapping[str, bytes]) -> dict[str, bytes]:
    """Return the chunks that match their hashes."""
    return {
        chunk_hash: chunk
        for chunk_hash, chunk in chunk_by_hash.items()
        if chunks.hash_chunk(chunk) == chunk_hash
    }


def _to_raw(chunk_by_hash: Mapping[str, bytes]) -> dict[str, msgspec.Raw]:
    return {key: msgspec.Raw(chunk) for key, chunk in chunk_by_hash.items()}


def _from_raw(raw_by_hash: Mapping[str, msgspec.Raw]) -> dict[str, bytes]:
    return keep_valid({key: bytes(raw) for key, raw in raw_by_hash.items()})


def _bad_message(error: Exception) -> failure_value.Failure:
    return failure_value.Failure(
        code=codes.BAD_MESSAGE, reason=f"answer: {error}"
    )
