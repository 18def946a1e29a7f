"""Sends a request to a backend server and reads the head of the response.

Failures are classified by what they imply for the request: it did not run
(``NotRun``), or it may have run (``Unknown``).
"""

from collections.abc import Callable
import time
import typing

from daisypick_core.serving import backend_server
from daisypick_http import connection as connections
from daisypick_http import messages
from daisypick_http import pool as pools
from daisypick_http import progress
from daisypick_http import server as http_server
from daisypick_platform import request_headers
from daisypick_router import cold_sends
from daisypick_router import context as contexts
from daisypick_router import server_notices

_SEND_TIMEOUT_SECONDS = 5.0
# Wait for a response that a server sent before it stopped reading a request.
_EARLY_HEAD_SECONDS = 0.05
# Late responses to earlier requests on a connection, and bytes of a response
# that is discarded, after which the connection is given up.
_MAX_LATE_RESPONSES = 8
_MAX_DISCARDED_BYTES = 4 << 20


class NotRun(typing.NamedTuple):
    """The request certainly did not run at this server.

    Attributes:
        reason: For the log.
        reached_server: Whether the server received and rejected it.
        server_down: Whether no connection to the server could be opened.
        misdirected: Whether another server now uses the address.
        unsent: Whether it was not sent for a reason unrelated to the server:
            its deadline had passed, or this process has no file descriptor
            left.
        limited: Whether it was not sent as the server is cold and cannot
            handle it now.
    """

    reason: str
    reached_server: bool
    server_down: bool = False
    misdirected: bool = False
    unsent: bool = False
    limited: bool = False

    @property
    def is_servers_fault(self) -> bool:
        """Whether it shows something about the server."""
        return not (self.unsent or self.limited)


class Unknown(typing.NamedTuple):
    """The request may have run, but there is no response to relay."""

    reason: str
    timed_out: bool = False


class OpenExchange(typing.NamedTuple):
    """The head of the server's response was read; its body was not."""

    connection: connections.Connection
    head: messages.ResponseHead


Outcome = NotRun | Unknown | OpenExchange


def open_exchange(
    pool: pools.Pool,
    caller: http_server.CallerConnection,
    context: contexts.Context,
    server: backend_server.BackendServer,
    *,
    notices: server_notices.ServerNotices,
    sends: cold_sends.ColdSends,
    decided_at: float,
    last_event: int | None,
    head_timeout: float,
    on_silent: Callable[[], float | None] | None = None,
    copy_from: tuple[str, int] | None = None,
    bound: progress.ProgressBound | None = None,
) -> Outcome:
    """Send a request and read the head of its response.

    Args:
        pool: Connections to backend servers.
        caller: Connection of the caller.
        context: The request.
        server: Server to send it to.
        notices: Gets the headers of each response.
        sends: Counts the request when it is sent, or declines it.
        decided_at: When the server was chosen.
        last_event: Id of the event after which to resume a stream.
        head_timeout: Seconds to wait for the head of the response.
        on_silent: Called when there is no head then; returns until when to
            wait on, or ``None`` to give up.
        copy_from: Address of a server that has more of the prompt in its KV
            cache.
        bound: Progress with which the server is to read the request; without
            one it has to read it within some seconds.

    Raises:
        CallerDisconnected: The caller disconnected before the request was sent.
    """
    try:
        connection = pool.take(server.address)
    except connections.NoDescriptorsError as error:
        return NotRun(reason=str(error), reached_server=False, unsent=True)
    except connections.NotConnectedError as error:
        return NotRun(reason=str(error), reached_server=False, server_down=True)
    # The loop may have been busy since the deadline and the caller's
    # connection were last checked. A request sent too late would waste the
    # server's capacity.
    if time.monotonic() >= context.deadline:
        pool.release(connection)
        return NotRun(
            reason="too late to send", reached_server=False, unsent=True
        )
    if caller.has_disconnected():
        pool.release(connection)
        raise http_server.CallerDisconnected
    sends.restarts.note_connected(server, opened_at=connection.opened_at)
    if not sends.take(server, decided_at=decided_at):
        pool.release(connection)
        return NotRun(
            reason="the server is cold", reached_server=False, limited=True
        )
    finished = False
    try:
        outcome = _send_and_read(
            connection,
            context,
            server,
            notices,
            last_event,
            head_timeout,
            on_silent,
            copy_from,
            bound,
        )
        finished = isinstance(outcome, OpenExchange) or connection.is_reusable()
        if not isinstance(outcome, Unknown):
            sends.restarts.note_received(server, opened_at=connection.opened_at)
    finally:
        if not finished:
            connection.close()
    if not isinstance(outcome, OpenExchange) and finished:
        pool.release(connection)
    return outcome


def _send_and_read(
    connection: connections.Connection,
    context: contexts.Context,
    server: backend_server.BackendServer,
    notices: server_notices.ServerNotices,
    last_event: int | None,
    head_timeout: float,
    on_silent: Callable[[], float | None] | None,
    copy_from: tuple[str, int] | None,
    bound: progress.ProgressBound | None,
) -> Outcome:
    request = context.request
    now = time.monotonic()
    try:
        context.is_sent = True
        try:
            # The head is not kept while the server works on the request.
            connection.send(
                _write_head(context, server, now, last_event, copy_from),
                method=request.method,
                timeout=_SEND_TIMEOUT_SECONDS
                if bound is None
                else context.deadline - now,
                body=request.body,
                bound=bound,
            )
        except connections.ConnectionBrokeError:
            if bound is None:
                raise
            # A server may reject a large body without reading all of it.
            head_timeout, on_silent = _EARLY_HEAD_SECONDS, None
        return _read_head(
            connection, context, server, notices, head_timeout, on_silent
        )
    except connections.ConnectionBrokeError as error:
        return Unknown(reason=str(error))
    except connections.AnswerTimeoutError as error:
        return Unknown(reason=str(error), timed_out=True)


def _write_head(
    context: contexts.Context,
    server: backend_server.BackendServer,
    now: float,
    last_event: int | None,
    copy_from: tuple[str, int] | None,
) -> bytes:
    request = context.request
    return messages.write_request_head(
        method=request.method,
        target=request.target,
        headers=request_headers.write_for_server(
            request_headers.filter_for_server(request.headers),
            seconds_left=context.deadline - now,
            server=server.name,
            organisation=context.organisation,
            last_event=last_event,
            copy_from=copy_from,
        ),
        length=len(request.body),
    )


def _read_head(
    connection: connections.Connection,
    context: contexts.Context,
    server: backend_server.BackendServer,
    notices: server_notices.ServerNotices,
    head_timeout: float,
    on_silent: Callable[[], float | None] | None,
) -> Outcome:
    """Read the head of the response to this request.

    A response with the id of another attempt is a late one to an earlier
    request on the connection; it is read and discarded.
    """
    head_due_at = time.monotonic() + head_timeout
    for _ in range(_MAX_LATE_RESPONSES):
        _read_until_head(
            connection, min(head_due_at, context.deadline), on_silent
        )
        reader = connection.reader
        if reader.head is None:
            return Unknown(reason=reader.broken or "no head of an answer")
        server_headers = request_headers.read_server(reader.head)
        if reader.head.status != 421:
            # That response comes from another server at the same address.
            notices.apply(server, server_headers)
        if (
            server_headers.attempt is not None
            and server_headers.attempt != context.attempt
        ):
            _read_to_end(connection, context.deadline)
            connection.reader.skip_response()
            continue
        return _classify_response(connection, server_headers, context.deadline)
    return Unknown(reason="only late answers")


def _read_until_head(
    connection: connections.Connection,
    until: float,
    on_silent: Callable[[], float | None] | None,
) -> None:
    reader = connection.reader
    while reader.head is None and reader.broken is None:
        try:
            connection.read(until - time.monotonic())
        except connections.AnswerTimeoutError:
            extended = on_silent() if on_silent is not None else None
            if extended is None:
                raise
            until = extended


def _read_to_end(connection: connections.Connection, until: float) -> None:
    reader = connection.reader
    discarded = 0
    while not reader.complete:
        connection.read(until - time.monotonic())
        discarded += len(reader.take_body())
        if reader.broken:
            raise connections.ConnectionBrokeError(reader.broken)
        if discarded > _MAX_DISCARDED_BYTES:
            raise connections.ConnectionBrokeError("response is too large")


def _classify_response(
    connection: connections.Connection,
    server_headers: request_headers.ServerHeaders,
    deadline: float,
) -> Outcome:
    head = connection.reader.head
    if server_headers.not_executed or head.status == 421:
        try:
            _read_to_end(connection, deadline)
        except (
            connections.ConnectionBrokeError,
            connections.AnswerTimeoutError,
        ):
            # The head alone shows that the request did not run. Without the
            # whole body the connection cannot be reused.
            connection.close()
        return NotRun(
            reason=f"server answered {head.status}",
            reached_server=True,
            misdirected=head.status == 421,
        )
    if not server_headers.sealed:
        return Unknown(reason=f"answer {head.status} bears no seal")
    return OpenExchange(connection=connection, head=head)
