r"""Messages between routers about starting requests and store changes.

A message is a line with a JSON array of its kind and its fields. One
connection carries the messages of many requests that wait for different
lengths of time; HTTP/1.1 would need a connection for each of them.

Times are sent as seconds relative to now, since the clocks of two VMs are not
synchronised.

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
from daisypick_core.rollout import state as states
from daisypick_core.scheduling import job
from daisypick_platform import fields

type_by_kind: dict[str, type] = {}
_kind_by_type: dict[type, str] = {}


def register(kind: str) -> typing.Callable[[type], type]:
    """Register a message type under the kind used on the wire."""

    def _add(message: type) -> type:
        type_by_kind[kind] = message
        _kind_by_type[message] = kind
        return message

    return _add


class WireJob(typing.NamedTuple):
    """A request to be scheduled, with times relative to now."""

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
    """First message on a connection: the name of the requesting router."""

    router: str


@register("submit")
class Submit(typing.NamedTuple):
    """A request to be scheduled by the host."""

    service: str
    work: WireJob


@register("running")
class Running(typing.NamedTuple):
    """A request that was started without a decision of this host.

    Attributes:
        service: Its service.
        work: The request.
        server: The backend server that runs it.
        reading: Whether it is in prefill, before its first token.
        ended: Whether it has ended. It is still reported because it shows what
            the server's KV cache holds.
    """

    service: str
    work: WireJob
    server: str
    reading: bool
    ended: bool


@register("reconcile")
class Reconcile(typing.NamedTuple):
    """All running requests of the sender, of all services.

    Sent when a connection is established, after the ``Running`` messages for
    recent requests, since messages are lost while there is no connection.

    Attributes:
        running: Keys of the running requests.
        reading: Keys of those among them that are in prefill.
    """

    running: tuple[str, ...]
    reading: tuple[str, ...]


@register("isolate")
class Isolate(typing.NamedTuple):
    """The request of the next ``Submit`` or ``Running`` message is isolated.

    A separate message, since hosts of an older version can only ignore it as a
    whole.
    """

    key: str


@register("expect")
class Expect(typing.NamedTuple):
    """What the answer of the next ``Submit`` or ``Running`` is expected to be.

    A separate message, since hosts of an older version can only ignore it as a
    whole.

    Attributes:
        key: The request.
        expected: Events of the answer, at the median.
        high: Events that nine in ten such answers do not exceed.
        max_pause: Seconds between two events for which it is in time; zero if
            none are declared.
    """

    key: str
    expected: float
    high: float
    max_pause: float


@register("only")
class Only(typing.NamedTuple):
    """Servers to which the next ``Submit`` or ``Running`` request may go.

    A separate message, since hosts of an older version can only ignore it as a
    whole. The router declines another server that such a host chooses.
    """

    key: str
    servers: tuple[str, ...]


@register("began")
class Began(typing.NamedTuple):
    """Streams that servers of one version of a service have begun.

    Attributes:
        service: Their service.
        version: Version of the servers' software.
        attempts: Ids of the attempts that brought their first events.
    """

    service: str
    version: str
    attempts: tuple[str, ...]


@register("ask-origin")
class AskOrigin(typing.NamedTuple):
    """Where did a stream begin? The reply is an ``OriginReply``.

    Attributes:
        number: Identifies the question among those of the sender's process.
        attempt: Id of the attempt that brought its first event.
        service: Service of the route by which it is taken up.
    """

    number: int
    attempt: str
    service: str


@register("origin")
class OriginReply(typing.NamedTuple):
    """Reply to ``AskOrigin``.

    Attributes:
        number: Number of the question.
        service: Service that began the stream; empty if unknown.
        version: Version of the software that began it.
        noted: Whether it was noted as it began; else it follows from the
            service having had no other version.
    """

    number: int
    service: str
    version: str
    noted: bool


@register("crashes")
class CrashReports(typing.NamedTuple):
    """Changed records of requests that may crash servers.

    Attributes:
        records: Digest, epoch and level of each.
    """

    records: tuple[tuple[str, int, int], ...]


@register("crash-ends")
class CrashEnds(typing.NamedTuple):
    """What else is known of the requests of a ``CrashReports`` message.

    A separate message, since routers of an older version can only ignore it as
    a whole.

    Attributes:
        records: Digest, epoch, excused crashes, and the instances of servers
            that crashed with it, of each.
    """

    records: tuple[tuple[str, int, int, tuple[str, ...]], ...]


@register("part-crashes")
class PartCrashes(typing.NamedTuple):
    """Changed records of prompt parts that may crash servers.

    Attributes:
        records: Key, epoch, crashes, answers, the instances of servers that
            crashed with such a request, and digests of such requests, of each.
    """

    records: tuple[
        tuple[str, int, int, int, tuple[str, ...], tuple[str, ...]], ...
    ]


@register("suspect")
class ServerSuspected(typing.NamedTuple):
    """A server may have restarted: a connection of the sender to it failed.

    Attributes:
        server: Its name.
    """

    server: str


CrashMessage = CrashReports | CrashEnds | PartCrashes


@register("rollout")
class RolloutNotice(typing.NamedTuple):
    """The state of a service's newest roll-out.

    Attributes:
        service: Its service.
        era: Era of the store in which the order was first seen.
        revision: Revision of the store at which it was.
        in_force: Version that served before.
        target: Version that the order names.
        created: Identifies the creation of the order.
        seconds: Time limit of the roll-out.
        phase: The phase.
        age: Seconds since the order was first seen.
    """

    service: str
    era: int
    revision: int
    in_force: str
    target: str
    created: str
    seconds: float
    phase: states.Phase
    age: float


Flooded = CrashMessage | RolloutNotice

WireTally = tuple[
    str,
    bool,
    str,
    int,
    int,
    tuple[tuple[int, int], ...],
    tuple[tuple[int, int], ...],
]


@register("rollout-report")
class RolloutReport(typing.NamedTuple):
    """What a router's callers got from both versions since its last report.

    Attributes:
        service: The service of the roll-out.
        process: Identifies the router's process.
        target: Version that the order names.
        created: Identifies the creation of the order.
        phase: Phase that the router applies.
        running_elsewhere: Its requests at other versions than the target.
        longest: Longest duration in seconds of those that have ended.
        tallies: Route, whether it is the target's, server, answers, failures,
            and times by bucket to the first byte and from event to event.
    """

    service: str
    process: str
    target: str
    created: str
    phase: states.Phase
    running_elsewhere: int
    longest: float
    tallies: tuple[WireTally, ...]


@register("withdraw")
class Withdraw(typing.NamedTuple):
    """The caller of a waiting or running request disconnected."""

    service: str
    key: str


@register("first")
class FirstToken(typing.NamedTuple):
    """The first token of a request was received.

    Attributes:
        service: Its service.
        key: The request.
        late: Whether the sender's event loop was late, so that the first token
            may have arrived some time before. Senders of an older version omit
            it.
    """

    service: str
    key: str
    late: bool = False


@register("pace")
class Pace(typing.NamedTuple):
    """How fast a request's events came; sent before its ``End``.

    Attributes:
        service: Its service.
        key: The request.
        events: Events after the first one.
        seconds: From the first event to the last.
        longest: The longest time between two of them.
    """

    service: str
    key: str
    events: int
    seconds: float
    longest: float


@register("end")
class End(typing.NamedTuple):
    """A request ended at its server."""

    service: str
    key: str


@register("failed")
class Failed(typing.NamedTuple):
    """A request failed at its server; ``certain`` if the server is down."""

    service: str
    key: str
    certain: bool


@register("follow")
class Follow(typing.NamedTuple):
    """Start or stop forwarding store changes to the sender."""

    wanted: bool


@register("feed")
class Feed(typing.NamedTuple):
    """The result of a watch of the store.

    Attributes:
        kind: Kind of the objects.
        since: Revision from which the store was watched.
        revision: Revision up to which no change was missed.
        objects: Name, revision, content and deletion flag of each.
        age: Seconds by which routers on the path may have read it late.
        origin: Identifies the process that watched the store.
        number: Increases with each message of that process.
        era: Era of the store's revisions; ``None`` from a process that does
            not send it.
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
    """Reply: send the request to this server now."""

    key: str
    server: str
    kept: int
    ahead: int
    elsewhere: int
    source: str = ""
    copied: int = 0


@register("refuse")
class Refuse(typing.NamedTuple):
    """Reply: refuse the request, which has not run."""

    key: str
    retry_after: float
    reason: str
    pause: float


@register("unknown")
class UnknownService(typing.NamedTuple):
    """Reply: the host does not know the service yet; decide locally."""

    key: str


@register("leaving")
class Leaving(typing.NamedTuple):
    """The sender is stopping; submit to the next candidate from now on."""


@register("beat")
class Heartbeat(typing.NamedTuple):
    """The sender is alive; ``waiting`` requests of the peer still wait."""

    waiting: int


def encode(message: typing.NamedTuple) -> bytes:
    """Return a message as a line."""
    kind = _kind_by_type[type(message)]
    return msgspec.json.encode((kind, *message)) + b"\n"


def decode(line: bytes) -> typing.Any | failure.Failure:
    """Return the message that a line holds."""
    try:
        kind, *values = msgspec.json.decode(line)
        return msgspec.convert(values, type_by_kind[kind])
    except (
        msgspec.MsgspecError,
        KeyError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        return failure.Failure(
            code=codes.BAD_MESSAGE,
            reason=f"peer's message: {fields.show_error(error)}",
        )


def write_job(work: job.Job, now: float) -> WireJob:
    """Return the wire form of a job."""
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


def write_notes(work: job.Job) -> list[Isolate | Expect | Only]:
    """Return the messages that precede a job's ``Submit`` or ``Running``."""
    notes: list[Isolate | Expect | Only] = []
    if work.only:
        notes.append(Only(key=work.key, servers=tuple(sorted(work.only))))
    if work.isolated:
        notes.append(Isolate(key=work.key))
    if work.expected_events:
        notes.append(
            Expect(
                key=work.key,
                expected=round(work.expected_events, 1),
                high=round(work.high_events, 1),
                max_pause=work.max_pause,
            )
        )
    return notes


def read_job(wire: WireJob, router: str, now: float) -> job.Job:
    """Return the job that a router sent in wire form."""
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
