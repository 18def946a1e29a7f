"""One attempt to run a request at one agent.

A request may need several attempts in sequence. Each is addressed to one
incarnation of one agent, so that a restarted agent can reject attempts for its
previous incarnation.
"""

import typing


class Attempt(typing.NamedTuple):
    """One attempt to run a request at one agent.

    Attributes:
        attempt_id: Unique id of the attempt.
        request_id: Id of the request, the same for all its attempts.
        organisation: Name of the organisation that is charged.
        service: Name of the service.
        estimate: Expected cost in tokens.
        deadline: Time by which it must have started, in seconds on the clock
            of the process that holds the value.
        incarnation: Incarnation of the agent that it is addressed to.
        epoch: Latest epoch of that incarnation that the router knows.
        router: Address of the router, ``host:port``.
        is_repeatable: Whether the request may safely run twice.
        idempotency_key: The caller's idempotency key, if any.
        fingerprint: Hash of method, path and body, to detect reuse of a key
            for another request.
        prefix: Hash of the prompt's prefix for affinity, ``""`` if none.
        is_stream: Whether the response is streamed, so that its first token
            shows the speed of the backend server.
    """

    attempt_id: str
    request_id: str
    organisation: str
    service: str
    estimate: float
    deadline: float
    incarnation: str
    epoch: int
    router: str
    is_repeatable: bool = True
    idempotency_key: str | None = None
    fingerprint: str = ""
    prefix: str = ""
    is_stream: bool = False


class Envelope(typing.TypedDict):
    """An attempt as encoded in the header ``Daisypick-Envelope``.

    ``deadline_in`` is relative (seconds), because the processes have no common
    clock; the other fields are those of ``Attempt``. ``method``, ``path`` and
    ``headers`` are those of the request to the backend server.
    """

    attempt_id: str
    request_id: str
    organisation: str
    service: str
    estimate: float
    deadline_in: float
    incarnation: str
    epoch: int
    router: str
    is_repeatable: bool
    idempotency_key: str | None
    fingerprint: str
    prefix: str
    is_stream: bool
    generation: int
    method: str
    path: str
    headers: list[tuple[str, str]]


def from_envelope(envelope: Envelope, now: float) -> Attempt:
    """Return the attempt of an envelope that arrived at ``now``."""
    return Attempt(
        attempt_id=envelope["attempt_id"],
        request_id=envelope["request_id"],
        organisation=envelope["organisation"],
        service=envelope["service"],
        estimate=envelope["estimate"],
        deadline=now + envelope["deadline_in"],
        incarnation=envelope["incarnation"],
        epoch=envelope["epoch"],
        router=envelope["router"],
        is_repeatable=envelope["is_repeatable"],
        idempotency_key=envelope["idempotency_key"],
        fingerprint=envelope["fingerprint"],
        prefix=envelope["prefix"],
        is_stream=envelope["is_stream"],
    )


def to_envelope(
    attempt: Attempt,
    now: float,
    *,
    generation: int,
    method: str,
    path: str,
    headers: list[tuple[str, str]],
) -> Envelope:
    """Return the envelope of an attempt that is sent at ``now``."""
    return Envelope(
        attempt_id=attempt.attempt_id,
        request_id=attempt.request_id,
        organisation=attempt.organisation,
        service=attempt.service,
        estimate=attempt.estimate,
        deadline_in=attempt.deadline - now,
        incarnation=attempt.incarnation,
        epoch=attempt.epoch,
        router=attempt.router,
        is_repeatable=attempt.is_repeatable,
        idempotency_key=attempt.idempotency_key,
        fingerprint=attempt.fingerprint,
        prefix=attempt.prefix,
        is_stream=attempt.is_stream,
        generation=generation,
        method=method,
        path=path,
        headers=headers,
    )
