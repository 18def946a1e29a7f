"""Counts the bytes of callers' requests and applies the limits of the ledger.

Each caller's connection has a ``CallerHold``. A body is admitted only if there
is room for all that it may bring; if there is none, bodies that make no
progress yield to it. Above the hard limit connections are ended at once, until
the ledger is below it. A request that must not be cut at its server loses only
its caller: the handler goes on without keeping bytes.

See Also:
    daisypick_core.serving.held_bytes: the limits and who is ended.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket as plain_socket
import time

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.serving import backend_server
from daisypick_core.serving import held_bytes
from daisypick_core.serving import server_capacity
from daisypick_http import hold as holds
from daisypick_http import messages
from daisypick_http import progress
from daisypick_http import server as http_server
from daisypick_router import context as contexts
from daisypick_router import line_limit
from daisypick_router import log as logs
from daisypick_router import metrics as metric_numbers
from daisypick_router import refusals

# A receiver with the usual buffers opens its window in steps of some 32 KB, so
# one that reads 1 KB/s shows no progress for half a minute.
_RESPONSE_BOUND = progress.ProgressBound(amount=16_384, seconds=40.0)
# A sender has no such steps. A request's deadline ends it in any case.
_BODY_BOUND = progress.ProgressBound(amount=2_048, seconds=4.0)
# Progress asked of a backend server that reads a request.
_SERVER_BOUND = progress.ProgressBound(amount=4_096, seconds=8.0)
PACE = holds.Pace(body=_BODY_BOUND, response=_RESPONSE_BOUND)
# Seconds after which a caller may retry. A response of the usual size takes a
# part of this time.
_RETRY_AFTER = 0.4
# Heads that may be incomplete at once. Usual heads arrive in one piece.
_MAX_HEADS = 256
# Memory of a request besides its body up to which it is usual: that of its
# handler, and of a head of some kilobytes.
_USUAL_REQUEST_BYTES = 40_960
# Log lines about each bound in ten seconds.
_MAX_LINES = 100
# Organisations that the metrics name.
_NAMED_ORGANISATIONS = 5


class Sending:
    """One try at a backend server.

    Attributes:
        answered: Whether the server answered it.
    """

    def __init__(self) -> None:
        self.answered = False


class HeldRequests:
    """The held bytes of a router.

    Attributes:
        ledger: The counts and limits.
        capacity: Bytes in flight to backend servers.
        pace: Progress asked of callers; ``None`` where callers and servers are
            not expected to be slow.
        find_organisation: Returns the owner of the API key in some headers,
            empty without one.
        refuse_head: Returns why a request is refused whatever its body is, or
            ``None``.
    """

    def __init__(
        self,
        *,
        memory_bytes: int,
        pace: holds.Pace | None,
        find_organisation: Callable[[messages.Headers], str],
        refuse_head: Callable[[messages.RequestHead], failure.Failure | None],
        log: logs.Log,
        metrics: metric_numbers.Metrics,
    ) -> None:
        self.ledger = held_bytes.HeldBytes(memory_bytes=memory_bytes)
        self.capacity = server_capacity.ServerCapacity()
        self.pace = pace
        self.find_organisation = find_organisation
        self.refuse_head = refuse_head
        self._log = log
        self._metrics = metrics
        self._lines = line_limit.LineLimit(most=_MAX_LINES)
        self._hold_by_holder: dict[held_bytes.Holder, CallerHold] = {}
        # Connections with an incomplete head, the oldest first.
        self._heads: collections.OrderedDict[CallerHold, None] = (
            collections.OrderedDict()
        )

    @property
    def server_bound(self) -> progress.ProgressBound | None:
        """Progress with which a backend server is to read a request."""
        return _SERVER_BOUND if self.pace is not None else None

    def open(self, *, caller: str) -> "CallerHold":
        """Return the hold of a new connection.

        Args:
            caller: IP address of the caller.
        """
        hold = CallerHold(held=self, caller=caller)
        self._hold_by_holder[hold.holder] = hold
        self.ledger.connections = len(self._hold_by_holder)
        return hold

    def forget(self, hold: "CallerHold") -> None:
        """Drop the hold of a connection that has ended."""
        self._heads.pop(hold, None)
        self.ledger.close(hold.holder, time.monotonic())
        self._hold_by_holder.pop(hold.holder, None)
        self.ledger.connections = len(self._hold_by_holder)

    def note_head(self, hold: "CallerHold", *, incomplete: bool) -> None:
        """Bound the number of incomplete heads; the oldest one is rejected."""
        if not incomplete:
            self._heads.pop(hold, None)
            return
        self._heads.setdefault(hold, None)
        if len(self._heads) <= _MAX_HEADS:
            return
        oldest, _ = self._heads.popitem(last=False)
        self._note("head", oldest)
        oldest.connection.reject_incomplete(
            holds.Refusal(status=408, reason="too many incomplete heads")
        )

    def has_room(self, connections: int, max_connections: int) -> bool:
        """Return whether one more connection may be open.

        Args:
            connections: Number of connections that are open.
            max_connections: Number that the file descriptors allow.
        """
        return connections < min(max_connections, self.ledger.max_connections)

    def end_incomplete(self, reason: str) -> bool:
        """End the connection of the request that loses least, if there is one.

        That is the oldest incomplete head, then the body that has made no
        progress for the longest time.
        """
        if self._heads:
            hold, _ = self._heads.popitem(last=False)
        else:
            stalled = self.ledger.find_stalled(None, time.monotonic())
            if stalled is None:
                return False
            hold = self._hold_by_holder[stalled]
        self._note("connections", hold, reason=reason)
        hold.connection.drop(reason, keep_handler=False)
        return True

    def refuse_connection(
        self, socket: plain_socket.socket, *, caller: str
    ) -> None:
        """Refuse a new connection before any request is read from it."""
        reason = "too many connections are open"
        self._note_bound("connections", caller=caller, reason=reason)
        refused = _refuse(reason)
        headers = [*refusals.write_headers(refused), (b"Connection", b"close")]
        body = refusals.write_body(refused)
        headers.append((b"Content-Length", b"%d" % len(body)))
        head = messages.write_head(status=refused.code.status, headers=headers)
        # The caller may have closed the connection.
        with contextlib.suppress(OSError):
            socket.settimeout(0.0)
            socket.send(head + body)
        socket.close()

    def _reject_stalled(self, hold: "CallerHold", reason: str) -> bool:
        """Reject a body without progress in favour of a hold, if there is one.

        Its bytes are free at once.
        """
        stalled = self.ledger.find_stalled(hold.holder, time.monotonic())
        if stalled is None:
            return False
        other = self._hold_by_holder[stalled]
        self._note("stalled", other, reason=reason)
        other.connection.reject_incomplete(
            holds.Refusal(status=408, reason="request came too slowly")
        )
        self.ledger.end_arrival(stalled)
        return True

    def begin_body(self, hold: "CallerHold", size: int) -> holds.Refusal | None:
        """Reserve the first bytes of a body, or refuse it."""
        self.ledger.end_arrival(hold.holder)
        return self._reserve(hold, size, self.ledger.begin_arrival)

    def extend_body(
        self, hold: "CallerHold", size: int
    ) -> holds.Refusal | None:
        """Reserve more bytes for an arriving body, or refuse it."""
        return self._reserve(hold, size, self.ledger.extend_arrival)

    def count_body(self, hold: "CallerHold") -> holds.Refusal | None:
        """Count a body that is still incomplete, or refuse it."""
        return self._admit(hold, self.ledger.count_arrival)

    def _reserve(
        self,
        hold: "CallerHold",
        size: int,
        reserve: Callable[[held_bytes.Holder, int, float], str | None],
    ) -> holds.Refusal | None:
        return self._admit(
            hold, lambda holder, now: reserve(holder, size, now), size=size
        )

    def _admit(
        self,
        hold: "CallerHold",
        admit: Callable[[held_bytes.Holder, float], str | None],
        **fields: object,
    ) -> holds.Refusal | None:
        """Admit a body, for which others that have stopped are rejected."""
        reason = admit(hold.holder, time.monotonic())
        while reason is not None and self._reject_stalled(hold, reason):
            reason = admit(hold.holder, time.monotonic())
        if reason is None:
            return None
        self._note("body", hold, reason=reason, **fields)
        return write_refusal(_refuse(reason))

    def refuse_large_head(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
    ) -> failure.Failure | None:
        """Return the refusal of a request that takes much besides its body.

        Above the share of the memory that large bodies may take there is room
        for usual requests only.
        """
        hold = connection.hold
        if not isinstance(hold, CallerHold):
            return None
        kept = hold.holder.bytes_by_kind.get(held_bytes.REQUEST, 0)
        size = kept - len(context.request.body)
        if size <= _USUAL_REQUEST_BYTES or not self.ledger.is_above_body_share:
            return None
        reason = "memory of the router is in use"
        self._note("request", hold, reason=reason, size=size)
        return _refuse(reason)

    def refuse_whole(
        self, connection: http_server.CallerConnection
    ) -> failure.Failure | None:
        """Return the refusal of a whole response above the soft limit."""
        hold = connection.hold
        if isinstance(hold, CallerHold):
            is_refused = self.ledger.refuses_response(hold.holder)
        else:
            is_refused = self.ledger.is_above_soft
        if not is_refused:
            return None
        reason = "memory of the router is in use"
        if isinstance(hold, CallerHold):
            self._note("response", hold, reason=reason)
        return _refuse(reason)

    def refuse_pipelined(self, hold: "CallerHold") -> holds.Refusal:
        """Refuse requests that wait behind a running one."""
        reason = "too many requests wait on the connection"
        self._note("pipelined", hold, reason=reason)
        return write_refusal(_refuse(reason))

    def enforce(self) -> None:
        """End holders while the ledger is above the hard limit."""
        while (holder := self.ledger.choose_end()) is not None:
            self.end(self._hold_by_holder[holder], "hard limit of held bytes")

    def end(self, hold: "CallerHold", reason: str) -> None:
        """End a caller's connection; an unsafe request runs to its end."""
        if hold.is_ended:
            return
        hold.is_ended = True
        self._note("end", hold, reason=reason)
        holder = hold.holder
        holder.ended = True
        now = time.monotonic()
        if holder.protected:
            self.ledger.set(holder, held_bytes.RESPONSE, 0, now)
            self.ledger.set(holder, held_bytes.STREAM, 0, now)
        else:
            self.ledger.note_leaving(holder)
        hold.connection.drop(reason, keep_handler=holder.protected)

    def _note(self, bound: str, hold: "CallerHold", **fields: object) -> None:
        """Count and log a decision about a connection."""
        now = time.monotonic()
        holder = hold.holder
        self._note_bound(
            bound,
            caller=hold.caller,
            organisation=holder.organisation,
            server=holder.server,
            protected=holder.protected,
            bytes=holder.bytes,
            reserved=holder.reserved,
            without_progress=round(now - holder.progressed_at, 3),
            age=round(now - holder.opened_at, 3),
            **fields,
        )

    def _note_bound(self, bound: str, **fields: object) -> None:
        self._metrics.count("held_bounds_total", bound=bound)
        if self._lines.allows(bound):
            self._log.write(
                "held",
                "A bound of held bytes is met.",
                bound=bound,
                total=self.ledger.total,
                connections=self.ledger.connections,
                **fields,
            )

    def allows(
        self, context: contexts.Context, server: backend_server.BackendServer
    ) -> bool:
        """Return whether a server has room for a request."""
        return self.capacity.allows(_name(server), len(context.request.body))

    @contextlib.contextmanager
    def sending(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        server: backend_server.BackendServer,
    ) -> Iterator[Sending]:
        """Count a request at a server until its failure has been examined."""
        size = len(context.request.body)
        holder = getattr(connection.hold, "holder", None)
        if holder is not None:
            self.ledger.assign(
                holder,
                organisation=context.organisation or "",
                server=server.name,
            )
        self.capacity.note_sent(_name(server), size)
        sending = Sending()
        try:
            yield sending
        finally:
            self.capacity.note_end(
                _name(server),
                size,
                answered=sending.answered,
                now=time.monotonic(),
            )
            if holder is not None:
                holder.protected = False
                self.ledger.assign(holder)

    def note_sent(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
    ) -> None:
        """Record that a request is sent now and may run."""
        if isinstance(connection.hold, CallerHold):
            connection.hold.holder.protected = not context.may_run_again

    def is_overload(self, server: backend_server.BackendServer) -> bool:
        """Return whether a server's crash is attributed to its memory."""
        if self.pace is None:
            return False
        name = _name(server)
        before = self.capacity.find_limit(name)
        overload = self.capacity.note_crash(name, time.monotonic())
        if self.capacity.find_limit(name) != before:
            self._metrics.count("server_overloads_total")
            self._log.write(
                "held",
                "A server ended with much in flight and gets less.",
                server=server.name,
                limit=self.capacity.find_limit(_name(server)),
            )
        return overload

    def write_metrics(self) -> None:
        """Set the gauges."""
        ledger = self.ledger
        for kind, amount in ledger.bytes_by_kind.items():
            self._metrics.set_gauge("held_bytes", amount, kind=kind)
        self._metrics.set_gauge("held_bytes_peak", ledger.peak)
        self._metrics.set_gauge("held_bytes_leaving", ledger.leaving)
        self._metrics.clear_gauge("held_bytes_by_organisation")
        for name, amount in ledger.find_largest(_NAMED_ORGANISATIONS):
            self._metrics.set_gauge(
                "held_bytes_by_organisation", amount, organisation=name
            )
        self._metrics.set_gauge(
            "held_bytes_share", ledger.total / ledger.hard_limit
        )


def _name(server: backend_server.BackendServer) -> str:
    """Return the name under which a server's capacity is learned."""
    ip, port = server.address
    return f"{ip}:{port}"


def write_refusal(refused: failure.Failure) -> holds.Refusal:
    """Return the response to a request that is refused."""
    return holds.Refusal(
        status=refused.code.status,
        reason=refused.reason,
        headers=tuple(refusals.write_headers(refused)),
        body=refusals.write_body(refused),
    )


def _refuse(reason: str) -> failure.Failure:
    return failure.Failure(
        code=codes.MEMORY_IN_USE, reason=reason, retry_after=_RETRY_AFTER
    )


class CallerHold(holds.Hold):
    """Counts the bytes of one caller's connection in the ledger.

    Attributes:
        holder: Its entry in the ledger.
        connection: The connection; set once it exists.
        caller: IP address of the caller.
        is_ended: Whether its caller's connection was ended.
    """

    connection: http_server.CallerConnection

    def __init__(self, *, held: HeldRequests, caller: str) -> None:
        self._held = held
        self.caller = caller
        self.holder = held.ledger.open(time.monotonic())
        self.is_ended = False
        self._kind = held_bytes.RESPONSE
        self._request = 0
        self._decoded = 0
        self._waiting = 0
        self._buffered = 0
        # Head of the arriving body, until it was examined.
        self._head: messages.RequestHead | None = None

    def note_head(self, *, incomplete: bool) -> None:
        """See the base class."""
        self._held.note_head(self, incomplete=incomplete)

    def begin_body(
        self, head: messages.RequestHead, size: int
    ) -> holds.Refusal | None:
        """See the base class."""
        if not self.connection.has_request:
            self._held.ledger.assign(
                self.holder,
                organisation=self._held.find_organisation(head.headers),
            )
        self._head = head
        return self._refuse_head(size) or self._held.begin_body(self, size)

    def extend_body(self, size: int) -> holds.Refusal | None:
        """See the base class."""
        return self._refuse_head(size) or self._held.extend_body(self, size)

    def _refuse_head(self, size: int) -> holds.Refusal | None:
        """Refuse a large body at once if its head decides that.

        The response to a small one is sent once it has arrived, after which
        the connection can be used again.
        """
        head = self._head
        if size <= held_bytes.SMALL_BODY_BYTES or head is None:
            return None
        self._head = None
        refused = self._held.refuse_head(head)
        return None if refused is None else write_refusal(refused)

    def note_body(self, amount: int) -> holds.Refusal | None:
        """See the base class."""
        refusal = self._held.count_body(self)
        if refusal is None:
            self._held.ledger.note_arrived(
                self.holder, amount, time.monotonic()
            )
        return refusal

    def end_body(self) -> None:
        """See the base class."""
        self._head = None
        self._held.ledger.end_arrival(self.holder)

    def refuse_pipelined(self) -> holds.Refusal:
        """See the base class."""
        return self._held.refuse_pipelined(self)

    def set_request(self, amount: int) -> None:
        """See the base class."""
        self._request = amount
        if not amount:
            self._decoded = 0
        if not self.is_ended or self.holder.protected or not amount:
            self._set(held_bytes.REQUEST, amount + self._decoded)

    def set_owner(self, organisation: str, decoded_bytes: int) -> None:
        """See the base class."""
        self._held.ledger.assign(self.holder, organisation=organisation)
        self._decoded = decoded_bytes
        self.set_request(self._request)

    def set_response(self, amount: int) -> None:
        """See the base class."""
        self._waiting = amount
        self._set_response()

    def set_buffered(self, amount: int) -> None:
        """Set the bytes of a response that are not sent to the caller yet."""
        self._buffered = amount
        self._set_response()

    def _set_response(self) -> None:
        if self.is_ended:
            return
        amount = self._waiting + self._buffered
        if not amount:
            self._set(held_bytes.RESPONSE, 0)
            self._set(held_bytes.STREAM, 0)
        else:
            self._set(self._kind, amount)

    def set_stream(self, *, is_stream: bool) -> None:
        """Record whether the response is a stream; none of it is held yet."""
        self._kind = held_bytes.STREAM if is_stream else held_bytes.RESPONSE

    def _set(self, kind: str, amount: int) -> None:
        ledger = self._held.ledger
        ledger.set(self.holder, kind, amount, time.monotonic())
        if ledger.is_above_hard:
            self._held.enforce()

    def find_limit(self, waited: float) -> float:
        """See the base class."""
        return self._held.ledger.find_caller_limit(self.holder, waited)

    def note_slow(self) -> None:
        """See the base class."""
        self._held.end(self, "caller reads too slowly")

    def close(self) -> None:
        """See the base class."""
        self._held.forget(self)
