"""Continuation of a broken response stream by a repeated response.

When a stream breaks, the same attempt is resumed at the last byte received, or
the request is run again and its response starts from the beginning. The caller
must receive neither duplicate bytes nor a gap. A splice forwards only new bytes
and verifies by hash that a repeated prefix equals the bytes already forwarded:
if the model samples differently the second time, the result is a failure, not
a mixture of two responses.

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
    """One response to the caller, assembled from several attempts.

    Attributes:
        position: Number of bytes forwarded to the caller.
        received: Number of bytes received of the current attempt.
    """

    def __init__(self) -> None:
        self.position = 0
        self.received = 0
        self._forwarded_hash = xxhash.xxh3_128()
        self._repeated_hash = xxhash.xxh3_128()

    def restart(self) -> None:
        """Record that the response of another attempt begins at byte 0."""
        self.received = 0
        self._repeated_hash = xxhash.xxh3_128()

    def accept(self, offset: int, data: bytes) -> bytes | failure_value.Failure:
        """Return the part of the data that was not forwarded yet."""
        if offset > self.received:
            return _broken(f"offset: {offset} leaves a gap")
        data = data[self.received - offset :]
        repeated = data[: max(0, self.position - self.received)]
        self.received += len(data)
        if repeated:
            self._repeated_hash.update(repeated)
            if not self._is_same_prefix():
                return failure_value.Failure(
                    code=codes.ANSWER_DIFFERS,
                    reason="answer: differs from what the caller saw",
                )
        new = data[len(repeated) :]
        self._forwarded_hash.update(new)
        self.position += len(new)
        return new

    def is_whole(self, size: int) -> bool:
        """Return whether the response of ``size`` bytes is complete."""
        return self.received == size and self.position == size

    def _is_same_prefix(self) -> bool:
        if self.received < self.position:
            return True
        return self._repeated_hash.digest() == self._forwarded_hash.digest()


def _broken(reason: str) -> failure_value.Failure:
    return failure_value.Failure(code=codes.ANSWER_BROKEN, reason=reason)
