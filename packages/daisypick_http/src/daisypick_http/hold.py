"""What a caller's connection reports of the bytes that it holds.

The default counts nothing and limits nothing.
"""

import typing

from daisypick_http import messages
from daisypick_http import progress


class Refusal(typing.NamedTuple):
    """Why a caller's bytes are rejected.

    Attributes:
        status: HTTP status.
        reason: For the log, and for the caller if there is no ``body``.
        headers: Further headers of the response.
        body: Body of the response.
    """

    status: int
    reason: str
    headers: messages.Headers = ()
    body: bytes = b""


class Pace(typing.NamedTuple):
    """The progress that is asked of a caller.

    Attributes:
        body: Progress of a request's body.
        response: Progress with which a response is to be read.
    """

    body: progress.ProgressBound
    response: progress.ProgressBound


class Hold:
    """Counts the bytes of one connection.

    Attributes:
        is_ended: Whether the caller's connection was ended by a bound.
    """

    is_ended = False

    def note_head(self, *, incomplete: bool) -> None:
        """Record whether the head of a request is incomplete."""

    def begin_body(
        self, head: messages.RequestHead, size: int
    ) -> Refusal | None:
        """Reserve the bytes that a body needs first, or refuse it."""

    def extend_body(self, size: int) -> Refusal | None:
        """Reserve the bytes that an arriving body needs now, or refuse it."""

    def note_body(self, amount: int) -> Refusal | None:
        """Record how much of an incomplete body was received, or refuse it."""

    def end_body(self) -> None:
        """Record that a body is complete or was refused."""

    def refuse_pipelined(self) -> Refusal:
        """Return the refusal of requests that wait behind a running one."""
        return Refusal(status=503, reason="too many requests wait")

    def set_request(self, amount: int) -> None:
        """Set the bytes of requests."""

    def set_owner(self, organisation: str, decoded_bytes: int) -> None:
        """Record whose request is handled, and the bytes decoded of it."""

    def set_response(self, amount: int) -> None:
        """Set the bytes that wait for the caller."""

    def set_buffered(self, amount: int) -> None:
        """Set the bytes of a response that are not sent to the caller yet."""

    def set_stream(self, *, is_stream: bool) -> None:
        """Record whether the response is a stream."""

    def find_limit(self, waited: float) -> float:
        """Return the number of bytes that may wait for the caller.

        Args:
            waited: Seconds for which the handler has waited for room.
        """
        del waited
        return float("inf")

    def note_slow(self) -> None:
        """Record that the caller misses the bound on progress."""

    def close(self) -> None:
        """Drop what is counted."""
