"""Requests and responses in the format of the OpenAI chat API.

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
    """Options of a streamed response."""

    include_usage: bool = False


class ChatRequest(msgspec.Struct):
    """The fields that the stand-in supports; others are ignored."""

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
        """Whether the stream's last chunk reports the usage."""
        return bool(self.stream_options and self.stream_options.include_usage)


def parse(body: bytes) -> ChatRequest | str:
    """Return a request, or a description of what is invalid."""
    try:
        return msgspec.json.decode(body, type=ChatRequest)
    except msgspec.DecodeError as error:
        return str(error)


def usage(prompt: str, completion: int, cached: int) -> dict[str, object]:
    """Return the ``usage`` of a response, in tokens."""
    prompt_tokens = text.count_tokens(prompt)
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": prompt_tokens + completion,
        "prompt_tokens_details": {"cached_tokens": cached},
    }


def make_completion(
    completion_id: str,
    model: str,
    content: str,
    finish_reason: str,
    token_usage: dict[str, object],
) -> dict[str, object]:
    """Return the body of a non-streamed response."""
    message = {"role": "assistant", "content": content}
    choice = {"index": 0, "message": message, "finish_reason": finish_reason}
    return {
        "id": completion_id,
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": token_usage,
    }


class ChunkWriter:
    """Encodes the events of one streamed response.

    The parts of an event before and after its token are encoded only once;
    tokens of the stand-in need no escaping.
    """

    def __init__(self, *, completion_id: str, model: str) -> None:
        self._fields = {
            "id": completion_id,
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

    def token_usage(self, token_usage: dict[str, object]) -> bytes:
        """Return the event that reports the usage."""
        return self._event([], usage=token_usage)

    def _choice(
        self, delta: dict[str, str], finish_reason: str | None
    ) -> dict[str, object]:
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}

    def _event(self, choices: list[object], **more: object) -> bytes:
        body = self._fields | {"choices": choices} | more
        return b"data: " + msgspec.json.encode(body) + b"\n\n"
