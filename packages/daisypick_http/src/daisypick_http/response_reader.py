"""Bytes of a backend server's connection to the parts of its answers.

The reader knows how an answer is framed, so that its user can tell a whole
answer from one that broke off: by length, by chunks, or by the end of the
connection. Servers may send more answers than they were asked for; the reader
keeps them apart, and its user says when the first one is done with.
"""

import collections

import httptools

from daisypick_http import messages


class _Answer:
    """One answer as far as it was read."""

    __slots__ = ("body", "complete", "head", "keep_alive", "until_close")

    def __init__(self) -> None:
        self.head: messages.AnswerHead | None = None
        self.body: list[bytes] = []
        self.complete = False
        self.until_close = False
        self.keep_alive = False


class AnswerReader:
    """Parser of one connection; feed it bytes, take ``head`` and the body.

    Attributes:
        broken: Why the bytes are no answer, or ``None``.
    """

    def __init__(self, *, method: bytes) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._method = method
        self._answers: collections.deque[_Answer] = collections.deque()
        self._answers.append(_Answer())
        self._headers: list[tuple[bytes, bytes]] = []
        self._trailing = False
        self.broken: str | None = None

    @property
    def head(self) -> messages.AnswerHead | None:
        """Status and headers; interim answers (1xx) are passed over."""
        return self._answers[0].head

    @property
    def complete(self) -> bool:
        """Whether the framing says that the answer is whole."""
        return self._answers[0].complete

    @property
    def surplus(self) -> bool:
        """Whether bytes came after the whole answer."""
        return self._trailing or len(self._answers) > 1

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may carry another request."""
        return self._answers[0].keep_alive and not self._trailing

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        if self.broken is not None or self._trailing:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.broken = "upgrade was not asked for"
        except httptools.HttpParserError as error:
            # Bytes behind a whole answer are the connection's trouble, not
            # that answer's.
            if self.complete:
                self._trailing = True
            else:
                self.broken = str(error)

    def feed_end(self) -> None:
        """Take the orderly end of the connection."""
        last = self._answers[-1]
        last.keep_alive = False
        if last.head is not None and last.until_close and not self.broken:
            last.complete = True
        if not self.complete:
            self.broken = self.broken or "connection ended within the answer"

    def pass_over(self) -> None:
        """Drop the first answer; the next one is expected."""
        self._answers.popleft()
        if not self._answers:
            self._answers.append(_Answer())

    def take_body(self) -> bytes:
        """Return the bytes of the body that came since the last call."""
        body = self._answers[0].body
        if not body:
            return b""
        data = b"".join(body)
        body.clear()
        return data

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Begin the next answer, if the one before is whole."""
        if self._answers[-1].complete:
            self._answers.append(_Answer())
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Work out how the answer is framed."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        headers = tuple(self._headers)
        answer = self._answers[-1]
        answer.head = messages.AnswerHead(status=status, headers=headers)
        answer.keep_alive = self._parser.should_keep_alive()
        if self._method == b"HEAD" or status in (204, 304):
            answer.complete = True
            answer.keep_alive = False
            return
        coding = messages.find_header(headers, b"transfer-encoding")
        length = messages.find_header(headers, b"content-length")
        answer.until_close = length is None and coding is None

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self._answers[-1].body.append(body)

    def on_message_complete(self) -> None:
        """Note the end, which for an unframed answer is its connection's."""
        answer = self._answers[-1]
        if answer.head is not None and not answer.until_close:
            answer.complete = True
