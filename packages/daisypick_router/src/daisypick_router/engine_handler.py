"""Handles requests of model services: scheduling, streaming and retries.

The scheduler decides when and at which server a request starts. The head of
the response is held back until the first complete event, so that a server
that fails before it costs the caller only time. A stream that fails later is
resumed at another server if its route allows it. Otherwise the caller's
connection is aborted, so that the caller cannot take the stream for complete.
"""

import copy
import time

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.scheduling import actions
from daisypick_core.scheduling import job
from daisypick_core.scheduling import refusal_reasons
from daisypick_core.serving import backend_server
from daisypick_http import messages
from daisypick_http import pool as pools
from daisypick_http import server as http_server
from daisypick_platform import request_headers
from daisypick_router import answer_counts
from daisypick_router import answer_progress
from daisypick_router import answers as answer_records
from daisypick_router import closed_answers
from daisypick_router import cold_sends
from daisypick_router import context as contexts
from daisypick_router import discovery as discoveries
from daisypick_router import exchange
from daisypick_router import held_requests
from daisypick_router import metrics as metric_numbers
from daisypick_router import placing as placings
from daisypick_router import plain_handler
from daisypick_router import relay
from daisypick_router import retry_policy as retry_policies
from daisypick_router import rollouts as rollout_records
from daisypick_router import server_notices
from daisypick_router import stream_versions
from daisypick_router import takeover as takeovers

_EVENT_STREAM = b"text/event-stream"
# Outcome of a request whose stream was relayed to its end.
_STREAMED = "streamed"
# Expected output as a fraction of the caller's maximum number of output tokens,
# used if the caller sends no estimate.
_EXPECTED_OUTPUT_SHARE = 0.5
# Share of the latency target within which a server of a version under test has
# to start a request.
_TEST_WAIT_SHARE = 0.5
# Maximum delay of a request that arrives before the first list of servers.
_MAX_LIST_WAIT_SECONDS = 1.0


class EngineHandler:
    """Handles requests of model services."""

    def __init__(
        self,
        *,
        pool: pools.Pool,
        discovery: discoveries.Discovery,
        placing: placings.Placing,
        retry_policy: retry_policies.RetryPolicy,
        notices: server_notices.ServerNotices,
        rollouts: rollout_records.Rollouts,
        streams: stream_versions.StreamVersions,
        answers: answer_records.Answers,
        metrics: metric_numbers.Metrics,
        router: str,
        data_centre: str,
        held: held_requests.HeldRequests,
        sends: cold_sends.ColdSends,
        closed: closed_answers.ClosedAnswers,
    ) -> None:
        self._closed_answers = closed
        self._sends = sends
        self._pool = pool
        self._discovery = discovery
        self._placing = placing
        self._retry_policy = retry_policy
        self._notices = notices
        self._rollouts = rollouts
        self._streams = streams
        self._answers = answers
        self._metrics = metrics
        self._router = router
        self._data_centre = data_centre
        self._held = held

    def serve(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
    ) -> failure.Failure | str:
        """Answer a request; return the outcome, or the failure."""
        refused = False
        try:
            outcome = self._serve(connection, context)
            refused = failure.is_failure(outcome)
            self._streams.note_ended(
                context, outcome, time.monotonic() - context.request.began_at
            )
            return outcome
        finally:
            self._count_missed_objective(context, refused=refused)

    def _count_demand(
        self, context: contexts.Context, organisation: str
    ) -> None:
        caller_headers = context.caller_headers
        cost = job.find_cost(
            caller_headers.prompt_tokens, _find_output_tokens(caller_headers)
        )
        self._placing.tally.add(organisation, requests=1, asked=cost)
        self._placing.tally.note_most(organisation, "largest", cost)

    def _count_missed_objective(
        self, context: contexts.Context, *, refused: bool
    ) -> None:
        """Count a request that was refused, or started late or never."""
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
        progress = answer_progress.AnswerProgress(
            last_event=context.caller_headers.last_event
        )
        organisation = context.organisation or ""
        self._count_demand(context, organisation)
        unknown = self._streams.bind(context)
        if unknown is not None:
            return unknown
        self._rollouts.choice.choose(context)
        refused = self._refuse_locally(context, organisation)
        if refused is not None and self._may_skip_test(context):
            self._rollouts.choice.skip_test(context)
            refused = self._refuse_locally(context, organisation)
        if refused is not None:
            return self._make_failure(context, None, refused)
        paused = self._notices.refuse(context)
        if paused is not None:
            return paused
        # The host would choose servers that this router does not know yet.
        left = max(context.deadline - time.monotonic(), 0.0)
        if not self._discovery.wait_for_server_list(
            min(left, _MAX_LIST_WAIT_SECONDS)
        ):
            return failure.Failure(
                code=codes.NO_BACKEND_SERVER,
                reason="no list of servers was read yet",
                retry_after=retry_policies.RETRY_AFTER,
            )
        self._retry_policy.quarantine.wait_for_list()
        takeover = self._make_takeover(context, progress)
        outcome = None
        try:
            outcome = self._run_tries(connection, context, progress, takeover)
            return outcome
        finally:
            takeover.cancel()
            self._answers.learn_length(
                context, progress, complete=outcome == _STREAMED
            )

    def _run_tries(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        progress: answer_progress.AnswerProgress,
        takeover: takeovers.Takeover,
    ) -> failure.Failure | str:
        result: retry_policies.FailedTry | None = None
        place: takeovers.Place | None = None
        while (
            result is None
            or place is not None
            or self._retry_policy.may_retry(context, result)
        ):
            if place is None:
                if result is not None:
                    self._rollouts.choice.choose(context)
                refused = self._refuse_version(context)
                if refused is not None:
                    return self._choose_refusal(context, result, refused)
                found = self._acquire(context, progress)
                if isinstance(found, actions.Refuse):
                    return self._make_failure(context, result, found)
                if found is None:
                    self._rollouts.choice.choose(context)
                    continue
                place = found
            outcome = self._use_place(
                connection, context, place, progress, takeover
            )
            if failure.is_failure(outcome):
                return self._choose_refusal(context, result, outcome)
            if isinstance(outcome, str):
                return outcome
            result = outcome
            place = takeover.take()
            if place is not None:
                context.pool = place.service
                context.tests_version = False
                context.tried_servers.add(place.server.name)
                self._count_silent(context, "moved")
        paused = self._notices.refuse(context)
        return paused or retry_policies.choose_failure(context, result)

    def _use_place(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        place: takeovers.Place,
        progress: answer_progress.AnswerProgress,
        takeover: takeovers.Takeover,
    ) -> failure.Failure | retry_policies.FailedTry | str:
        """Run one try, after which the place is free again.

        Returns:
            The outcome, why the try failed, or the refusal of a request that
            has crashed its last server while it waited for the place.
        """
        is_tried = False
        try:
            quarantined = self._retry_policy.quarantine.refuse(context)
            if quarantined is not None:
                return quarantined
            with self._held.sending(
                connection, context, place.server
            ) as sending:
                is_tried = True
                result = self._try(
                    connection, context, place, progress, takeover
                )
                sending.answered = isinstance(result, str)
                if not isinstance(result, str):
                    self._retry_policy.note_failed(
                        context, place.server, result
                    )
                return result
        finally:
            if not is_tried:
                self._release(place)

    def _refuse_version(
        self, context: contexts.Context
    ) -> failure.Failure | None:
        """Return the refusal of a stream whose version gets no requests."""
        refused = self._streams.refuse(context)
        if refused is None and context.origin is not None:
            refused = self._rollouts.choice.refuse(context)
        return refused

    def _acquire(
        self,
        context: contexts.Context,
        progress: answer_progress.AnswerProgress,
    ) -> takeovers.Place | actions.Refuse | None:
        """Wait for a place.

        Returns:
            The place, or the refusal; ``None`` if the server that was chosen
            may not get the request any more.
        """
        work = self._make_job(context, progress.passed)
        action = self._placing.acquire(context.pool, work)
        if isinstance(action, actions.Refuse) and self._may_skip_test(context):
            self._rollouts.choice.skip_test(context)
            work = self._make_job(context, progress.passed)
            action = self._placing.acquire(context.pool, work)
        if isinstance(action, actions.Refuse):
            return action
        place = None
        try:
            place = self._check_place(context, work, action)
        finally:
            if place is None:
                self._placing.note_end(context.pool, work.key)
        return place

    def _check_place(
        self,
        context: contexts.Context,
        work: job.Job,
        action: actions.Start,
    ) -> takeovers.Place | None:
        """Return the place, or ``None`` if it may not be used any more."""
        directory = self._discovery.directory
        server = directory.server_by_name.get(action.server)
        context.tried_servers.add(action.server)
        if (
            server is None
            or not self._may_send(server)
            or not self._sends.allows(server)
            or not self._held.allows(context, server)
            or not self._streams.may_use(context, server)
            or self._rollouts.choice.is_outdated(context)
        ):
            return None
        return takeovers.Place(
            work=work,
            service=context.pool,
            server=server,
            source=directory.server_by_name.get(action.source),
            prefill_seconds=self._placing.predict_prefill(
                context.pool,
                action.ahead + max(work.prompt_tokens - action.cached, 0),
            ),
            decided_at=time.monotonic(),
        )

    def _may_skip_test(self, context: contexts.Context) -> bool:
        """Return whether the version in force can take a test's request."""
        return context.tests_version and context.origin is None

    def _release(self, place: takeovers.Place) -> None:
        self._placing.note_end(place.service, place.work.key)

    def _make_takeover(
        self,
        context: contexts.Context,
        progress: answer_progress.AnswerProgress,
    ) -> takeovers.Takeover:
        return takeovers.Takeover(
            deadline=context.deadline,
            may_move=lambda servers_reached: self._retry_policy.may_fail_over(
                context, servers_reached=servers_reached
            ),
            acquire=lambda: self._acquire_next(context, progress),
            confirm=lambda: self._retry_policy.may_retry(
                context, relay.Broken(reason="silent", timed_out=True)
            ),
            release=self._release,
        )

    def _acquire_next(
        self,
        context: contexts.Context,
        progress: answer_progress.AnswerProgress,
    ) -> takeovers.Place | None:
        """Wait for a place at another server while the current one is silent.

        The server has to accept a connection: it may have ended unnoticed, and
        the silent one is lost for the request once it was moved.
        """
        # The version that the running try uses stays in the request's context.
        following = copy.copy(context)
        following.tried_servers = set(context.tried_servers)
        self._rollouts.choice.choose(following)
        place = None
        if self._refuse_version(following) is None:
            place = self._acquire(following, progress)
        if not isinstance(place, takeovers.Place):
            self._count_silent(context, "no_place")
            return None
        reachable = False
        try:
            reachable = self._pool.is_reachable(place.server.address)
        finally:
            if not reachable:
                self._release(place)
        if not reachable:
            context.tried_servers.add(place.server.name)
            self._count_silent(context, "no_connection")
            return None
        return place

    def _count_silent(self, context: contexts.Context, outcome: str) -> None:
        self._metrics.count(
            "silent_tries_total", service=context.service.name, outcome=outcome
        )

    def _refuse_locally(
        self, context: contexts.Context, organisation: str
    ) -> actions.Refuse | None:
        if context.origin is not None:
            # The host lets it wait whatever it refused of its organisation.
            return None
        return self._placing.refuse_locally(
            context.pool,
            organisation,
            context.attempt,
            time.monotonic(),
            deadline_at=context.deadline,
        )

    def _may_send(self, server: backend_server.BackendServer) -> bool:
        """Return whether a server may get requests of this router."""
        return self._discovery.directory.is_available(
            server
        ) and not self._notices.pauses.is_paused(server, time.monotonic())

    def _make_failure(
        self,
        context: contexts.Context,
        result: retry_policies.FailedTry | None,
        refused: actions.Refuse,
    ) -> failure.Failure:
        refusal = self._notices.refuse(
            context
        ) or self._retry_policy.quarantine.refuse(context)
        if refusal is None:
            self._count_refusal(context, refused)
            refusal = failure.Failure(
                code=codes.TOO_LATE,
                reason=refused.reason,
                retry_after=refused.retry_after,
            )
        return self._choose_refusal(context, result, refusal)

    def _count_refusal(
        self, context: contexts.Context, refused: actions.Refuse
    ) -> None:
        reason = refusal_reasons.find(refused.reason)
        context.refusal_reason = reason
        self._metrics.count(
            "refusals_by_reason_total",
            service=context.service.name,
            reason=str(reason.number),
        )

    def _choose_refusal(
        self,
        context: contexts.Context,
        result: retry_policies.FailedTry | None,
        refusal: failure.Failure,
    ) -> failure.Failure:
        """Return the refusal, which is true only if the request has not run."""
        if context.may_have_run:
            return retry_policies.choose_failure(context, result)
        return refusal

    def _make_job(self, context: contexts.Context, passed: int) -> job.Job:
        caller_headers = context.caller_headers
        # A request that was read late or is retried has used up part of its
        # latency target. With only the remainder it would be refused, and an
        # organisation whose callers are connected to a busy VM would starve.
        objective_at = max(
            context.objective_at, time.monotonic() + context.route.objective
        )
        if context.tests_version:
            # It can still start in time at the version in force.
            objective_at = min(
                objective_at,
                time.monotonic() + context.route.objective * _TEST_WAIT_SHARE,
            )
        if context.origin is not None:
            # The caller has a part of the response, and can use the rest until
            # its deadline.
            objective_at = max(objective_at, context.deadline)
        # Only this router may know of these servers: the scheduler host may be
        # cut off from the platform's list.
        unavailable = self._discovery.directory.find_unavailable(
            context.service.name
        )
        paused = self._notices.pauses.find_paused(time.monotonic())
        length = self._answers.predict_length(context, passed)
        return job.Job(
            key=f"{context.attempt}/{len(context.tried_servers)}",
            router=self._router,
            organisation=context.organisation or "",
            parts=tuple(
                job.Part(name=part.name, tokens=part.tokens)
                for part in caller_headers.parts
            ),
            prompt_tokens=caller_headers.prompt_tokens,
            output_tokens=_find_output_tokens(caller_headers),
            arrived_at=time.monotonic(),
            objective_at=objective_at,
            deadline_at=context.deadline,
            avoid=frozenset(
                context.tried_servers.union(
                    unavailable,
                    paused,
                    self._rollouts.choice.find_avoided(context),
                    self._streams.find_avoided(context),
                )
            ),
            only=self._streams.find_only(context),
            data_centre=self._data_centre,
            isolated=self._retry_policy.quarantine.is_isolated(context),
            expected_events=length.expected,
            high_events=length.high,
            max_pause=context.route.max_pause,
        )

    def _try(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        place: takeovers.Place,
        progress: answer_progress.AnswerProgress,
        takeover: takeovers.Takeover,
    ) -> retry_policies.FailedTry | str:
        """Send a request to one server and relay the response."""
        result: retry_policies.FailedTry | str | None = None
        sent = self._rollouts.answers.note_sent(context, place.server)
        reached = context.servers_reached
        progress.begin_try(place.work)
        try:
            result = self._exchange(
                connection, context, place, progress, takeover
            )
        finally:
            self._rollouts.answers.note_end(
                sent, reached=context.servers_reached > reached
            )
            self._note_try_end(context, place, progress, result)
            if not _is_server_failure(result):
                self._release(place)
            else:
                down = (
                    isinstance(result, exchange.NotRun) and result.server_down
                )
                self._placing.note_failure(
                    place.service, place.work.key, certain=down
                )
        self._note_answer(context, sent, result, progress.events)
        return result

    def _note_try_end(
        self,
        context: contexts.Context,
        place: takeovers.Place,
        progress: answer_progress.AnswerProgress,
        result: retry_policies.FailedTry | str | None,
    ) -> None:
        self._answers.note_try_end(
            context, progress, place.server.name, complete=result == _STREAMED
        )
        pace = progress.pace
        if pace is not None:
            self._placing.note_pace(place.service, place.work.key, pace)

    def _note_answer(
        self,
        context: contexts.Context,
        sent: answer_counts.Sent,
        result: retry_policies.FailedTry | str,
        events: int,
    ) -> None:
        """Record how a server answered, for the roll-out of its version."""
        if isinstance(result, exchange.NotRun):
            return
        if not isinstance(result, str):
            if not _is_caller_slow(result):
                self._rollouts.answers.note_break(sent)
            return
        first, pace = None, None
        if context.first_event_at is not None:
            first = max(context.first_event_at - sent.at, 0.0)
            if events > 1:
                streamed = time.monotonic() - context.first_event_at
                pace = streamed / (events - 1)
        self._rollouts.answers.note_answer(
            sent,
            failed=result.startswith("answered_5"),
            first=first,
            pace=pace,
        )

    def _exchange(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        place: takeovers.Place,
        progress: answer_progress.AnswerProgress,
        takeover: takeovers.Takeover,
    ) -> retry_policies.FailedTry | str:
        self._retry_policy.note_sent(context)
        self._retry_policy.quarantine.note_sent(context)
        self._held.note_sent(connection, context)
        source = place.source
        head_timeout = self._answers.find_first_event_timeout(
            context, place.prefill_seconds
        )
        takeover.watch(
            head_timeout, servers_reached=context.servers_reached + 1
        )
        opened = exchange.open_exchange(
            self._pool,
            connection,
            context,
            place.server,
            notices=self._notices,
            sends=self._sends,
            decided_at=place.decided_at,
            last_event=progress.stream.last_id,
            head_timeout=head_timeout,
            on_silent=takeover.extend,
            copy_from=source.address if source is not None else None,
            bound=self._held.server_bound,
        )
        if isinstance(opened, exchange.NotRun):
            context.servers_reached += opened.reached_server
            return opened
        context.servers_reached += 1
        if isinstance(opened, exchange.Unknown):
            return opened
        content_type = messages.find_header(
            opened.head.headers, b"content-type"
        )
        if opened.head.status != 200 or not (content_type or b"").startswith(
            _EVENT_STREAM
        ):
            takeover.cancel()
            return self._relay_whole(connection, context, place, opened)
        return self._relay_stream(
            connection, context, place, opened, progress, takeover
        )

    def _relay_whole(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        place: takeovers.Place,
        opened: exchange.OpenExchange,
    ) -> relay.Broken | str:
        response = plain_handler.read_whole(
            self._pool,
            opened,
            context.deadline,
            connection,
            is_whole=lambda: self._closed_answers.is_whole(
                place.server, sent_at=context.sent_at
            ),
        )
        if isinstance(response, relay.Broken):
            return response
        if connection.response_started and not response.sent:
            return relay.Broken(
                reason=f"server answered {response.head.status} to go on"
            )
        if response.head.status < 500:
            self._retry_policy.quarantine.note_answered(
                context, accepted=response.head.status < 300
            )
        relay.send_whole(connection, response)
        return f"answered_{response.head.status}"

    def _relay_stream(
        self,
        connection: http_server.CallerConnection,
        context: contexts.Context,
        place: takeovers.Place,
        opened: exchange.OpenExchange,
        progress: answer_progress.AnswerProgress,
        takeover: takeovers.Takeover,
    ) -> relay.Broken | str:
        reader = relay.EventReader(opened=opened, stream=progress.stream)
        ended = None
        event_timeout = self._answers.find_first_event_timeout(
            context, place.prefill_seconds
        )
        first = True
        blocked = connection.blocked_seconds
        connection.hold.set_stream(is_stream=True)
        try:
            while True:
                until = takeover.watch(
                    event_timeout, servers_reached=context.servers_reached
                )
                events = _read_events(reader, takeover, until)
                if not isinstance(events, bytes):
                    ended = events
                    break
                context.received_at = time.monotonic()
                self._sends.restarts.note_received(
                    place.server, opened_at=opened.connection.opened_at
                )
                self._answers.note_events(context, progress, events)
                self._note_events(context, progress)
                event_timeout = self._answers.find_silence_timeout(context)
                if first:
                    first = False
                    self._note_first(context, place)
                    self._streams.note_began(context, place.server)
                read_at = time.monotonic()
                if not connection.response_started:
                    connection.begin_stream(
                        status=opened.head.status,
                        headers=messages.drop_hop_by_hop(opened.head.headers),
                    )
                connection.send_chunk(events)
                progress.note_sent(time.monotonic() - read_at)
        finally:
            if not isinstance(ended, relay.StreamEnded):
                opened.connection.close()
        if isinstance(ended, relay.StreamEnded) and ended.by_close:
            ended = self._check_close(context, place.server) or ended
        if isinstance(ended, relay.Broken):
            return relay.note_blocked(
                ended, connection.blocked_seconds - blocked
            )
        self._retry_policy.quarantine.note_answered(context)
        self._pool.release(opened.connection)
        if not connection.response_started:
            connection.begin_stream(
                status=opened.head.status,
                headers=messages.drop_hop_by_hop(opened.head.headers),
            )
        connection.end_stream()
        return _STREAMED

    def _note_events(
        self,
        context: contexts.Context,
        progress: answer_progress.AnswerProgress,
    ) -> None:
        if not context.went_on and progress.events > 1:
            context.went_on = True
            self._retry_policy.quarantine.parts.note_answer(context)

    def _check_close(
        self, context: contexts.Context, server: backend_server.BackendServer
    ) -> relay.Broken | None:
        """Return the failure of a stream that ended as its server did."""
        if self._closed_answers.is_whole(server, sent_at=context.sent_at):
            return None
        return relay.Broken(reason="server ended with its stream")

    def _note_first(
        self, context: contexts.Context, place: takeovers.Place
    ) -> None:
        work = place.work
        self._placing.note_first_token(
            place.service, work.key, version=place.server.version
        )
        if context.first_event_at is None:
            context.first_event_at = time.monotonic()
            self._placing.tally.add(work.organisation, begun=work.cost)
        self._metrics.observe(
            "first_event_seconds",
            time.monotonic() - context.request.began_at,
            route=context.route.name,
        )


def _read_events(
    reader: relay.EventReader, takeover: takeovers.Takeover, until: float
) -> bytes | relay.StreamEnded | relay.Broken:
    """Return the next events of a stream, its end, or why it failed.

    A silent stream fails only at the deadline or once another server accepts
    the request.
    """
    while True:
        events = reader.read(until)
        if not isinstance(events, relay.Broken) or not events.timed_out:
            takeover.cancel()
            return events
        extended = takeover.extend()
        if extended is None:
            return events
        until = extended


def _find_output_tokens(caller_headers: request_headers.CallerHeaders) -> int:
    """Return the expected number of output tokens of a request."""
    expected = caller_headers.expected_tokens
    if not expected:
        expected = int(caller_headers.output_tokens * _EXPECTED_OUTPUT_SHARE)
    return min(expected, caller_headers.output_tokens or expected)


def _is_server_failure(result: retry_policies.FailedTry | str | None) -> bool:
    """Return whether the server caused the failure of a try."""
    if result is None or isinstance(result, str) or _is_caller_slow(result):
        return False
    return not isinstance(result, exchange.NotRun) or result.is_servers_fault


def _is_caller_slow(result: retry_policies.FailedTry) -> bool:
    """Return whether a response broke off since its caller did not read."""
    return isinstance(result, relay.Broken) and result.caller_slow
