"""Handles requests of plain services, with retries.

A small response is buffered until it is complete, so a try that fails midway
can be repeated transparently to the caller if running the request twice is
safe. Where callers may be slow, a large one is sent on while it arrives.
"""

from collections.abc import Callable
import time

from daisypick_core.results import failure
from daisypick_core.serving import backend_server
from daisypick_core.serving import route_table
from daisypick_http import pool as pools
from daisypick_http import server as http_server
from daisypick_router import closed_answers
from daisypick_router import cold_sends
from daisypick_router import context as contexts
from daisypick_router import exchange
from daisypick_router import held_requests
from daisypick_router import plain_servers
from daisypick_router import relay
from daisypick_router import retry_policy as retry_policies
from daisypick_router import rollouts as rollout_records
from daisypick_router import server_notices

# Timeout for the head of the response to a safe request, as a multiple of the
# route's latency target. The request is then retried elsewhere: the server
# hangs, or is so busy that its response would be late.
_SAFE_TIMEOUT_OBJECTIVES = 3.0


class PlainHandler:
    """Handles requests of plain services."""

    def __init__(
        self,
        *,
        pool: pools.Pool,
        servers: plain_servers.PlainServers,
        retry_policy: retry_policies.RetryPolicy,
        notices: server_notices.ServerNotices,
        rollouts: rollout_records.Rollouts,
        held: held_requests.HeldRequests,
        sends: cold_sends.ColdSends,
        closed: closed_answers.ClosedAnswers,
    ) -> None:
        self._closed_answers = closed
        self._sends = sends
        self._pool = pool
        self._servers = servers
        self._retry_policy = retry_policy
        self._notices = notices
        self._rollouts = rollouts
        self._held = held

    def serve(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
    ) -> failure.Failure | str:
        """Answer a request; return the outcome, or the failure."""
        paused = self._notices.refuse(context) or self._held.refuse_whole(
            connection
        )
        if paused is not None:
            return paused
        connection.hold.set_stream(is_stream=False)
        last_response: relay.WholeResponse | None = None
        result: retry_policies.FailedTry | relay.WholeResponse | None = None
        while result is None or self._retry_policy.may_retry(context, result):
            isolated = self._retry_policy.quarantine.is_isolated(context)
            server = self._pick(context, isolated=isolated)
            if server is None:
                break
            context.tried_servers.add(server.name)
            with self._held.sending(connection, context, server) as sending:
                try:
                    result = self._try(connection, context, server)
                finally:
                    self._servers.note_end(server.name, isolated=isolated)
                if not isinstance(result, relay.WholeResponse):
                    self._retry_policy.note_failed(context, server, result)
                    if connection.response_started:
                        break
                    continue
                sending.answered = True
            last_response = result
            if result.head.status < 500:
                self._retry_policy.outcomes.note_success(server.name)
                self._retry_policy.quarantine.note_answered(context)
                break
            self._retry_policy.outcomes.note_failure(
                server.name, time.monotonic()
            )
        if last_response is not None and not connection.response_started:
            relay.send_whole(connection, last_response)
            return f"answered_{last_response.head.status}"
        if isinstance(result, relay.WholeResponse):
            relay.send_whole(connection, result)
            return f"answered_{result.head.status}"
        paused = self._notices.refuse(context)
        return paused or retry_policies.choose_failure(context, result)

    def _pick(
        self, context: contexts.Context, *, isolated: bool
    ) -> backend_server.BackendServer | None:
        self._rollouts.choice.choose(context)
        server = self._servers.pick(
            context.pool,
            context.tried_servers.union(
                self._rollouts.choice.find_avoided(context)
            ),
            time.monotonic(),
            isolated=isolated,
            has_room=lambda found: self._held.allows(context, found),
        )
        if server is not None or not context.tests_version:
            return server
        self._rollouts.choice.skip_test(context)
        return self._servers.pick(
            context.pool,
            context.tried_servers,
            time.monotonic(),
            isolated=isolated,
            has_room=lambda found: self._held.allows(context, found),
        )

    def _try(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        server: backend_server.BackendServer,
    ) -> retry_policies.FailedTry | relay.WholeResponse:
        sent = self._rollouts.answers.note_sent(context, server)
        reached = context.servers_reached
        try:
            result = self._exchange(connection, context, server)
        finally:
            self._rollouts.answers.note_end(
                sent, reached=context.servers_reached > reached
            )
        if isinstance(result, relay.WholeResponse):
            self._rollouts.answers.note_answer(
                sent,
                failed=result.head.status >= 500,
                first=time.monotonic() - sent.at,
            )
        elif not isinstance(result, exchange.NotRun) and not (
            isinstance(result, relay.Broken) and result.caller_slow
        ):
            self._rollouts.answers.note_break(sent)
        return result

    def _exchange(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        server: backend_server.BackendServer,
    ) -> retry_policies.FailedTry | relay.WholeResponse:
        head_timeout = context.deadline - time.monotonic()
        if context.route.kind == route_table.SAFE and self._may_fail_over(
            context
        ):
            timeout = context.route.objective * _SAFE_TIMEOUT_OBJECTIVES
            head_timeout = min(head_timeout, timeout)
        self._retry_policy.note_sent(context)
        self._retry_policy.quarantine.note_sent(context)
        self._held.note_sent(connection, context)
        decided_at = time.monotonic()
        opened = exchange.open_exchange(
            self._pool,
            connection,
            context,
            server,
            notices=self._notices,
            sends=self._sends,
            decided_at=decided_at,
            last_event=None,
            head_timeout=head_timeout,
            bound=self._held.server_bound,
        )
        if isinstance(opened, exchange.NotRun):
            context.servers_reached += opened.reached_server
            return opened
        context.servers_reached += 1
        if isinstance(opened, exchange.Unknown):
            return opened
        return read_whole(
            self._pool,
            opened,
            context.deadline,
            connection,
            is_whole=lambda: self._closed_answers.is_whole(
                server, sent_at=context.sent_at
            ),
        )

    def _may_fail_over(self, context: contexts.Context) -> bool:
        """Return whether another server is left if the next one times out."""
        return self._retry_policy.may_fail_over(
            context, servers_reached=context.servers_reached + 1
        ) and self._servers.has_untried(
            context.pool, context.tried_servers, time.monotonic()
        )


def read_whole(
    pool: pools.Pool,
    opened: exchange.OpenExchange,
    deadline: float,
    caller: http_server.CallerConnection,
    *,
    is_whole: Callable[[], bool],
) -> relay.WholeResponse | relay.Broken:
    """Read a complete response and release its connection.

    ``is_whole()`` is asked about a response that ended with its connection.
    """
    response = None
    try:
        response = relay.read_whole(opened, deadline, caller)
        if (
            isinstance(response, relay.WholeResponse)
            and response.by_close
            and not is_whole()
        ):
            response = relay.Broken(reason="server ended with its answer")
    finally:
        if not isinstance(response, relay.WholeResponse):
            opened.connection.close()
    if isinstance(response, relay.WholeResponse):
        pool.release(opened.connection)
    return response
