"""Parses the bytes of a backend server's connection into responses.

The reader tracks how a response is framed (by length, by chunks, or by the end
of the connection), so that its user can tell a complete response from a
truncated one. Servers may send more responses than requested; the reader keeps
them apart, and its user decides when to skip the first one.
"""

import collections

import httptools

from daisypick_http import messages

# Bytes of a head, and of all else that is not part of a body, such as chunk
# sizes and trailers. The second one is beyond a number of bytes for each byte
# of a body: a server may send its body in chunks of one byte.
_MAX_HEAD_BYTES = 65_536
_FRAMING_PER_BODY_BYTE = 16


class _Response:
    """One response as far as it was read."""

    __slots__ = ("body", "complete", "head", "keep_alive", "until_close")

    def __init__(self) -> None:
        self.head: messages.ResponseHead | None = None
        self.body: list[bytes] = []
        self.complete = False
        self.until_close = False
        self.keep_alive = False


class ResponseReader:
    """Incremental parser for the responses of one connection.

    Attributes:
        broken: Why the bytes are not a valid response, or ``None``.
    """

    def __init__(self, *, method: bytes) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._method = method
        self._responses: collections.deque[_Response] = collections.deque()
        self._responses.append(_Response())
        self._headers: list[tuple[bytes, bytes]] = []
        self._has_trailing_bytes = False
        self._received = 0
        self._body_received = 0
        self.broken: str | None = None

    @property
    def head(self) -> messages.ResponseHead | None:
        """Status and headers; interim responses (1xx) are skipped."""
        return self._responses[0].head

    @property
    def complete(self) -> bool:
        """Whether the response is complete by its framing."""
        return self._responses[0].complete

    @property
    def has_body(self) -> bool:
        """Whether the response whose head was read has a body."""
        return messages.has_body(self._method, self.head.status)

    @property
    def ended_by_close(self) -> bool:
        """Whether nothing but the end of the connection ends the response."""
        return self._responses[0].until_close

    @property
    def surplus(self) -> bool:
        """Whether bytes were received after the complete response."""
        return self._has_trailing_bytes or len(self._responses) > 1

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may carry another request."""
        return self._responses[0].keep_alive and not self._has_trailing_bytes

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.broken is not None or self._has_trailing_bytes:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.broken = "upgrade was not asked for"
        except httptools.HttpParserError as error:
            # Invalid bytes after a complete response make the connection
            # unusable, but not that response.
            if self.complete:
                self._has_trailing_bytes = True
            else:
                self.broken = str(error)
        self._received += len(data)
        self._check_framing()

    def _check_framing(self) -> None:
        """Give up a response that consists of little but framing.

        What is no response may come without end, and the parser keeps a header
        until it is complete.
        """
        framing = self._received - self._body_received
        limit = _MAX_HEAD_BYTES + self._body_received * _FRAMING_PER_BODY_BYTE
        if framing > limit and not self.complete and not self.broken:
            self.broken = "head is too large"

    def feed_end(self) -> None:
        """Handle the orderly end of the connection."""
        last = self._responses[-1]
        last.keep_alive = False
        if last.head is not None and last.until_close and not self.broken:
            last.complete = True
        if not self.complete:
            self.broken = self.broken or "connection ended within the answer"

    def skip_response(self) -> None:
        """Drop the first response and continue with the next one."""
        self._received = self._body_received = 0
        self._responses.popleft()
        if not self._responses:
            self._responses.append(_Response())

    def take_body(self) -> bytes:
        """Return the bytes of the body received since the last call."""
        body = self._responses[0].body
        if not body:
            return b""
        data = b"".join(body)
        body.clear()
        return data

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start the next response if the previous one is complete."""
        if self._responses[-1].complete:
            self._responses.append(_Response())
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the response is framed."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        headers = tuple(self._headers)
        response = self._responses[-1]
        response.head = messages.ResponseHead(status=status, headers=headers)
        response.keep_alive = self._parser.should_keep_alive()
        if not messages.has_body(self._method, status):
            response.complete = True
            response.keep_alive = False
            return
        coding = messages.find_header(headers, b"transfer-encoding")
        length = messages.find_header(headers, b"content-length")
        response.until_close = length is None and coding is None

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body.

        The parser does not know of responses that end with their head, and
        takes what follows for their body. It belongs to no response.
        """
        response = self._responses[-1]
        if response.head is None or response.complete:
            return
        self._body_received += len(body)
        response.body.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete.

        A response without framing is complete only at the connection's end.
        """
        response = self._responses[-1]
        if response.head is not None and not response.until_close:
            response.complete = True
