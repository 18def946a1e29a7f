"""The way of a request to a plain service: tried, answered whole.

The answer is held until it is whole, so a try that breaks off can be made
again without the caller noticing, where a second run does no harm.
"""

import time

from daisypick_core.results import failure
from daisypick_core.serving import backend_server
from daisypick_core.serving import route_table
from daisypick_http import messages
from daisypick_http import pool as pools
from daisypick_http import server as http_server
from daisypick_router import context as contexts
from daisypick_router import exchange
from daisypick_router import plain_servers
from daisypick_router import relay
from daisypick_router import tries as try_rules

# A safe request whose server is silent for this many objectives goes to
# another one: the server hangs, or is so busy that the answer will be late.
_SAFE_SILENCE_OBJECTIVES = 3.0


class PlainWay:
    """Serves requests of plain services."""

    def __init__(
        self,
        *,
        pool: pools.Pool,
        servers: plain_servers.PlainServers,
        tries: try_rules.Tries,
    ) -> None:
        self._pool = pool
        self._servers = servers
        self._tries = tries

    def serve(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
    ) -> failure.Failure | str:
        """Answer a request; return a word on how, or the failure."""
        held: relay.Whole | None = None
        tried: try_rules.FailedTry | relay.Whole | None = None
        while tried is None or self._tries.may_send_again(context, tried):
            server = self._servers.pick(
                context.service, context.tried, time.monotonic()
            )
            if server is None:
                break
            context.tried.add(server.name)
            try:
                tried = self._try(connection, context, server)
            finally:
                self._servers.end(server.name)
            if isinstance(tried, relay.Whole):
                held = tried
                if tried.head.status < 500:
                    self._tries.outcomes.note_success(server.name)
                    break
                self._tries.outcomes.note_failure(server.name, time.monotonic())
            else:
                self._tries.note_failed(context, server.name, tried)
        if held is not None:
            deliver(connection, held)
            return f"answered_{held.head.status}"
        return try_rules.conclude(context, tried)

    def _try(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        server: backend_server.BackendServer,
    ) -> try_rules.FailedTry | relay.Whole:
        silence = context.deadline - time.monotonic()
        if context.route.kind == route_table.SAFE and self._may_give_up(
            context
        ):
            patience = context.route.objective * _SAFE_SILENCE_OBJECTIVES
            silence = min(silence, patience)
        opened = exchange.open_exchange(
            self._pool,
            connection,
            context,
            server,
            last_event=None,
            silence=silence,
        )
        if isinstance(opened, exchange.NotRun):
            context.arrivals += opened.arrived
            return opened
        context.arrivals += 1
        if isinstance(opened, exchange.Unknown):
            return opened
        return read_whole(self._pool, opened, context.deadline)

    def _may_give_up(self, context: contexts.Context) -> bool:
        """Tell whether another server could answer in place of the next."""
        return self._tries.may_give_up(
            context, arrivals=context.arrivals + 1
        ) and self._servers.has_untried(
            context.service, context.tried, time.monotonic()
        )


def read_whole(
    pool: pools.Pool, opened: exchange.Opened, deadline: float
) -> relay.Whole | relay.Broken:
    """Read an answer whole and give its connection back."""
    answer = None
    try:
        answer = relay.read_whole(opened, deadline)
    finally:
        if not isinstance(answer, relay.Whole):
            opened.connection.close()
    if isinstance(answer, relay.Whole):
        pool.give_back(opened.connection)
    return answer


def deliver(
    connection: http_server.CallerConnection, answer: relay.Whole
) -> None:
    """Send a server's whole answer to the caller as it is."""
    connection.send_whole(
        status=answer.head.status,
        headers=messages.drop_per_connection(answer.head.headers),
        body=answer.body,
    )
