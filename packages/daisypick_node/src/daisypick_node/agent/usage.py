"""Counts the tokens of a response as it streams.

While the response of a model streams, each event counts as one token. The
exact counts are in ``usage`` at the end: in the last event of a stream or in
the body of a response that is not streamed. A call to a plain service costs
one unit.
"""

import typing

import msgspec

from daisypick_node.agent import responses

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
    """Counts the tokens of one response."""

    def __init__(self, *, is_stream: bool) -> None:
        self._is_stream = is_stream
        self._event_count = 0
        self._tail = b""

    @property
    def streamed_tokens(self) -> int:
        """Number of tokens streamed so far."""
        return self._event_count

    def feed(self, data: bytes) -> None:
        """Count the events in the next part of the body."""
        if not self._is_stream:
            return
        self._event_count += data.count(_EVENT_MARK)
        self._tail = (self._tail + data)[-_TAIL_BYTES:]

    def total(self, body: bytes) -> responses.Usage:
        """Return the token counts of the complete response."""
        document = self._last_event() if self._is_stream else bytes(body)
        try:
            usage = _decoder.decode(document).usage
        except msgspec.MsgspecError:
            usage = None
        if not usage:
            return responses.Usage(completion_tokens=max(1, self._event_count))
        return responses.Usage(
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
        """Return whether a stream ended with its end marker."""
        return not self._is_stream or _DONE in self._tail
