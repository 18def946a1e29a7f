"""The way of a request to a model service: scheduled, streamed.

The scheduler says when and where the request starts. The head of the answer
is held until the first whole event, so a server that breaks off before it
costs the caller nothing but time. A stream that breaks off later goes on at
another server if its route allows that; else the caller's connection is cut,
so that the stream cannot look whole.
"""

import time

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.scheduling import actions
from daisypick_core.scheduling import job
from daisypick_core.serving import backend_server
from daisypick_core.serving import event_stream
from daisypick_http import messages
from daisypick_http import pool as pools
from daisypick_http import server as http_server
from daisypick_platform import request_headers
from daisypick_router import context as contexts
from daisypick_router import discovery as discoveries
from daisypick_router import exchange
from daisypick_router import metrics as metric_numbers
from daisypick_router import placing as placings
from daisypick_router import plain_way
from daisypick_router import relay
from daisypick_router import tries as try_rules

_EVENT_STREAM = b"text/event-stream"
# Silence in seconds after which a stream that may go on elsewhere does so.
# Callers give up themselves after two seconds at the least.
_EVENT_SILENCE = 1.2
# The same for the first event, in objectives and at least in seconds.
_FIRST_SILENCE_OBJECTIVES = 2.5
_FIRST_SILENCE = 1.0
# Part of the most tokens that a caller allows which is generated, where it
# gives no guess of its own.
_OUTPUT_SHARE = 0.5


class EngineWay:
    """Serves requests of model services."""

    def __init__(
        self,
        *,
        pool: pools.Pool,
        discovery: discoveries.Discovery,
        placing: placings.Placing,
        tries: try_rules.Tries,
        metrics: metric_numbers.Metrics,
        router: str,
        data_centre: str,
    ) -> None:
        self._pool = pool
        self._discovery = discovery
        self._placing = placing
        self._tries = tries
        self._metrics = metrics
        self._router = router
        self._data_centre = data_centre

    def serve(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
    ) -> failure.Failure | str:
        """Answer a request; return a word on how, or the failure."""
        refused = False
        try:
            outcome = self._serve(connection, context)
            refused = failure.is_failure(outcome)
            return outcome
        finally:
            self._count_missed(context, refused=refused)

    def _count_asked(
        self, context: contexts.Context, organisation: str
    ) -> None:
        words = context.words
        cost = job.find_cost(words.prompt_tokens, _find_output_tokens(words))
        self._placing.tally.add(organisation, requests=1, asked=cost)
        self._placing.tally.note_most(organisation, "largest", cost)

    def _count_missed(
        self, context: contexts.Context, *, refused: bool
    ) -> None:
        """Count a request that was refused, or began late or never."""
        began_at = context.first_event_at
        in_time = began_at is not None and began_at <= context.objective_at
        if refused or not in_time:
            self._placing.tally.add(
                context.organisation or "",
                refused=int(refused),
                late=int(not refused),
            )

    def _serve(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
    ) -> failure.Failure | str:
        stream = event_stream.EventStream(last_id=context.words.last_event)
        tried: try_rules.FailedTry | None = None
        organisation = context.organisation or ""
        self._count_asked(context, organisation)
        refused = self._placing.refuse_unasked(
            context.service, organisation, context.attempt, time.monotonic()
        )
        if refused is not None:
            return self._give_up(context, None, refused)
        while tried is None or self._tries.may_send_again(context, tried):
            work = self._make_job(context)
            decided = self._placing.acquire(context.service, work)
            if isinstance(decided, actions.Refuse):
                return self._give_up(context, tried, decided)
            directory = self._discovery.directory
            server = directory.server_by_name.get(decided.server)
            context.tried.add(decided.server)
            if server is None or not directory.may_get_work(server):
                self._placing.note_end(context.service, work.key)
                continue
            source = directory.server_by_name.get(decided.source)
            tried = self._try(connection, context, work, server, source, stream)
            if isinstance(tried, str):
                return tried
            self._tries.note_failed(context, decided.server, tried)
        return try_rules.conclude(context, tried)

    def _give_up(
        self,
        context: contexts.Context,
        tried: try_rules.FailedTry | None,
        refused: actions.Refuse,
    ) -> failure.Failure:
        if context.may_have_run:
            return try_rules.conclude(context, tried)
        return failure.Failure(
            code=codes.TOO_LATE,
            reason=refused.reason,
            retry_after=refused.retry_after,
        )

    def _make_job(self, context: contexts.Context) -> job.Job:
        words = context.words
        # A request that was read late, or fails at a server, is late already.
        # Judged by what is left of its objective it would be refused, and an
        # organisation whose callers reach a busy VM would get nothing.
        objective_at = max(
            context.objective_at, time.monotonic() + context.route.objective
        )
        # The host may be cut off from the platform's list while we are not.
        closed = self._discovery.directory.find_closed(context.service.name)
        return job.Job(
            key=f"{context.attempt}/{len(context.tried)}",
            router=self._router,
            organisation=context.organisation or "",
            parts=tuple(
                job.Part(name=part.name, tokens=part.tokens)
                for part in words.parts
            ),
            prompt_tokens=words.prompt_tokens,
            output_tokens=_find_output_tokens(words),
            arrived_at=time.monotonic(),
            objective_at=objective_at,
            deadline_at=context.deadline,
            avoid=frozenset(context.tried.union(closed)),
            data_centre=self._data_centre,
        )

    def _try(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        work: job.Job,
        server: backend_server.BackendServer,
        source: backend_server.BackendServer | None,
        stream: event_stream.EventStream,
    ) -> try_rules.FailedTry | str:
        """Send a request once and pass on what comes."""
        tried: try_rules.FailedTry | str | None = None
        try:
            tried = self._exchange(
                connection, context, work, server, source, stream
            )
        finally:
            if not _blames_server(tried):
                self._placing.note_end(context.service, work.key)
            else:
                down = isinstance(tried, exchange.NotRun) and tried.server_down
                self._placing.note_failure(
                    context.service, work.key, certain=down
                )
        return tried

    def _exchange(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        work: job.Job,
        server: backend_server.BackendServer,
        source: backend_server.BackendServer | None,
        stream: event_stream.EventStream,
    ) -> try_rules.FailedTry | str:
        opened = exchange.open_exchange(
            self._pool,
            connection,
            context,
            server,
            last_event=stream.last_id,
            silence=self._first_silence(context, arrivals=context.arrivals + 1),
            copy_from=source.address if source is not None else None,
        )
        if isinstance(opened, exchange.NotRun):
            context.arrivals += opened.arrived
            return opened
        context.arrivals += 1
        if isinstance(opened, exchange.Unknown):
            return opened
        kind = messages.find_header(opened.head.headers, b"content-type")
        if opened.head.status != 200 or not (kind or b"").startswith(
            _EVENT_STREAM
        ):
            return self._pass_whole(connection, context, opened)
        return self._pass_stream(connection, context, work, opened, stream)

    def _first_silence(
        self, context: contexts.Context, *, arrivals: int
    ) -> float:
        left = context.deadline - time.monotonic()
        if not self._tries.may_give_up(context, arrivals=arrivals):
            return left
        patience = context.route.objective * _FIRST_SILENCE_OBJECTIVES
        return min(left, max(patience, _FIRST_SILENCE))

    def _pass_whole(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        opened: exchange.Opened,
    ) -> relay.Broken | str:
        answer = plain_way.read_whole(self._pool, opened, context.deadline)
        if isinstance(answer, relay.Broken):
            return answer
        if connection.answer_begun:
            return relay.Broken(
                reason=f"server answered {answer.head.status} to go on"
            )
        plain_way.deliver(connection, answer)
        return f"answered_{answer.head.status}"

    def _pass_stream(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        work: job.Job,
        opened: exchange.Opened,
        stream: event_stream.EventStream,
    ) -> relay.Broken | str:
        reader = relay.EventReader(opened=opened, stream=stream)
        ended = None
        silence = self._first_silence(context, arrivals=context.arrivals)
        first = True
        try:
            while True:
                events = self._read_events(context, reader, silence)
                if not isinstance(events, bytes):
                    ended = events
                    break
                if first:
                    first = False
                    silence = _EVENT_SILENCE
                    self._note_first(context, work)
                if not connection.answer_begun:
                    connection.begin_stream(
                        status=opened.head.status,
                        headers=messages.drop_per_connection(
                            opened.head.headers
                        ),
                    )
                connection.send_chunk(events)
        finally:
            if not isinstance(ended, relay.Ended):
                opened.connection.close()
        if isinstance(ended, relay.Broken):
            return ended
        self._pool.give_back(opened.connection)
        if not connection.answer_begun:
            connection.begin_stream(
                status=opened.head.status,
                headers=messages.drop_per_connection(opened.head.headers),
            )
        connection.end_stream()
        return "streamed"

    def _read_events(
        self,
        context: contexts.Context,
        reader: relay.EventReader,
        silence: float,
    ) -> bytes | relay.Ended | relay.Broken:
        """Return what comes next of a stream.

        Giving up a silent server helps only a stream that another one may go
        on with; any other would be cut though its server may still work.
        """
        until = min(time.monotonic() + silence, context.deadline)
        events = reader.read(until)
        if (
            isinstance(events, relay.Broken)
            and events.silent
            and until < context.deadline
            and not self._tries.may_give_up(context, arrivals=context.arrivals)
        ):
            return reader.read(context.deadline)
        return events

    def _note_first(self, context: contexts.Context, work: job.Job) -> None:
        self._placing.note_first_token(context.service, work.key)
        if context.first_event_at is None:
            context.first_event_at = time.monotonic()
            self._placing.tally.add(work.organisation, begun=work.cost)
        self._metrics.observe(
            "first_event_seconds",
            time.monotonic() - context.request.began_at,
            route=context.route.name,
        )


def _find_output_tokens(words: request_headers.CallerWords) -> int:
    """Return how many tokens a request is expected to generate."""
    expected = words.expected_tokens
    if not expected:
        expected = int(words.output_tokens * _OUTPUT_SHARE)
    return min(expected, words.output_tokens or expected)


def _blames_server(tried: try_rules.FailedTry | str | None) -> bool:
    """Tell whether a try failed at its server."""
    if tried is None or isinstance(tried, str):
        return False
    return not (isinstance(tried, exchange.NotRun) and tried.unsent)
