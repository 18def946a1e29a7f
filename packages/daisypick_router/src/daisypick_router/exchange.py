"""One request at one backend server, up to the head of its answer.

What went wrong is told apart by what it says of the request: it did not run
(``NotRun``), or it may have run (``Unknown``).
"""

import time
import typing

from daisypick_core.serving import backend_server
from daisypick_http import connection as connections
from daisypick_http import messages
from daisypick_http import pool as pools
from daisypick_http import server as http_server
from daisypick_platform import request_headers
from daisypick_router import context as contexts

_SEND_SECONDS = 5.0


class NotRun(typing.NamedTuple):
    """The request surely did not run there.

    Attributes:
        reason: For the log.
        arrived: Whether the server saw it and turned it away.
        server_down: Whether the server could not be reached.
        misdirected: Whether another server lives at the address now.
        unsent: Whether it was not sent for a reason that tells nothing of
            the server: its deadline had passed, or this process has no
            descriptor left.
    """

    reason: str
    arrived: bool
    server_down: bool = False
    misdirected: bool = False
    unsent: bool = False


class Unknown(typing.NamedTuple):
    """The request may have run there, and no answer can be passed on."""

    reason: str
    silent: bool = False


class Opened(typing.NamedTuple):
    """The head of the server's own answer is in; its body is to be read."""

    connection: connections.Connection
    head: messages.AnswerHead


Outcome = NotRun | Unknown | Opened


def open_exchange(
    pool: pools.Pool,
    caller: http_server.CallerConnection,
    context: contexts.Context,
    server: backend_server.BackendServer,
    *,
    last_event: int | None,
    silence: float,
    copy_from: tuple[str, int] | None = None,
) -> Outcome:
    """Send a request and read the head of its answer.

    Args:
        pool: Connections to backend servers.
        caller: Whose request it is.
        context: The request.
        server: Where it goes.
        last_event: Go on after this event of a stream.
        silence: Seconds without a byte after which the server is given up.
        copy_from: Address of a server that keeps more of the prompt.

    Raises:
        CallerLeft: The caller left before the request was sent.
    """
    try:
        connection = pool.take(server.address)
    except connections.NoDescriptorsError as error:
        return NotRun(reason=str(error), arrived=False, unsent=True)
    except connections.NotConnectedError as error:
        return NotRun(reason=str(error), arrived=False, server_down=True)
    # The loop may have been busy since anybody looked at the time or the
    # caller; a server works in vain on what is sent too late.
    if time.monotonic() >= context.deadline:
        pool.give_back(connection)
        return NotRun(reason="too late to send", arrived=False, unsent=True)
    if caller.has_left():
        pool.give_back(connection)
        raise http_server.CallerLeft
    finished = False
    try:
        outcome = _send_and_read(
            connection, context, server, last_event, silence, copy_from
        )
        finished = isinstance(outcome, Opened) or connection.is_reusable()
    finally:
        if not finished:
            connection.close()
    if not isinstance(outcome, Opened) and finished:
        pool.give_back(connection)
    return outcome


def _send_and_read(
    connection: connections.Connection,
    context: contexts.Context,
    server: backend_server.BackendServer,
    last_event: int | None,
    silence: float,
    copy_from: tuple[str, int] | None,
) -> Outcome:
    request = context.request
    now = time.monotonic()
    data = messages.write_request(
        method=request.method,
        target=request.target,
        headers=request_headers.write_for_server(
            request_headers.keep_for_server(request.headers),
            seconds_left=context.deadline - now,
            server=server.name,
            organisation=context.organisation,
            last_event=last_event,
            copy_from=copy_from,
        ),
        body=request.body,
    )
    try:
        context.is_sent = True
        connection.send(data, method=request.method, timeout=_SEND_SECONDS)
        return _read_head(connection, context, silence)
    except connections.ConnectionBrokeError as error:
        return Unknown(reason=str(error))
    except connections.AnswerTimeoutError as error:
        return Unknown(reason=str(error), silent=True)


def _read_head(
    connection: connections.Connection,
    context: contexts.Context,
    silence: float,
) -> Outcome:
    """Read up to the head of the answer to this very request.

    An answer that bears another attempt's id is a late one to an earlier
    request on the connection; it is read and thrown away.
    """
    silent_at = time.monotonic() + silence
    while True:
        _read_until_head(connection, min(silent_at, context.deadline))
        reader = connection.reader
        if reader.head is None:
            return Unknown(reason=reader.broken or "no head of an answer")
        words = request_headers.read_server(reader.head.headers)
        if words.attempt is not None and words.attempt != context.attempt:
            _read_to_end(connection, context.deadline)
            connection.reader.pass_over()
            continue
        return _judge(connection, words, context.deadline)


def _read_until_head(connection: connections.Connection, until: float) -> None:
    reader = connection.reader
    while reader.head is None and reader.broken is None:
        connection.read(until - time.monotonic())


def _read_to_end(connection: connections.Connection, until: float) -> None:
    reader = connection.reader
    while not reader.complete:
        connection.read(until - time.monotonic())
        reader.take_body()
        if reader.broken:
            raise connections.ConnectionBrokeError(reader.broken)


def _judge(
    connection: connections.Connection,
    words: request_headers.ServerWords,
    deadline: float,
) -> Outcome:
    head = connection.reader.head
    if words.not_executed or head.status == 421:
        try:
            _read_to_end(connection, deadline)
        except (
            connections.ConnectionBrokeError,
            connections.AnswerTimeoutError,
        ):
            # The verdict is in the head; only the connection is lost.
            connection.close()
        return NotRun(
            reason=f"server answered {head.status}",
            arrived=True,
            misdirected=head.status == 421,
        )
    if not words.sealed:
        return Unknown(reason=f"answer {head.status} bears no seal")
    return Opened(connection=connection, head=head)
