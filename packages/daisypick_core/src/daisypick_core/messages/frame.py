"""The parts of an answer that is streamed from an agent to a router.

An answer is a sequence of frames, one JSON array a line. It is whole only
if it closes with an ``END`` or a ``REFUSED`` frame; a stream that breaks off
before is resumed from the offset reached. ``BEAT`` frames show that the agent
lives while it has nothing to say.

Examples:
    >>> frame = Frame(kind=DATA, offset=0, data=b"hello")
    >>> decode_lines(encode(frame))
    ([Frame(kind='data', offset=0, data=b'hello', detail=None)], b'')
    >>> decode_lines(encode(frame)[:9])
    ([], b'["data",0')
"""

import typing

import msgspec

from daisypick_core.messages import load as load_message

QUEUED = "queued"
STARTED = "started"
HEAD = "head"
DATA = "data"
BEAT = "beat"
END = "end"
REFUSED = "refused"


class Detail(typing.TypedDict, total=False):
    """What a frame says besides its data.

    Attributes:
        load: State of the agent.
        status: HTTP status of the answer (``HEAD``).
        headers: HTTP headers of the answer (``HEAD``).
        prompt_tokens: Tokens read (``END``).
        completion_tokens: Tokens generated (``END``).
        code: Number of the result code (``REFUSED``).
        reason: Sentence for people (``REFUSED``).
        retry_after: Seconds (``REFUSED``).
        size: Bytes of the whole answer (``END``).
        idle_agent: Agent that could start the attempt now (``BEAT``).
        idle_load: What that agent said of itself (``BEAT``).
    """

    load: load_message.Load
    status: int
    headers: list[tuple[str, str]]
    prompt_tokens: int
    completion_tokens: int
    code: int
    reason: str
    retry_after: float | None
    size: int
    idle_agent: str
    idle_load: load_message.Load


class Frame(typing.NamedTuple):
    """A part of an answer.

    Attributes:
        kind: One of the constants of this module.
        offset: Bytes of the answer before this frame's data.
        data: Bytes of the answer.
        detail: What else the frame says.
    """

    kind: str
    offset: int = 0
    data: bytes = b""
    detail: Detail | None = None


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Return the frame as one line of JSON."""
    return _encoder.encode(frame) + b"\n"


def decode_lines(data: bytes) -> tuple[list[Frame], bytes]:
    """Return the frames of the whole lines, and the rest.

    Raises:
        msgspec.DecodeError: A line is no frame.
    """
    lines = data.split(b"\n")
    rest = lines.pop()
    return [_decoder.decode(line) for line in lines if line], rest
