"""Client calls over real sockets, with verification of the responses.

Responses of the stand-ins are functions of the request and carry a checksum,
so a caller can distinguish a complete response to its own request from one
that is truncated or belongs to another request.
"""

from collections.abc import Callable
import time
import typing

import msgspec

from daisypick_node.http import client
from daisypick_standins.engine import text

CHAT = "/v1/chat/completions"
WHOLE = "whole"
REFUSED = "refused"
BROKEN = "broken"
WRONG = "wrong"
RAN_NO = "no"
RAN_UNKNOWN = "unknown"
_EVENT = b"data: "
_DONE = b"[DONE]"


class ChatCall(typing.NamedTuple):
    """A call of a model service.

    Attributes:
        service: Name of the service.
        marker: Name of this call, unique in a run.
        prompt: Prompt without the marker, which is appended to it.
        tokens: Length of the response.
        max_tokens: Length hint, which differs from ``tokens`` by some factor.
        is_stream: Whether the response is streamed.
    """

    service: str
    marker: str
    prompt: str
    tokens: int
    max_tokens: int
    is_stream: bool

    def body(self) -> bytes:
        """Return the encoded request body."""
        directive = f"[marker={self.marker} tokens={self.tokens}]"
        content = f"{self.prompt} {directive}"
        fields: dict[str, typing.Any] = {
            "model": self.service,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": self.max_tokens,
            "stream": self.is_stream,
        }
        if self.is_stream:
            fields["stream_options"] = {"include_usage": True}
        return msgspec.json.encode(fields)


class PlainCall(typing.NamedTuple):
    """A call of a plain service that is not repeatable."""

    service: str
    marker: str
    path: str
    idempotency_key: str


class CallResult(typing.NamedTuple):
    """The result of a call.

    Attributes:
        outcome: One of the constants of this module.
        reason: Description of the error, ``""`` if there is none.
        code: Number of the result code of a refusal, else 0.
        ran: ``RAN_NO`` or ``RAN_UNKNOWN`` for a refusal.
        retry_after: Retry delay of a refusal, seconds.
        first_token_seconds: Time to the first token of a stream.
        prompt_tokens: Value reported in ``usage``.
        completion_tokens: Value reported in ``usage``.
    """

    outcome: str
    reason: str = ""
    code: int = 0
    ran: str = ""
    retry_after: float = 0.0
    first_token_seconds: float = 0.0
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Message(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    message: _Message | None = None
    delta: _Message | None = None


class _Body(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None
    error: dict[str, typing.Any] | None = None


class _Problem(msgspec.Struct):
    code: int = 0
    title: str = ""
    detail: str = ""
    ran: str = RAN_UNKNOWN


class _PlainBody(msgspec.Struct):
    marker: str
    run: int


_body_decoder = msgspec.json.Decoder(_Body)
NoteTokens = Callable[[int], None]


class Caller:
    """Calls routers with the key of one organisation."""

    def __init__(
        self,
        *,
        key: str,
        pool: client.ClientPool,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
        }
        self._pool = pool
        self._clock = clock

    def chat(
        self, router: str, call: ChatCall, note_tokens: NoteTokens
    ) -> CallResult:
        """Call a model service; report the tokens as they arrive."""
        started_at = self._clock()
        try:
            response = self._pool.request(
                router, "POST", CHAT, body=call.body(), headers=self._headers
            )
            if response.status_code != 200:
                return _refused_result(response)
            if not call.is_stream:
                return _check_chat(call, bytes(response.read()))
            reader = _StreamReader(call, started_at, self._clock)
            try:
                while data := client.read_available(response):
                    note_tokens(reader.feed(data))
            finally:
                client.abandon(response)
            return reader.finish()
        except client.CALL_ERRORS as error:
            return _failed_result(error)

    def plain(self, router: str, call: PlainCall) -> CallResult:
        """Call a plain service once."""
        headers = {
            **self._headers,
            "Idempotency-Key": call.idempotency_key,
            "X-Marker": call.marker,
        }
        path = f"/services/{call.service}{call.path}"
        try:
            response = self._pool.request(
                router, "POST", path, body=b"{}", headers=headers
            )
            if response.status_code != 201:
                return _refused_result(response)
            return _check_plain(call, bytes(response.read()))
        except client.CALL_ERRORS as error:
            return _failed_result(error)


class _StreamReader:
    """Parses the events of one stream."""

    def __init__(
        self, call: ChatCall, started_at: float, clock: Callable[[], float]
    ) -> None:
        self._call = call
        self._started_at = started_at
        self._clock = clock
        self._buffer = b""
        self._parts: list[str] = []
        self._usage = _Usage()
        self._first_token_seconds = 0.0
        self._is_done = False
        self._error = ""

    def feed(self, data: bytes) -> int:
        """Parse received bytes; return the number of tokens in them."""
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        count = 0
        for event in events:
            payload = event.removeprefix(_EVENT)
            if payload == _DONE:
                self._is_done = True
                continue
            count += self._count_tokens(_body_decoder.decode(payload))
        if count and not self._first_token_seconds:
            self._first_token_seconds = self._clock() - self._started_at
        return count

    def _count_tokens(self, body: _Body) -> int:
        if body.error is not None:
            self._error = str(body.error.get("title", "error in the stream"))
        if body.usage is not None:
            self._usage = body.usage
        count = 0
        for choice in body.choices:
            if choice.delta is not None and choice.delta.content:
                self._parts.append(choice.delta.content)
                count += 1
        return count

    def finish(self) -> CallResult:
        """Return the result of the whole stream."""
        if self._error or not self._is_done:
            return CallResult(BROKEN, self._error or "no end mark")
        mismatch = text.check("".join(self._parts), self._call.marker)
        return CallResult(
            WRONG if mismatch else WHOLE,
            mismatch,
            first_token_seconds=self._first_token_seconds,
            prompt_tokens=self._usage.prompt_tokens,
            completion_tokens=self._usage.completion_tokens,
        )


def _check_chat(call: ChatCall, data: bytes) -> CallResult:
    body = _body_decoder.decode(data)
    message = body.choices[0].message if body.choices else None
    content = message.content if message else ""
    usage = body.usage or _Usage()
    mismatch = text.check(content, call.marker)
    return CallResult(
        WRONG if mismatch else WHOLE,
        mismatch,
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
    )


def _check_plain(call: PlainCall, data: bytes) -> CallResult:
    body = msgspec.json.decode(data, type=_PlainBody)
    if body.marker != call.marker:
        return CallResult(WRONG, f"answer to {body.marker}, not {call.marker}")
    if body.run != 1:
        return CallResult(WRONG, f"{call.marker} ran {body.run} times")
    return CallResult(WHOLE)


def _refused_result(response: client.Response) -> CallResult:
    data = bytes(response.read())
    try:
        problem = msgspec.json.decode(data, type=_Problem)
    except msgspec.MsgspecError:
        problem = _Problem(title=f"status {response.status_code}")
    return CallResult(
        REFUSED,
        f"{problem.title}: {problem.detail}",
        code=problem.code,
        ran=problem.ran,
        retry_after=_parse_seconds(response.get("retry-after")),
    )


def _failed_result(error: Exception) -> CallResult:
    reason = f"{type(error).__name__}: {error}"
    if isinstance(error, client.NotConnectedError):
        return CallResult(REFUSED, reason, ran=RAN_NO)
    return CallResult(BROKEN, reason, ran=RAN_UNKNOWN)


def _parse_seconds(value: typing.Any) -> float:
    try:
        return float(value)
    except (TypeError, ValueError):
        return 0.0
