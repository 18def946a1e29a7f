"""Joining a repeated answer to what the caller has already seen.

When a stream breaks, the same attempt is resumed from the byte reached, or
the request is run again and its answer starts anew. The caller must see
neither a byte twice nor a gap. A splice passes on only what is new, and checks
by hash that a repeated beginning is the one the caller saw: a model that
samples differently the second time yields a failure, not a mixture.

Examples:
    >>> splice = Splice()
    >>> splice.accept(0, b"one two ")
    b'one two '
    >>> splice.restart()
    >>> splice.accept(0, b"one two three")
    b'three'
    >>> splice.restart()
    >>> splice.accept(0, b"one TWO three four").code.number
    5004
"""

import xxhash

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value


class Splice:
    """The caller's view of one answer over several attempts.

    Attributes:
        position: Bytes that were passed on to the caller.
        received: Bytes received of the present attempt.
    """

    def __init__(self) -> None:
        self.position = 0
        self.received = 0
        self._seen = xxhash.xxh3_128()
        self._again = xxhash.xxh3_128()

    def restart(self) -> None:
        """Note that another attempt's answer begins at its first byte."""
        self.received = 0
        self._again = xxhash.xxh3_128()

    def accept(self, offset: int, data: bytes) -> bytes | failure_value.Failure:
        """Return the part of the data that the caller has not seen."""
        if offset > self.received:
            return _broken(f"offset: {offset} leaves a gap")
        data = data[self.received - offset :]
        repeated = data[: max(0, self.position - self.received)]
        self.received += len(data)
        if repeated:
            self._again.update(repeated)
            if not self._is_same_beginning():
                return failure_value.Failure(
                    code=codes.ANSWER_DIFFERS,
                    reason="answer: differs from what the caller saw",
                )
        new = data[len(repeated) :]
        self._seen.update(new)
        self.position += len(new)
        return new

    def is_whole(self, size: int) -> bool:
        """Tell whether the attempt's answer of ``size`` bytes is complete."""
        return self.received == size and self.position == size

    def _is_same_beginning(self) -> bool:
        if self.received < self.position:
            return True
        return self._again.digest() == self._seen.digest()


def _broken(reason: str) -> failure_value.Failure:
    return failure_value.Failure(code=codes.ANSWER_BROKEN, reason=reason)
