"""Bytes of a backend server's connection to the parts of one answer.

The reader knows how an answer is framed, so that its user can tell a whole
answer from one that broke off: by length, by chunks, or by the end of the
connection.
"""

import httptools

from daisypick_http import messages


class AnswerReader:
    """Parser of one answer; feed it bytes, take ``head`` and ``take_body``.

    Attributes:
        head: Status and headers, once they are in; interim answers (1xx)
            are passed over.
        complete: Whether the framing says that the answer is whole.
        until_close: Whether the answer ends with its connection.
        broken: Why the bytes are no answer, or ``None``.
        surplus: Whether bytes came after the whole answer.
        keep_alive: Whether the connection may carry another request.
    """

    def __init__(self, *, method: bytes) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._method = method
        self.head: messages.AnswerHead | None = None
        self.complete = False
        self.until_close = False
        self.broken: str | None = None
        self.surplus = False
        self.keep_alive = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        if self.complete:
            self.surplus = True
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.broken = "upgrade was not asked for"
        except httptools.HttpParserError as error:
            # The parser reads on into surplus bytes after a whole answer;
            # those are the connection's trouble, not the answer's.
            if self.complete:
                self.surplus = True
            else:
                self.broken = str(error)

    def feed_end(self) -> None:
        """Take the orderly end of the connection."""
        if self.complete:
            return
        if self.head is not None and self.until_close and not self.broken:
            self.complete = True
            return
        self.broken = self.broken or "connection ended within the answer"

    def take_body(self) -> bytes:
        """Return the bytes of the body that came since the last call."""
        if not self._body:
            return b""
        data = b"".join(self._body)
        self._body.clear()
        return data

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Note bytes of a second answer."""
        if self.complete:
            self.surplus = True
            return
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if not self.complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Work out how the answer is framed."""
        if self.complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        headers = tuple(self._headers)
        self.head = messages.AnswerHead(status=status, headers=headers)
        self.keep_alive = self._parser.should_keep_alive()
        if self._method == b"HEAD" or status in (204, 304):
            self.complete = True
            self.keep_alive = False
            return
        coding = messages.find_header(headers, b"transfer-encoding")
        length = messages.find_header(headers, b"content-length")
        self.until_close = length is None and coding is None

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        if not self.complete:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the end, which for an unframed answer is its connection's."""
        if self.head is not None and not self.until_close:
            self.complete = True
