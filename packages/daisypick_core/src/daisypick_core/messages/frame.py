"""The frames of a response that is streamed from an agent to a router.

A response is a sequence of frames, one JSON array per line. It is complete
only if it ends with an ``END`` or a ``REFUSED`` frame; a stream that ends
earlier is resumed from the last offset. The agent sends ``HEARTBEAT`` frames as
heartbeats while it has no other frame to send.

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
HEARTBEAT = "beat"
END = "end"
REFUSED = "refused"


class Detail(typing.TypedDict, total=False):
    """Metadata of a frame.

    Attributes:
        load: State of the agent.
        status: HTTP status of the response (``HEAD``).
        headers: HTTP headers of the response (``HEAD``).
        prompt_tokens: Tokens of the prompt (``END``).
        completion_tokens: Tokens generated (``END``).
        code: Number of the result code (``REFUSED``).
        reason: Human-readable reason (``REFUSED``).
        retry_after: Retry delay in seconds (``REFUSED``).
        size: Size of the complete response in bytes (``END``).
        idle_agent: Agent that could start the attempt now (``HEARTBEAT``).
        idle_load: Load that this agent reported (``HEARTBEAT``).
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
    """One frame of a response.

    Attributes:
        kind: One of the constants of this module.
        offset: Position of the frame's data in the response, in bytes.
        data: Bytes of the response.
        detail: Metadata of the frame.
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
    """Return the frames of all complete lines, and the remaining bytes.

    Raises:
        msgspec.DecodeError: A line is not a valid frame.
    """
    lines = data.split(b"\n")
    remainder = lines.pop()
    return [_decoder.decode(line) for line in lines if line], remainder
