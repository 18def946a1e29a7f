"""Parses the bytes of a caller's connection into complete requests.

A request is released only when its body is complete, so that bytes from one
caller can never become part of another request. ``httptools`` rejects messages
with two framings; the target and the headers are kept as received.
"""

from collections.abc import Callable

import httptools

from daisypick_http import bodies
from daisypick_http import header_block
from daisypick_http import hold
from daisypick_http import messages

Refusal = hold.Refusal

# A caller may send its body in chunks of one byte.
_FRAMING_PER_BODY_BYTE = 16
# Bytes that are parsed at once, unless they belong to a body of known length.
_STEP_BYTES = 2_048
# Memory of complete requests above which no further bytes are parsed until one
# is taken.
_MAX_READY_BYTES = 16_384
# Size up to which a chunked body is granted before more is asked for.
_FIRST_GRANT_BYTES = 16_384
# Callbacks of the parser after which the caller has to wait for its next turn.
# Usual requests take some twenty.
_MAX_CALLBACKS = 512
# Memory of a request's objects besides its bytes.
_REQUEST_BYTES = 1_024
# Memory of a request's handler: its greenlet, decoded headers, and state.
_HANDLER_BYTES = 16_384


class RequestReader:
    """Incremental parser for the requests of one connection.

    Attributes:
        requests: Complete requests that were not taken yet.
        refusal: Why the bytes were rejected, or ``None``.
        began_at: Time of the first byte of an incomplete request, or ``None``.
        expects_continue: Whether the caller waits for an interim response with
            status 100 before it sends the body.
        in_head: Whether the head of a request is incomplete.
        in_body: Whether its head is complete and its body is not.
    """

    def __init__(
        self,
        *,
        header_bytes: int,
        body_bytes: int,
        begin_body: Callable[[messages.RequestHead, int], Refusal | None] = (
            lambda head, size: None
        ),
        extend_body: Callable[[int], Refusal | None] = lambda size: None,
    ) -> None:
        """Create a reader.

        Args:
            header_bytes: Maximum size of a head.
            body_bytes: Maximum size of a body.
            begin_body: Called with the head of a request that has a body, and
                the bytes that the body needs; returns why the body is refused,
                or ``None``. For a chunked body these are the first that it may
                have.
            extend_body: Called with the bytes that a chunked body needs, each
                time it needs more; returns why it is refused, or ``None``.
        """
        self._begin_body = begin_body
        self._extend_body = extend_body
        self._header_bytes = header_bytes
        self._body_bytes = body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self.requests: list[messages.Request] = []
        self.refusal: Refusal | None = None
        self.began_at: float | None = None
        self.expects_continue = False
        self._now = 0.0
        self._callbacks = 0
        # Number of messages that were begun or ended.
        self._number = 0
        # Received bytes that are parsed once ``requests`` are taken.
        self._waiting = b""
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers = header_block.HeaderBlock()
        self._head_size = 0
        self._body = bodies.BlockBody()
        # Size of a body of known length.
        self._length: int | None = None
        self._granted = 0
        self._framing_size = 0
        self._framing_since_body = 0
        self._number += 1
        self.in_head = False
        self.in_body = False

    @property
    def held_bytes(self) -> int:
        """Memory of requests that are incomplete or were not taken yet."""
        return (
            self._head_size
            + len(self._body)
            + len(self._waiting)
            + sum(find_size(request) for request in self.requests)
        )

    @property
    def body_bytes(self) -> int:
        """Bytes that were received of the current body."""
        return len(self._body)

    def set_limits(self, *, header_bytes: int, body_bytes: int) -> None:
        """Set the limits of a newer configuration."""
        self._header_bytes = header_bytes
        self._body_bytes = body_bytes

    def feed(self, data: bytes, now: float) -> None:
        """Parse received bytes and update ``requests`` and ``refusal``."""
        if self.refusal is not None:
            return
        self._now = now
        self._waiting += data
        self._parse_waiting()

    def refuse_all(self, refusal: Refusal) -> None:
        """Reject also the complete requests that were not taken."""
        self.requests.clear()
        self.refuse(refusal)

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes wait for ``resume``, and not for a request's end."""
        return bool(self._waiting) and not self._has_enough()

    def resume(self) -> None:
        """Parse bytes that wait."""
        self._parse_waiting()

    def take(self) -> messages.Request:
        """Remove and return the first complete request."""
        request = self.requests.pop(0)
        self._parse_waiting()
        return request

    def _parse_waiting(self) -> None:
        """Parse until a request is complete or no bytes are left."""
        data, self._waiting = memoryview(self._waiting), b""
        self._callbacks = 0
        while (
            data
            and self.refusal is None
            and self._callbacks < _MAX_CALLBACKS
            and not self._has_enough()
        ):
            step = self._find_step()
            self._parse_step(data[:step])
            data = data[step:]
        if self.refusal is None:
            self._waiting = bytes(data)

    def _has_enough(self) -> bool:
        return sum(map(find_size, self.requests)) >= _MAX_READY_BYTES

    def _find_step(self) -> int:
        """Return the number of bytes to parse at once."""
        if self.in_body and self._length is not None:
            return max(self._length - len(self._body), 1)
        return _STEP_BYTES

    def _parse_step(self, data: memoryview) -> None:
        if self.began_at is None:
            self.began_at = self._now
        in_body, number, size = self.in_body, self._number, len(self._body)
        head_number = number if self.in_head else number + 1
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            self._reject(400, f"malformed request: {error}")
        # In any other case some of the bytes belong to an earlier request.
        if self.in_head and not in_body and head_number == self._number:
            self._head_size += len(data)
            if self._head_size > self._header_bytes:
                self._reject(431, f"head exceeds {self._header_bytes} bytes")
        if in_body and self.in_body and number == self._number:
            received = len(self._body) - size
            self._framing_size += len(data) - received
            self._framing_since_body += len(data)
            if received:
                self._framing_since_body = 0
            self._check_framing()

    def _check_framing(self) -> None:
        """Refuse a body of which chunk extensions or trailers are the most.

        The parser keeps a trailer until it is complete, and no byte of the body
        follows it.
        """
        limit = self._header_bytes + len(self._body) * _FRAMING_PER_BODY_BYTE
        if self._framing_size > limit:
            self._reject(431, f"framing exceeds {limit} bytes")
        if self._framing_since_body > self._header_bytes:
            self._reject(431, f"trailers exceed {self._header_bytes} bytes")

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse bytes; an offer to change the protocol is declined.

        The request that makes the offer gets its usual response (RFC 9110,
        section 7.8). The parser stops after the head of such a request, as if
        the other protocol began there. The head is therefore parsed once more,
        without the offer, and with it the body and the requests that follow.

        Raises:
            HttpParserError: The bytes are not an acceptable request.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                if self.refusal is not None:
                    return
                data = self._write_head() + bytes(data[offer.args[0] :])
                self._parser = httptools.HttpRequestParser(self)

    def _write_head(self) -> bytes:
        """Return the head that was parsed, without its offer to upgrade."""
        first = b"%b %b HTTP/%b" % (
            self._parser.get_method(),
            self._target,
            self._parser.get_http_version().encode(),
        )
        lines = [
            b"%b: %b" % (name, value)
            for name, value in self._headers
            if name.lower() != b"upgrade"
        ]
        return b"\r\n".join([first, *lines]) + b"\r\n\r\n"

    def _offers_upgrade(self) -> bool:
        return (
            self._parser.should_upgrade()
            and self._parser.get_method() != b"CONNECT"
        )

    def _reject(self, status: int, reason: str) -> None:
        self.refuse(Refusal(status=status, reason=reason))

    def refuse(self, refusal: Refusal) -> None:
        """Reject the current request and drop what was kept of it.

        What still arrives is not parsed.
        """
        if self.refusal is not None:
            return
        self.refusal = refusal
        self.in_head = False
        self.in_body = False
        self._target = b""
        self._headers = header_block.HeaderBlock()
        self._head_size = 0
        self._body = bodies.BlockBody()
        self._waiting = b""

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start the next request."""
        self._callbacks += 1
        self._reset()
        self.in_head = True
        if self.began_at is None:
            self.began_at = self._now

    def on_url(self, target: bytes) -> None:
        """Collect the target."""
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; a trailer, which nothing asks for, is dropped."""
        self._callbacks += 1
        if self.in_body or self.refusal is not None:
            return
        try:
            self._headers.append(name, value)
        except ValueError as error:
            self._reject(400, f"malformed request: {error}")

    def on_headers_complete(self) -> None:
        """Validate the head."""
        if self._offers_upgrade():
            return
        self.in_head = False
        self.in_body = True
        if self.refusal is not None:
            return
        headers = self._headers
        self._head_size = len(self._target) + headers.size
        if self._head_size > self._header_bytes:
            self._reject(431, f"head exceeds {self._header_bytes} bytes")
        length = headers.find(b"content-length")
        if length and int(length) > self._body_bytes:
            self._reject(413, f"body exceeds {self._body_bytes} bytes")
        hosts = headers.count(b"host")
        if hosts != 1:
            self._reject(400, f"{hosts} Host headers")
        if self._parser.get_method() == b"CONNECT":
            self._reject(400, "tunnels are not offered")
        expected = headers.find(b"expect")
        self.expects_continue = (expected or b"").lower() == b"100-continue"
        is_chunked = headers.find(b"transfer-encoding") is not None
        if self.refusal is None and (length not in (None, b"0") or is_chunked):
            self._length = None if is_chunked else int(length)
            self._begin(_FIRST_GRANT_BYTES if is_chunked else self._length)

    def _begin(self, size: int) -> None:
        """Ask for the bytes that a body needs first."""
        self._granted = min(size, self._body_bytes)
        head = messages.RequestHead(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
        )
        refusal = self._begin_body(head, self._granted)
        if refusal is not None:
            self.refuse(refusal)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._callbacks += 1
        if self.refusal is not None:
            return
        size = len(self._body) + len(body)
        if size > self._body_bytes:
            self._reject(413, f"body exceeds {self._body_bytes} bytes")
            return
        if size > self._granted:
            self._granted = min(max(2 * self._granted, size), self._body_bytes)
            refusal = self._extend_body(self._granted)
            if refusal is not None:
                self.refuse(refusal)
                return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Release the request unless it was rejected."""
        if self._offers_upgrade():
            return
        if self.refusal is None:
            self.requests.append(
                messages.Request(
                    method=self._parser.get_method(),
                    target=self._target,
                    headers=self._headers,
                    body=self._body.finish(),
                    keep_alive=self._parser.should_keep_alive(),
                    began_at=self.began_at or self._now,
                )
            )
        self.began_at = None
        self.expects_continue = False
        self._reset()


def find_size(request: messages.Request) -> int:
    """Return the memory that a request takes."""
    kept = _find_headers_size(request) + len(request.target)
    return _REQUEST_BYTES + kept + len(request.body)


def _find_headers_size(request: messages.Request) -> int:
    headers = request.headers
    if isinstance(headers, header_block.HeaderBlock):
        return headers.size
    return sum(len(name) + len(value) for name, value in headers)


def find_running_size(request: messages.Request) -> int:
    """Return the memory that a request takes while it is handled.

    Its headers are kept decoded, too, and in the message to the scheduler.
    """
    decoded = 2 * _find_headers_size(request)
    return find_size(request) + decoded + _HANDLER_BYTES
