r"""What routers say to each other about starting requests.

A message is a line: a JSON array of its kind and its fields. One connection
carries the messages of many requests that wait for different lengths of
time, which HTTP/1.1 would need a connection each for.

Times are sent as seconds from now, since clocks of two VMs have nothing in
common.

Examples:
    >>> encode(FirstToken(service="assist", key="r-1/0", late=False))
    b'["first","assist","r-1/0",false]\n'
    >>> decode(b'["first","assist","r-1/0",false]')
    FirstToken(service='assist', key='r-1/0', late=False)
"""

import typing

import msgspec

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.scheduling import job

type_by_kind: dict[str, type] = {}
_kind_by_type: dict[type, str] = {}


def register(kind: str) -> typing.Callable[[type], type]:
    """Register a message under the kind that stands in its line."""

    def _add(message: type) -> type:
        type_by_kind[kind] = message
        _kind_by_type[message] = kind
        return message

    return _add


class WireJob(typing.NamedTuple):
    """A request that wants to start, with times relative to now."""

    key: str
    organisation: str
    parts: tuple[tuple[str, int], ...]
    prompt_tokens: int
    output_tokens: int
    age: float
    objective_in: float
    deadline_in: float
    avoid: tuple[str, ...]
    data_centre: str


@register("hello")
class Hello(typing.NamedTuple):
    """First on a connection: who asks."""

    router: str


@register("submit")
class Submit(typing.NamedTuple):
    """A request wants to start."""

    service: str
    work: WireJob


@register("running")
class Running(typing.NamedTuple):
    """A request was started by decision of somebody else.

    Attributes:
        service: Its service.
        work: The request.
        server: Where it runs.
        reading: Whether its first token is still to come.
        ended: Whether it has ended; it still tells what the server keeps.
    """

    service: str
    work: WireJob
    server: str
    reading: bool
    ended: bool


@register("reconcile")
class Reconcile(typing.NamedTuple):
    """All requests of the asker that run, of all services.

    Sent when a connection stands, after what ran lately: what was told while
    there was none is lost.

    Attributes:
        running: Keys of those that run.
        reading: Keys of those of them whose first token is still to come.
    """

    running: tuple[str, ...]
    reading: tuple[str, ...]


@register("withdraw")
class Withdraw(typing.NamedTuple):
    """The caller of a waiting or running request left."""

    service: str
    key: str


@register("first")
class FirstToken(typing.NamedTuple):
    """The first token of a request came.

    Attributes:
        service: Its service.
        key: The request.
        late: Whether the sender's loop was late, so that the first token may
            have come some time ago. A sender of an older version does not
            say.
    """

    service: str
    key: str
    late: bool = False


@register("end")
class End(typing.NamedTuple):
    """A request ended at its server."""

    service: str
    key: str


@register("failed")
class Failed(typing.NamedTuple):
    """A request failed at its server; ``certain`` if that is down."""

    service: str
    key: str
    certain: bool


@register("follow")
class Follow(typing.NamedTuple):
    """Pass on to us what your watches of the store say, or no longer."""

    wanted: bool


@register("feed")
class Feed(typing.NamedTuple):
    """What a watch of the store answered.

    Attributes:
        kind: Kind of the objects.
        since: Revision from which the store was watched.
        revision: Revision up to which nothing was missed.
        objects: Name, revision, content and whether it was deleted, of each.
        age: Seconds by which it may have been read late on its way.
        origin: Which process watched the store.
        number: Rises from one message of that process to the next.
        era: Era of the store's revisions; ``None`` from a process that does
            not tell it.
    """

    kind: str
    since: int
    revision: int
    objects: tuple[tuple[str, int, typing.Any, bool], ...]
    age: float
    origin: str
    number: int
    era: int | None = None


@register("start")
class Start(typing.NamedTuple):
    """Answer: send the request to this server now."""

    key: str
    server: str
    kept: int
    ahead: int
    elsewhere: int
    source: str = ""
    copied: int = 0


@register("refuse")
class Refuse(typing.NamedTuple):
    """Answer: tell the caller that its request has not run."""

    key: str
    retry_after: float
    reason: str
    pause: float


@register("unknown")
class UnknownService(typing.NamedTuple):
    """Answer: we do not know the service yet; decide alone."""

    key: str


@register("leaving")
class Leaving(typing.NamedTuple):
    """We stop; ask the next candidate from now on."""


@register("beat")
class Beat(typing.NamedTuple):
    """We live, and what you asked for still waits."""

    waiting: int


def encode(message: typing.NamedTuple) -> bytes:
    """Return the line of a message."""
    kind = _kind_by_type[type(message)]
    return msgspec.json.encode((kind, *message)) + b"\n"


def decode(line: bytes) -> typing.Any | failure.Failure:
    """Return the message of a line."""
    try:
        kind, *fields = msgspec.json.decode(line)
        return msgspec.convert(fields, type_by_kind[kind])
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError) as error:
        return failure.Failure(
            code=codes.BAD_MESSAGE, reason=f"peer's message: {error!r}"
        )


def write_job(work: job.Job, now: float) -> WireJob:
    """Return a job as it goes over the wire."""
    return WireJob(
        key=work.key,
        organisation=work.organisation,
        parts=tuple((part.name, part.tokens) for part in work.parts),
        prompt_tokens=work.prompt_tokens,
        output_tokens=work.output_tokens,
        age=round(now - work.arrived_at, 4),
        objective_in=round(work.objective_at - now, 4),
        deadline_in=round(work.deadline_at - now, 4),
        avoid=tuple(work.avoid),
        data_centre=work.data_centre,
    )


def read_job(wire: WireJob, router: str, now: float) -> job.Job:
    """Return the job of a router."""
    return job.Job(
        key=wire.key,
        router=router,
        organisation=wire.organisation,
        parts=tuple(
            job.Part(name=name, tokens=tokens) for name, tokens in wire.parts
        ),
        prompt_tokens=wire.prompt_tokens,
        output_tokens=wire.output_tokens,
        arrived_at=now - wire.age,
        objective_at=now + wire.objective_in,
        deadline_at=now + wire.deadline_in,
        avoid=frozenset(wire.avoid),
        data_centre=wire.data_centre,
    )
