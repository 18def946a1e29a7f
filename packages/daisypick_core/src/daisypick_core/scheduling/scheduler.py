"""Which request starts next, and at which engine of a service.

Two things make callers wait at a model service: prompt tokens ahead of their
own, and a full batch. A request that an engine has admitted cannot be taken
back, so requests wait here, where the order can still change, and an engine
gets only as much as it can begin in time.

*Placing* is told in ``placement``, *shares* in ``fair_share``.

*Order.* The organisation that has begun least in the last seconds goes first;
within it the request whose objective ends first. What is beyond a share waits
for capacity that is spare, which so goes evenly to those who want it.

*Refusing* is told in ``admission``: a request that has not started when its own
prompt just leaves time for it is refused with a time to come back, since what
starts later would be late and delay others.
"""

from collections.abc import Iterable
from collections.abc import Set
import math
import random

from daisypick_core.scheduling import actions
from daisypick_core.scheduling import admission
from daisypick_core.scheduling import cold_limits
from daisypick_core.scheduling import engine_candidates
from daisypick_core.scheduling import engine_fleet
from daisypick_core.scheduling import fair_share
from daisypick_core.scheduling import fleet_report
from daisypick_core.scheduling import job
from daisypick_core.scheduling import organisation_tally
from daisypick_core.scheduling import placement
from daisypick_core.scheduling import reading_speed
from daisypick_core.scheduling import recent_keys
from daisypick_core.scheduling import server_state
from daisypick_core.scheduling import wait_queue

# Part of the objective in which a request may wait for the engine that keeps
# its prompt while others are open. It may then still start elsewhere.
_CACHED_WAIT_SHARE = 0.25
# Requests of an organisation, and of all, that are looked at when something
# may start, and the least time from one look to the next, in seconds. A host
# that looked at every waiting request at each event was busy with nothing
# else under a flood, and callers waited to their deadlines.
_MAX_EXAMINED_PER_ORGANISATION = 3
_MAX_EXAMINED = 24
_DISPATCH_INTERVAL_SECONDS = 0.008
# How long routers need not ask for an organisation of which so many wait:
# two or three of them start in this time.
_PAUSE_SECONDS = 0.04
# Callers come back at random within this range of seconds, so that those
# refused together do not return together.
RETRY_AFTER = (0.4, 1.4)


class Scheduler:
    """Decisions for one service.

    Args:
        kv_tokens: KV cache of one engine.
        copy_token_seconds: Seconds in which an engine copies a token of KV
            cache from another one; zero if it cannot.
        cold_rate: Requests a second that a cold engine bears.
        window_seconds: Over which capacity is shared fairly.
        rng: Randomness for times to come back.
        speed: What is known of the service's engines, shared by the
            schedulers of a process.
    """

    def __init__(
        self,
        *,
        kv_tokens: int,
        copy_token_seconds: float = 0.0,
        cold_rate: float,
        window_seconds: float,
        rng: random.Random,
        speed: reading_speed.ServiceSpeed,
    ) -> None:
        self._copy_token_seconds = copy_token_seconds
        self._rng = rng
        self.shares = fair_share.FairShare(window_seconds=window_seconds)
        self._counted_keys = recent_keys.RecentKeys(seconds=window_seconds)
        self.tally = organisation_tally.OrganisationTally()
        self._cold_limits = cold_limits.ColdLimits(rate=cold_rate)
        self._fleet = engine_fleet.EngineFleet(kv_tokens=kv_tokens, speed=speed)
        self._server_by_key: dict[str, str] = {}
        self._waiting = wait_queue.WaitQueue()
        self._admission = admission.Admission(
            waiting=self._waiting,
            shares=self.shares,
            fleet=self._fleet,
            speed=speed,
            rng=rng,
        )
        self._dispatched_at = -math.inf

    def set_fleet(self, *, routers: Iterable[str], share: float) -> None:
        """Take the routers and the part of the capacity to use.

        A scheduler that decides for all routers uses all of it; a router that
        decides alone its part.

        Args:
            routers: Names of all routers; none while they are not known.
            share: Part of every engine that may be used.
        """
        self._fleet.set_share(share)
        self._cold_limits.set_routers(routers)

    def set_servers(self, states: Iterable[server_state.ServerState]) -> None:
        """Take all servers that may get work."""
        self._fleet.replace_all(states)

    def put_server(self, state: server_state.ServerState) -> None:
        """Take a server that may get work, or a change of it."""
        self._fleet.put(state)

    def drop_server(self, name: str) -> None:
        """Take note that a server gets no more work."""
        self._fleet.drop(name)

    def submit(self, work: job.Job, now: float) -> list[actions.Action]:
        """Take a request; it starts, waits or is refused."""
        if not self._fleet:
            return [self._refuse(work, "no backend server takes work")]
        if not self._may_ever_start(work):
            return [self._refuse(work, "all backend servers were tried")]
        self.shares.add_demand(work.organisation, work.cost, now)
        self.tally.add(work.organisation, submitted=1, asked=work.cost)
        displaced = self._displace_infeasible(work, now)
        if self._admission.exceeds_queue_limit(work, now):
            self.tally.add(work.organisation, refused_beyond=1)
            reason = self._admission.describe_share(work.organisation, now)
            return [self._refuse(work, reason, pause=_PAUSE_SECONDS)]
        if self._admission.is_full():
            return [self._refuse(work, "too many requests wait")]
        if not self._waiting:
            self._dispatched_at = -math.inf
        self._admission.add(work)
        return displaced + self.dispatch(now)

    def _displace_infeasible(
        self, work: job.Job, now: float
    ) -> list[actions.Action]:
        late = self._admission.displace_infeasible(work, now)
        if late is None:
            return []
        self.tally.add(work.organisation, displaced=1)
        return [self._refuse(late, "no engine can begin it in time")]

    def _may_ever_start(self, work: job.Job) -> bool:
        return any(
            name not in work.avoid for name in self._fleet.state_by_server
        )

    def withdraw(self, key: str, now: float) -> list[actions.Action]:
        """The caller of a waiting or running request left."""
        work = self._waiting.find(key)
        if work is None:
            return self.note_end(key, now)
        self._waiting.remove(work)
        return []

    def note_first_token(
        self, key: str, now: float, *, learn: bool = True, late: bool = False
    ) -> list[actions.Action]:
        """A request's first token came.

        Args:
            key: The request.
            now: The time.
            learn: Whether it came just now.
            late: Whether it may have been seen late.
        """
        server = self._server_by_key.get(key)
        if server is None:
            return []
        self._fleet.outcomes.note_success(server)
        self._fleet.note_first_token(server, key, now, learn=learn, late=late)
        return self.dispatch(now)

    def note_end(self, key: str, now: float) -> list[actions.Action]:
        """A request ended at its server."""
        server = self._server_by_key.pop(key, None)
        if server is None:
            return []
        self._fleet.end(server, key, now)
        return self.dispatch(now)

    def note_failure(
        self, key: str, now: float, *, certain: bool
    ) -> list[actions.Action]:
        """A request failed at its server; ``certain`` if that is down."""
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
    ) -> None:
        """A router started a request without asking us.

        Args:
            work: The request.
            server: Where it runs.
            now: The time.
            ahead: Prompt tokens that the server had to read before, where
                whoever started it knew and it was started just now.
            copied: Prompt tokens that it copies from another one.
        """
        if work.key in self._server_by_key:
            return
        token_seconds = self._fleet.find(server).speed.token_seconds
        saved = copied * (1.0 - self._copy_token_seconds / token_seconds)
        self._record_start(
            work, server, now, ahead=ahead, saved=max(saved, 0.0)
        )

    def tick(self, now: float) -> list[actions.Action]:
        """Refuse what waits too long; start what has become possible."""
        refused: list[actions.Action] = []
        for work in self._waiting.find_expired(now):
            self._waiting.remove(work)
            self.tally.add(work.organisation, waited_out=1)
            refused.append(self._refuse(work, "no engine has room in time"))
        self._dispatched_at = -math.inf
        return refused + self.dispatch(now)

    def reconcile(
        self,
        router: str,
        *,
        running: Set[str],
        reading: Set[str],
        now: float,
    ) -> list[actions.Action]:
        """Take which of a router's requests run, and which are still read.

        What it told while its connection was down is lost. Without this
        their places and unread tokens keep engines closed until their
        deadlines, with batches half empty.
        """
        for server, key in self._fleet.find_running(router):
            if key not in running:
                self._fleet.end(server, key, now)
                self._server_by_key.pop(key, None)
            elif key not in reading:
                self._fleet.note_first_token(server, key, now, learn=False)
        return self.dispatch(now)

    def expire(self, now: float) -> list[actions.Action]:
        """Forget running requests whose callers must have given up.

        The router that would have told us of their end is gone, or its word
        was lost. Without this their places would be taken for good.
        """
        for server, key in self._fleet.find_overdue(now):
            self._fleet.end(server, key, now)
            self._server_by_key.pop(key, None)
        self._cold_limits.expire(now)
        return self.dispatch(now)

    def describe(self, now: float) -> list[dict[str, object]]:
        """Return a line for each of the fullest engines, for logs."""
        return fleet_report.describe_engines(self._fleet, now)

    def describe_fleet(self) -> dict[str, int]:
        """Return sums over all engines, for logs."""
        return fleet_report.describe_sums(self._fleet)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    def count_waiting(self, organisation: str) -> int:
        """Return how many requests of an organisation wait."""
        return self._waiting.count(organisation)

    def dispatch(self, now: float) -> list[actions.Action]:
        """Start what can start, the least served organisation first."""
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
        examined = 0
        for organisation in order:
            for work in self._waiting.peek(
                organisation, _MAX_EXAMINED_PER_ORGANISATION, start_at=start_at
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
        return placement.choose(
            work,
            engine_by_server=candidates.engine_by_server,
            backlog_by_server=candidates.backlog_by_server,
            busy=candidates.busy,
            data_centre_by_server=self._fleet.data_centre_by_server,
            can_handle=lambda server: self.bears(work.router, server, now),
            share=self._fleet.share,
            may_wait=work.find_waited_share(now) < _CACHED_WAIT_SHARE,
            now=now,
            copy_token_seconds=self._copy_token_seconds,
        )

    def bears(self, router: str, server: str, now: float) -> bool:
        """Tell whether a server, if it is cold, bears one more of a router."""
        state = self._fleet.state_by_server.get(server)
        if state is None or state.cold_until <= now:
            return True
        return self._cold_limits.can_handle(router, server, now)

    def note_sent(self, router: str, server: str, now: float) -> None:
        """Count a request of a router, in case the server is or turns cold."""
        self._cold_limits.note_sent(router, server, now)

    def _start(
        self,
        work: job.Job,
        chosen: placement.Placement,
        candidates: engine_candidates.EngineCandidates,
        now: float,
    ) -> actions.Start:
        server = chosen.server
        # All routers are taken to do with their shares as we do with ours.
        ahead = (
            self._fleet.find(server).prefill_backlog(now) / self._fleet.share
        )
        self._record_start(work, server, now, ahead=ahead, saved=chosen.saved)
        self.tally.add(work.organisation, started=1, begun=work.cost)
        candidates.note_start(server)
        return actions.Start(
            key=work.key,
            server=server,
            kept=chosen.cached,
            ahead=int(chosen.ahead),
            elsewhere=chosen.max_cached,
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
    ) -> None:
        if not self._fleet.start(work, server, now, ahead=ahead, saved=saved):
            return
        self._server_by_key[work.key] = server
        if self._is_counted(work, now):
            self.note_sent(work.router, server, now)
            self.shares.add_usage(work.organisation, work.cost, now)

    def _is_counted(self, work: job.Job, now: float) -> bool:
        """Tell whether a start counts now, against its share and elsewhere.

        A router that connects again tells what it started lately, most of it
        for the second time. Counted again, that is some seconds' worth of
        starts at once, and its organisation gets nothing until they have
        left the window.
        """
        is_new = self._counted_keys.add(work.key, now)
        return is_new and now - work.arrived_at < self._counted_keys.seconds

    def _refuse(
        self, work: job.Job, reason: str, *, pause: float = 0.0
    ) -> actions.Refuse:
        return actions.Refuse(
            key=work.key,
            retry_after=self._rng.uniform(*RETRY_AFTER),
            reason=reason,
            pause=pause,
        )
