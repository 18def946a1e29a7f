"""Bodies of requests, kept in blocks.

A body may arrive in millions of pieces of one byte. Each piece kept as an
object of its own would take many times its size, and one buffer that grows is
copied as it grows. Small pieces are therefore collected in blocks.

Examples:
    >>> body = BlockBody()
    >>> for piece in (b"ab", b"c"):
    ...     body.append(piece)
    >>> len(body), bytes(body), body.finish()
    (3, b'abc', b'abc')
"""

from collections.abc import Iterator

# Smaller pieces are collected in a block until it has this size.
_BLOCK_BYTES = 16_384
# Larger bodies are not copied into one buffer once they are complete.
_MAX_JOINED_BYTES = 65_536


class BlockBody:
    """A body that is received, or a large complete one.

    Iterating over it yields its blocks in order.
    """

    __slots__ = ("_blocks", "_last", "_size")

    def __init__(self) -> None:
        self._blocks: list[bytes | bytearray] = []
        self._last = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[bytes | bytearray]:
        yield from self._blocks
        if self._last:
            yield self._last

    def __bytes__(self) -> bytes:
        return b"".join(self)

    def __eq__(self, other: object) -> bool:
        if isinstance(other, (bytes, BlockBody)):
            return bytes(self) == bytes(other)
        return NotImplemented

    __hash__ = None

    def append(self, piece: bytes) -> None:
        """Add received bytes."""
        self._size += len(piece)
        if len(piece) >= _BLOCK_BYTES and not self._last:
            self._blocks.append(piece)
            return
        self._last += piece
        if len(self._last) >= _BLOCK_BYTES:
            self._blocks.append(self._last)
            self._last = bytearray()

    def finish(self) -> "Body":
        """Return the complete body."""
        if self._size <= _MAX_JOINED_BYTES:
            return bytes(self)
        return self


Body = bytes | BlockBody


def iterate_blocks(body: Body) -> Iterator[bytes | bytearray]:
    """Yield the parts of a body in order."""
    if isinstance(body, bytes):
        yield body
    else:
        yield from body
