"""Tokens counted in an answer as it streams.

While a model's answer streams, its events are counted, an event a token.
The true counts come at the end in ``usage``: in the last event of a stream or
in the body of a whole answer. Plain services cost one unit a call.
"""

import typing

import msgspec

from daisypick_node.agent import answers

_EVENT_MARK = b"data: "
_DONE = b"data: [DONE]"
_TAIL_BYTES = 4096


class _UsageField(typing.TypedDict, total=False):
    prompt_tokens: int
    completion_tokens: int


class _Body(msgspec.Struct):
    usage: _UsageField | None = None


_decoder = msgspec.json.Decoder(_Body)


class UsageMeter:
    """Counts the tokens of one answer."""

    def __init__(self, *, is_stream: bool) -> None:
        self._is_stream = is_stream
        self._event_count = 0
        self._tail = b""

    @property
    def streamed_tokens(self) -> int:
        """Tokens seen so far in a stream."""
        return self._event_count

    def feed(self, data: bytes) -> None:
        """Count the events in the next bytes."""
        if not self._is_stream:
            return
        self._event_count += data.count(_EVENT_MARK)
        self._tail = (self._tail + data)[-_TAIL_BYTES:]

    def total(self, body: bytes) -> answers.Usage:
        """Return the tokens of the whole answer."""
        document = self._last_event() if self._is_stream else bytes(body)
        try:
            usage = _decoder.decode(document).usage
        except msgspec.MsgspecError:
            usage = None
        if not usage:
            return answers.Usage(completion_tokens=max(1, self._event_count))
        return answers.Usage(
            prompt_tokens=usage.get("prompt_tokens", 0),
            completion_tokens=usage.get("completion_tokens", 0),
        )

    def _last_event(self) -> bytes:
        events = self._tail.split(b"\n\n")
        for event in reversed(events):
            if event.startswith(_EVENT_MARK) and event != _DONE:
                return event[len(_EVENT_MARK) :]
        return b""

    def has_end_mark(self) -> bool:
        """Tell whether a stream has closed with its end mark."""
        return not self._is_stream or _DONE in self._tail
