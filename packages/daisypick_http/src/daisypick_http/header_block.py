r"""The headers of a request in one block of bytes.

A header line of four bytes would take some hundred bytes as a tuple of two
values, so a caller could make a router keep many times what it sent. A block
takes as many bytes as the lines had; names and values are made for the moment
in which they are looked at.

Examples:
    >>> block = HeaderBlock()
    >>> block.append(b"Host", b"a.example")
    >>> block.append(b"X-Key", b"k")
    >>> list(block)
    [(b'Host', b'a.example'), (b'X-Key', b'k')]
    >>> block.find(b"x-key"), block.count(b"host"), block.size
    (b'k', 1, 25)
"""

from collections.abc import Iterator

_LINE_END = b"\r\n"


class HeaderBlock:
    """Headers as received, in their order.

    Iterating over it yields pairs of a name and its value.
    """

    __slots__ = ("_lines",)

    def __init__(self) -> None:
        # Each line ends with CR LF, which neither names nor values contain.
        self._lines = bytearray()

    def append(self, name: bytes, value: bytes) -> None:
        """Add a header.

        Raises:
            ValueError: The value contains the end of a line.
        """
        if b"\n" in value or b"\r" in value:
            raise ValueError("header value contains the end of a line")
        self._lines += b"%b:%b\r\n" % (name, value)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        for line in bytes(self._lines).split(_LINE_END)[:-1]:
            name, _, value = line.partition(b":")
            yield name, value

    @property
    def size(self) -> int:
        """Bytes of the lines, the fewest in which they can be sent."""
        return len(self._lines)

    def find(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        start = self._find_line(lower_name, 0)
        if start < 0:
            return None
        start += len(lower_name) + 1
        return bytes(self._lines[start : self._lines.index(_LINE_END, start)])

    def count(self, lower_name: bytes) -> int:
        """Return the number of headers of a name."""
        found, start = 0, self._find_line(lower_name, 0)
        while start >= 0:
            found += 1
            start = self._find_line(lower_name, start + 1)
        return found

    def _find_line(self, lower_name: bytes, start: int) -> int:
        """Return where the next header of a name begins, or -1."""
        lines = self._lines.lower()
        prefix = lower_name + b":"
        if start == 0 and lines.startswith(prefix):
            return 0
        found = lines.find(_LINE_END + prefix, max(start - 1, 0))
        return found + 2 if found >= 0 else -1
