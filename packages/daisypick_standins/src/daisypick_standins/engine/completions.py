"""Requests and answers in the shape of the OpenAI chat API.

Examples:
    >>> body = b'{"model": "pine", "messages": [{"content": "hello"}]}'
    >>> parse(body).prompt
    'hello'
    >>> parse(b'{"model": 5}')
    'Expected `str`, got `int` - at `$.model`'
"""

import msgspec

from daisypick_standins.engine import text

DONE_EVENT = b"data: [DONE]\n\n"


class Message(msgspec.Struct):
    """One message of the conversation."""

    content: str = ""
    role: str = "user"


class StreamOptions(msgspec.Struct):
    """Options of a streamed answer."""

    include_usage: bool = False


class ChatRequest(msgspec.Struct):
    """The fields that the stand-in heeds; others are passed over."""

    model: str
    messages: list[Message]
    max_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None

    @property
    def prompt(self) -> str:
        """The whole conversation as one text."""
        return "\n".join(message.content for message in self.messages)

    @property
    def wants_usage(self) -> bool:
        """Whether the stream's last chunk tells the usage."""
        return bool(self.stream_options and self.stream_options.include_usage)


def parse(body: bytes) -> ChatRequest | str:
    """Return a request, or what is wrong with it."""
    try:
        return msgspec.json.decode(body, type=ChatRequest)
    except msgspec.DecodeError as error:
        return str(error)


def usage(prompt: str, completion: int, cached: int) -> dict[str, object]:
    """Return the ``usage`` of an answer, in tokens."""
    prompt_tokens = text.count_tokens(prompt)
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": prompt_tokens + completion,
        "prompt_tokens_details": {"cached_tokens": cached},
    }


def whole_answer(
    answer_id: str,
    model: str,
    content: str,
    finish_reason: str,
    used: dict[str, object],
) -> dict[str, object]:
    """Return the body of a whole answer."""
    message = {"role": "assistant", "content": content}
    choice = {"index": 0, "message": message, "finish_reason": finish_reason}
    return {
        "id": answer_id,
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": used,
    }


class ChunkWriter:
    """Writes the events of one streamed answer.

    The part before a token and the part after it are made once; tokens of
    the stand-in need no escaping.
    """

    def __init__(self, *, answer_id: str, model: str) -> None:
        self._fields = {
            "id": answer_id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": model,
        }
        pattern = self._event([self._choice({"content": "\0"}, None)])
        self._before, self._after = pattern.split(rb"\u0000")

    def role(self) -> bytes:
        """Return the first event, which carries no token."""
        return self._event([self._choice({"role": "assistant"}, None)])

    def token(self, token: str) -> bytes:
        """Return the event of a token."""
        return self._before + token.encode() + self._after

    def finish(self, finish_reason: str) -> bytes:
        """Return the event that ends the choice."""
        return self._event([self._choice({}, finish_reason)])

    def used(self, used: dict[str, object]) -> bytes:
        """Return the event that tells the usage."""
        return self._event([], usage=used)

    def _choice(
        self, delta: dict[str, str], finish_reason: str | None
    ) -> dict[str, object]:
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}

    def _event(self, choices: list[object], **more: object) -> bytes:
        body = self._fields | {"choices": choices} | more
        return b"data: " + msgspec.json.encode(body) + b"\n\n"
