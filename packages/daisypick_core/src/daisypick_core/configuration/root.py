"""The root: the object that identifies the configuration in force.

The root references the top of a tree of chunks. In the platform's store it is
only written by conditional update, with ``generation`` one above that of the
root it replaces, so each generation has one root. Between processes it is
sent without ``packs`` and ``recent``, which only readers of the store need.

Examples:
    >>> root = make_root(generation=1, change_id="c1", top="t")
    >>> decode_root(encode_root(root)) == root
    True
    >>> decode_root(encode_root(root).replace(b'"t"', b'"u"')).reason
    'root: digest does not fit its content'
"""

import typing

import msgspec

from daisypick_core.configuration import chunks
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value


class Root(typing.NamedTuple):
    """The root of a generation.

    Attributes:
        generation: Incremented by each accepted change.
        change_id: Unique id of the change, by which a writer that got no
            response finds out whether its write took effect.
        top: Hash of the top chunk.
        digest: Hash of the fields above, to detect corruption.
        packs: Names of the stored objects that hold the chunks, oldest
            first.
        recent: Ids of the latest changes, this one last.
    """

    generation: int
    change_id: str
    top: str
    digest: str
    packs: tuple[str, ...] = ()
    recent: tuple[str, ...] = ()


class RootDocument(typing.TypedDict):
    """A root as JSON."""

    generation: int
    change_id: str
    top: str
    digest: str
    packs: typing.NotRequired[tuple[str, ...]]
    recent: typing.NotRequired[tuple[str, ...]]


_decoder = msgspec.json.Decoder(RootDocument)


def make_root(
    *,
    generation: int,
    change_id: str,
    top: str,
    packs: tuple[str, ...] = (),
    recent: tuple[str, ...] = (),
) -> Root:
    """Return a root with its digest."""
    return Root(
        generation=generation,
        change_id=change_id,
        top=top,
        digest=_digest(generation, change_id, top),
        packs=packs,
        recent=recent,
    )


def to_document(root: Root) -> RootDocument:
    """Return the JSON form of a root, without empty lists."""
    fields = {key: value for key, value in root._asdict().items() if value}
    return typing.cast(RootDocument, fields)


def from_document(document: RootDocument) -> Root | failure_value.Failure:
    """Return the root of a document, or ``BAD_CHUNK``."""
    root = Root(**document)
    is_valid = root.generation > 0 and root.digest == _digest(
        root.generation, root.change_id, root.top
    )
    if not is_valid:
        return failure_value.Failure(
            code=codes.BAD_CHUNK,
            reason="root: digest does not fit its content",
        )
    return root


def encode_root(root: Root) -> bytes:
    """Return the stored form of a root."""
    return msgspec.json.encode(to_document(root))


def decode_root(data: bytes) -> Root | failure_value.Failure:
    """Return a stored root, or ``BAD_CHUNK``."""
    try:
        return from_document(_decoder.decode(data))
    except (msgspec.DecodeError, TypeError) as error:
        return failure_value.Failure(
            code=codes.BAD_CHUNK, reason=f"root: {error}"
        )


def _digest(generation: int, change_id: str, top: str) -> str:
    return chunks.hash_chunk(msgspec.json.encode([generation, change_id, top]))
