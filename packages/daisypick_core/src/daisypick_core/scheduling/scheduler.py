"""Which request starts next, and at which engine of a service.

Two things make callers wait at a model service: the prefill of prompt tokens
ahead of their own, and a full batch. A request that an engine has admitted
cannot be taken back, so requests wait here, where they can still be reordered,
and an engine gets only as much as it can start in time.

*Placement* is described in ``placement``, *shares* in ``fair_share``.

*Order.* The organisation with the least usage in the window goes first; within
it the request whose objective ends first. Requests over a share wait for spare
capacity, which is thus divided evenly among the organisations that want it.
Before all others of it go requests that go on with an answer, of which their
callers have a part. A request that returns after one or two refusals and is
past the objective of its first try goes behind first tries of its organisation
that can meet theirs.

*Refusal* is described in ``admission``: a request that has not started by the
latest time at which its own prefill still fits into the objective is refused
with a retry delay, since a later start would miss it and delay others. The
delay is described in ``retry_delay``.
"""

from collections.abc import Iterable
from collections.abc import Set
import math
import random

from daisypick_core.scheduling import actions
from daisypick_core.scheduling import admission
from daisypick_core.scheduling import cold_limits
from daisypick_core.scheduling import completion
from daisypick_core.scheduling import engine_candidates
from daisypick_core.scheduling import engine_fleet
from daisypick_core.scheduling import fair_share
from daisypick_core.scheduling import fleet_report
from daisypick_core.scheduling import job
from daisypick_core.scheduling import organisation_tally
from daisypick_core.scheduling import placement
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import recent_keys
from daisypick_core.scheduling import recent_refusals
from daisypick_core.scheduling import refusal_reasons
from daisypick_core.scheduling import retry_delay
from daisypick_core.scheduling import server_state
from daisypick_core.scheduling import suspect_runs
from daisypick_core.scheduling import wait_queue

# Share of the objective for which a request may wait for the engine that has
# its prompt cached while others are available. It can still start elsewhere
# after that.
_CACHED_WAIT_SHARE = 0.25
# Number of waiting requests of an organisation, and of all, that are examined
# for a start, and the least interval between two dispatches, in seconds. Under
# overload a host that examines every waiting request at each event has time
# for nothing else, and callers wait until their deadlines.
_MAX_EXAMINED_PER_ORGANISATION = 3
_MAX_EXAMINED = 24
_DISPATCH_INTERVAL_SECONDS = 0.008
# Seconds for which routers need not submit requests of an organisation that has
# reached its queue limit: two or three of its requests start in this time.
_PAUSE_SECONDS = 0.04


class Scheduler:
    """Decisions for one service.

    Args:
        kv_tokens: KV cache of one engine, in tokens.
        copy_token_seconds: Seconds in which an engine copies a token of KV
            cache from another one; zero if it cannot.
        cold_rate: Requests per second that a cold engine can handle.
        window_seconds: Window over which capacity is shared fairly.
        rng: Randomness for sampling engines.
        speed: Latency model of the service's engines, shared by the
            schedulers of a process.
        suspicion: Which parts of prompts may crash engines.
    """

    def __init__(
        self,
        *,
        kv_tokens: int,
        copy_token_seconds: float = 0.0,
        cold_rate: float,
        window_seconds: float,
        rng: random.Random,
        speed: prefill_speed.ServiceSpeed,
        suspicion: suspect_runs.Suspicion = suspect_runs.NO_SUSPICION,
    ) -> None:
        self._copy_token_seconds = copy_token_seconds
        self._rng = rng
        self._speed = speed
        self.shares = fair_share.FairShare(window_seconds=window_seconds)
        self._counted_keys = recent_keys.RecentKeys(seconds=window_seconds)
        self.tally = organisation_tally.OrganisationTally()
        self._cold_limits = cold_limits.ColdLimits(rate=cold_rate)
        self._fleet = engine_fleet.EngineFleet(kv_tokens=kv_tokens, speed=speed)
        self._server_by_key: dict[str, str] = {}
        self._suspect_runs = suspect_runs.SuspectRuns(suspicion=suspicion)
        self._waiting = wait_queue.WaitQueue()
        self._admission = admission.Admission(
            waiting=self._waiting,
            shares=self.shares,
            fleet=self._fleet,
            speed=speed,
            rng=rng,
        )
        self._retry_delays = retry_delay.RetryDelays()
        self._recent_refusals = recent_refusals.RecentRefusals()
        self._dispatched_at = -math.inf

    def set_fleet(self, *, routers: Iterable[str], share: float) -> None:
        """Set the routers and the share of the capacity to use.

        A scheduler that decides for all routers uses all of it; a router that
        decides locally uses its own share.

        Args:
            routers: Names of all routers; none while they are not known.
            share: Share of every engine that may be used.
        """
        self._fleet.set_share(share)
        self._cold_limits.set_routers(routers)

    def set_servers(self, states: Iterable[server_state.ServerState]) -> None:
        """Set all servers that may get work."""
        self._fleet.replace_all(states)

    def put_server(self, state: server_state.ServerState) -> None:
        """Add or update a server that may get work."""
        self._fleet.put(state)

    def drop_server(self, name: str) -> None:
        """Remove a server, which gets no more work."""
        self._fleet.drop(name)

    def submit(self, work: job.Job, now: float) -> list[actions.Action]:
        """Accept a request; it starts, waits or is refused."""
        self._retry_delays.note_arrival(work.organisation, now)
        if not self._fleet:
            return [self._refuse(work, now, refusal_reasons.Reason.NO_SERVER)]
        if not self._may_ever_start(work):
            return [self._refuse(work, now, refusal_reasons.Reason.ALL_TRIED)]
        self.shares.add_demand(work.organisation, work.cost, now)
        self.tally.add(work.organisation, submitted=1, asked=work.cost)
        if completion.is_impossible(work, self._speed.decode, now):
            self.tally.add(work.organisation, impossible=1)
            return [self._refuse(work, now, refusal_reasons.Reason.CANNOT_END)]
        displaced = self._displace_infeasible(work, now)
        if self._admission.exceeds_queue_limit(work, now):
            self.tally.add(work.organisation, refused_beyond=1)
            return [
                self._refuse(
                    work,
                    now,
                    refusal_reasons.Reason.OVER_SHARE,
                    details=self._admission.describe_share(
                        work.organisation, now
                    ),
                    pause=_PAUSE_SECONDS,
                )
            ]
        if self._admission.is_full():
            return [self._refuse(work, now, refusal_reasons.Reason.QUEUE_FULL)]
        if not self._waiting:
            self._dispatched_at = -math.inf
        self._admission.add(work, self._recent_refusals.find(work))
        return displaced + self.dispatch(now)

    def _displace_infeasible(
        self, work: job.Job, now: float
    ) -> list[actions.Action]:
        late = self._admission.displace_infeasible(work, now)
        if late is None:
            return []
        self.tally.add(work.organisation, displaced=1)
        return [self._refuse(late, now, refusal_reasons.Reason.DISPLACED)]

    def _may_ever_start(self, work: job.Job) -> bool:
        return any(work.may_use(name) for name in self._fleet.state_by_server)

    def withdraw(self, key: str, now: float) -> list[actions.Action]:
        """Drop a waiting or running request whose caller disconnected."""
        work = self._waiting.find(key)
        if work is None:
            return self.note_end(key, now)
        self._waiting.remove(work)
        return []

    def note_first_token(
        self, key: str, now: float, *, learn: bool = True, late: bool = False
    ) -> list[actions.Action]:
        """Record the first token of a request.

        Args:
            key: The request.
            now: The time.
            learn: Whether it came just now.
            late: Whether it may have been observed late.
        """
        server = self._server_by_key.get(key)
        if server is None:
            return []
        self._fleet.outcomes.note_success(server)
        self._fleet.note_first_token(server, key, now, learn=learn, late=late)
        return self.dispatch(now)

    def note_pace(
        self,
        key: str,
        events: int,
        seconds: float,
        longest: float,
        now: float,
    ) -> None:
        """Learn from the events of an answer; call before ``note_end``.

        A scheduler that decides for one router learns nothing from it: it does
        not know what else runs at an engine.

        Args:
            key: The request.
            events: Its events after the first.
            seconds: Time from the first to the last of them.
            longest: The longest time between two of them.
            now: The time.
        """
        server = self._server_by_key.get(key)
        if server is not None and events > 0 and self._fleet.share >= 1.0:
            self._fleet.note_pace(
                server,
                key,
                events=events,
                seconds=seconds,
                longest=longest,
                now=now,
            )

    def note_end(self, key: str, now: float) -> list[actions.Action]:
        """Record that a request ended at its server."""
        server = self._server_by_key.pop(key, None)
        if server is None:
            return []
        self._end(server, key, now)
        return self.dispatch(now)

    def _end(self, server: str, key: str, now: float) -> None:
        self._fleet.end(server, key, now)
        self._suspect_runs.note_end(key)

    def note_failure(
        self, key: str, now: float, *, certain: bool
    ) -> list[actions.Action]:
        """Record a failure at a server; ``certain`` if the server is down."""
        server = self._server_by_key.get(key)
        if server is not None:
            self._fleet.outcomes.note_failure(server, now, certain=certain)
        return self.note_end(key, now)

    def note_started_elsewhere(
        self,
        work: job.Job,
        server: str,
        now: float,
        *,
        ahead: float | None = None,
        copied: int = 0,
        is_new: bool = False,
    ) -> None:
        """Record a request that a router started by its own decision.

        Args:
            work: The request.
            server: Where it runs.
            now: The time.
            ahead: Prompt tokens that the server had to prefill before, if
                known to the router and if it was started just now.
            copied: Prompt tokens that it copies from another server.
            is_new: Whether it was started just now, and this is the only
                report of it. Other reports may be repeated.
        """
        if work.key in self._server_by_key:
            return
        token_seconds = self._fleet.find(server).speed.token_seconds
        saved = copied * (1.0 - self._copy_token_seconds / token_seconds)
        is_known = self._record_start(
            work, server, now, ahead=ahead, saved=max(saved, 0.0)
        )
        if is_known and (is_new or self._is_first_report(work, now)):
            self._count_start(work, server, now)

    def tick(self, now: float) -> list[actions.Action]:
        """Refuse requests that waited too long; start what is possible."""
        refused = self._refuse_quarantined(now)
        for work in self._waiting.find_expired(now):
            self._waiting.remove(work)
            self.tally.add(work.organisation, waited_out=1)
            refused.append(
                self._refuse(work, now, refusal_reasons.Reason.WAITED_OUT)
            )
        self._dispatched_at = -math.inf
        return refused + self.dispatch(now)

    def _refuse_quarantined(self, now: float) -> list[actions.Action]:
        refused: list[actions.Action] = []
        for work in self._suspect_runs.find_refused(self._waiting.find_all()):
            self._waiting.remove(work)
            refused.append(
                self._refuse(work, now, refusal_reasons.Reason.QUARANTINED)
            )
        return refused

    def reconcile(
        self,
        router: str,
        *,
        running: Set[str],
        prefilling: Set[str],
        now: float,
    ) -> list[actions.Action]:
        """Update which of a router's requests run or are still in prefill.

        What the router reported while its connection was down is lost. Without
        this update the slots and prefill tokens of requests that have ended
        keep engines unavailable until the deadlines of these requests, with
        batches half empty.
        """
        for server, key in self._fleet.find_running(router):
            if key not in running:
                self._end(server, key, now)
                self._server_by_key.pop(key, None)
            elif key not in prefilling:
                self._fleet.note_first_token(server, key, now, learn=False)
        return self.dispatch(now)

    def expire(self, now: float) -> list[actions.Action]:
        """Drop running requests that are past their deadline.

        The router that would have reported their end is gone, or its report
        was lost. Without this their slots would never be released.
        """
        for server, key in self._fleet.find_overdue(now):
            self._end(server, key, now)
            self._server_by_key.pop(key, None)
        self._cold_limits.expire(now)
        return self.dispatch(now)

    def describe(self, now: float) -> list[dict[str, object]]:
        """Return a row for each of the fullest engines, for logs."""
        return fleet_report.describe_engines(self._fleet, now)

    def describe_fleet(self) -> dict[str, int]:
        """Return sums over all engines, for logs."""
        return fleet_report.describe_sums(self._fleet)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def count_waiting(self, organisation: str) -> int:
        """Return the number of waiting requests of an organisation."""
        return self._waiting.count(organisation)

    def dispatch(self, now: float) -> list[actions.Action]:
        """Start what can start, the organisation with least usage first."""
        started: list[actions.Action] = []
        if (
            not self.waiting
            or now - self._dispatched_at < _DISPATCH_INTERVAL_SECONDS
        ):
            return started
        self._dispatched_at = now
        candidates = engine_candidates.EngineCandidates(
            fleet=self._fleet, now=now
        )
        candidates.add(self._fleet.find_candidates(self._rng))
        while candidates.backlog_by_server:
            start = self._start_next(candidates, now)
            if start is None:
                break
            started.append(start)
        return started

    def _start_next(
        self, candidates: engine_candidates.EngineCandidates, now: float
    ) -> actions.Start | None:
        order = sorted(
            self._waiting.find_waiting_organisations(),
            key=lambda organisation: self.shares.find_usage(organisation, now),
        )
        spare = candidates.is_spare()
        start_at = now + candidates.find_min_wait()
        may_start = (
            None
            if self._suspect_runs.is_empty
            else self._suspect_runs.may_start
        )
        examined = 0
        for organisation in order:
            for work in self._waiting.peek(
                organisation,
                _MAX_EXAMINED_PER_ORGANISATION,
                start_at=start_at,
                may_start=may_start,
            ):
                within = self.shares.is_within(organisation, work.cost, now)
                if not within and not spare:
                    continue
                examined += 1
                if examined > _MAX_EXAMINED:
                    return None
                chosen = self._place(work, candidates, now)
                if chosen is not None:
                    self._waiting.remove(work)
                    return self._start(work, chosen, candidates, now)
        return None

    def _place(
        self,
        work: job.Job,
        candidates: engine_candidates.EngineCandidates,
        now: float,
    ) -> placement.Placement | None:
        candidates.add(self._fleet.find_holders(work.parts))
        candidates.add(work.only)
        return placement.choose(
            work,
            engine_by_server=candidates.engine_by_server,
            backlog_by_server=candidates.backlog_by_server,
            busy=candidates.busy,
            data_centre_by_server=self._fleet.data_centre_by_server,
            can_handle=lambda server: (
                self.can_handle(work.router, server, now)
                and self._may_join(work, server)
            ),
            share=self._fleet.share,
            may_wait=not work.goes_on
            and work.find_waited_share(now) < _CACHED_WAIT_SHARE,
            now=now,
            copy_token_seconds=self._copy_token_seconds,
        )

    def _may_join(self, work: job.Job, server: str) -> bool:
        """Return whether a crash of a server would not have two suspects."""
        if not work.isolated and not self._suspect_runs.is_suspect(work):
            return True
        return not (
            self._fleet.find(server).has_isolated()
            or self._suspect_runs.has_suspect(server)
        )

    def can_handle(self, router: str, server: str, now: float) -> bool:
        """Return whether a server can handle one more of a router, if cold."""
        state = self._fleet.state_by_server.get(server)
        if state is None or state.cold_until <= now:
            return True
        return self._cold_limits.can_handle(router, server, now)

    def note_sent(self, router: str, server: str, now: float) -> None:
        """Record a request of a router, in case the server is or turns cold."""
        self._cold_limits.note_sent(router, server, now)

    def _start(
        self,
        work: job.Job,
        chosen: placement.Placement,
        candidates: engine_candidates.EngineCandidates,
        now: float,
    ) -> actions.Start:
        server = chosen.server
        # Assumes that all routers load their shares like this one.
        ahead = (
            self._fleet.find(server).prefill_backlog(now) / self._fleet.share
        )
        self._record_start(work, server, now, ahead=ahead, saved=chosen.saved)
        self._count_start(work, server, now)
        self.tally.add(work.organisation, started=1, begun=work.cost)
        self._retry_delays.note_start(work.organisation, now)
        candidates.note_start(server)
        return actions.Start(
            key=work.key,
            server=server,
            cached=chosen.cached,
            ahead=int(chosen.ahead),
            max_cached=chosen.max_cached,
            source=chosen.source,
            copied=chosen.copied,
        )

    def _record_start(
        self,
        work: job.Job,
        server: str,
        now: float,
        *,
        ahead: float | None,
        saved: float,
    ) -> bool:
        """Record a start; return whether its server is known."""
        if not self._fleet.start(work, server, now, ahead=ahead, saved=saved):
            return False
        self._server_by_key[work.key] = server
        self._suspect_runs.note_start(work, server)
        return True

    def _count_start(self, work: job.Job, server: str, now: float) -> None:
        """Count a start towards its share and the cold limits."""
        self._counted_keys.add(work.key, now)
        self.note_sent(work.router, server, now)
        self.shares.add_usage(work.organisation, work.cost, now)

    def _is_first_report(self, work: job.Job, now: float) -> bool:
        """Return whether a start is reported for the first time.

        A router that reconnects reports its recent starts, most of them for
        the second time. Counted again, some seconds' worth of starts would be
        added at once, and their organisation would get nothing until they
        have left the window. Keys are forgotten after that window, so older
        requests are taken for known ones.
        """
        is_new = self._counted_keys.add(work.key, now)
        return is_new and now - work.arrived_at < self._counted_keys.seconds

    def _refuse(
        self,
        work: job.Job,
        now: float,
        reason: refusal_reasons.Reason,
        *,
        details: str = "",
        pause: float = 0.0,
    ) -> actions.Refuse:
        self._recent_refusals.note(work, now)
        scope = self._find_refusal_scope(work, now)
        waiting = (
            self._waiting.count(work.organisation)
            if scope is retry_delay.Scope.ORGANISATION
            else len(self._waiting)
        )
        return actions.Refuse(
            key=work.key,
            retry_after=self._retry_delays.choose(
                work.organisation,
                scope=scope,
                waiting=waiting,
                seconds_left=work.deadline_at - now,
                now=now,
            ),
            reason=f"{reason.text}: {details}" if details else reason.text,
            pause=pause,
        )

    def _find_refusal_scope(
        self, work: job.Job, now: float
    ) -> retry_delay.Scope:
        if not self._may_ever_start(work):
            return retry_delay.Scope.NO_SERVER
        if self.shares.is_within(work.organisation, work.cost, now):
            return retry_delay.Scope.SERVICE
        return retry_delay.Scope.ORGANISATION
