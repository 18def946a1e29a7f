"""Requests placements of model requests from the service's scheduler host.

Every model service has one scheduler, hosted by one of the routers. It sees
all requests of the service, so it can share capacity fairly between
organisations, place requests by the KV cache of each engine and limit the load
of each engine. If the host does not answer for a quarter of a second, or there
is no connection to it, a router falls back to a local scheduler with its own
small share of every engine's capacity.
"""

import collections
import random
import time
import typing

import gevent
from gevent import event

from daisypick_core.scheduling import actions
from daisypick_core.scheduling import admission
from daisypick_core.scheduling import job
from daisypick_core.scheduling import organisation_tally
from daisypick_core.scheduling import pauses
from daisypick_core.scheduling import refusal_reasons
from daisypick_core.scheduling import retry_delay
from daisypick_core.serving import fleet_configuration
from daisypick_router import answer_progress
from daisypick_router import engine_schedulers
from daisypick_router import host_links
from daisypick_router import load_watch
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import membership as memberships
from daisypick_router import metrics as metric_numbers
from daisypick_router import peer_link
from daisypick_router import peer_messages
from daisypick_router import quarantine as quarantines
from daisypick_router import rollouts as rollout_records
from daisypick_router import store_feed
from daisypick_router import stream_registry

_REPORT_SECONDS = 1.0
# Organisations per log line, those with the highest demand first. An
# organisation that causes a load spike is among them.
_REPORTED_ORGANISATIONS = 16
# Recent placements per service that are sent to a new host, so that it knows
# what engines have in their KV caches. After about this many requests of one
# router an engine's cache has been replaced.
_MAX_RECENT_PLACEMENTS = 400


class _Placement(typing.NamedTuple):
    """A started request, kept to be sent to a new host."""

    work: job.Job
    server: str


class Placing:
    """Requests placements and reports how the placed requests progress."""

    def __init__(
        self,
        *,
        name: str,
        cores: float,
        membership: memberships.Membership,
        hosted: engine_schedulers.EngineSchedulers,
        feed: store_feed.StoreFeed,
        fallback: engine_schedulers.EngineSchedulers,
        quarantine: quarantines.Quarantine,
        rollouts: rollout_records.Rollouts,
        registry: stream_registry.StreamRegistry,
        load: load_watch.LoadWatch,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._hosted = hosted
        self.links = host_links.HostLinks(
            name=name,
            cores=cores,
            membership=membership,
            feed=feed,
            quarantine=quarantine,
            rollouts=rollouts,
            log=log,
            rng=rng,
            on_connect=self._handle_connect,
            on_origin=registry.receive_reply,
        )
        self._registry = registry
        self.fallback = fallback
        self._load = load
        self._log = log
        self._metrics = metrics
        # Demand and service of this router's callers, by organisation.
        self.tally = organisation_tally.OrganisationTally()
        self._host_by_service: dict[str, str] = {}
        self._placements_by_service: dict[
            str, collections.deque[_Placement]
        ] = {}
        self._prefilling: set[str] = set()
        # Those of them whose start was received while the loop lagged.
        self._started_during_lag: set[str] = set()
        self._running: set[str] = set()
        self._pauses_by_service: dict[str, pauses.Pauses] = (
            collections.defaultdict(pauses.Pauses)
        )
        self._delays_by_service: dict[str, retry_delay.GivenDelays] = (
            collections.defaultdict(retry_delay.GivenDelays)
        )
        # Requests of each organisation that wait for a placement decision.
        self._pending_by_service: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )

    def start(self) -> None:
        """Start connecting to the hosts and reporting."""
        self.links.start()
        self._registry.start(self.links)
        loops.spawn(self._report)

    def _report(self) -> None:
        """Log the schedulers' state and the service that callers received."""
        while True:
            gevent.sleep(_REPORT_SECONDS)
            for service in list(self._host_by_service):
                if not self._hosted.has_scheduler(service):
                    self._forget(service)
            for service, host in self._host_by_service.items():
                # Drain the tallies of all schedulers: those that are not
                # logged would otherwise grow with every organisation that
                # ever sent a request.
                self.fallback.take_tally(service, 0)
                decisions = self._hosted.take_tally(
                    service, _REPORTED_ORGANISATIONS
                )
                if host == self._name:
                    self._report_service(service, decisions)
            self._log.write(
                "shares",
                "Work by organisation.",
                organisations=self.tally.take(
                    _REPORTED_ORGANISATIONS, by="asked"
                ),
            )

    def _forget(self, service: str) -> None:
        """Forget a version of a service that has no server any more."""
        self._host_by_service.pop(service, None)
        self._placements_by_service.pop(service, None)
        self._pauses_by_service.pop(service, None)
        self._delays_by_service.pop(service, None)

    def _report_service(self, service: str, decisions: list[dict]) -> None:
        self._log.write(
            "placing",
            "State of a service.",
            service=service,
            **self._hosted.describe(service),
        )
        self._log.write(
            "shares",
            "Decisions by organisation.",
            service=service,
            organisations=decisions,
        )

    def find_host(self, service: str, pool: str = "") -> str | None:
        """Return the first reachable candidate host, or ``None``.

        Args:
            service: Name of the service.
            pool: Name of its servers of one version, whose scheduler has the
                same host; empty for all servers.
        """
        name = self.links.find_host(service)
        self._set_host(pool or service, name or "")
        return name

    def _set_host(self, service: str, name: str) -> None:
        if self._host_by_service.get(service) == name:
            return
        self._host_by_service[service] = name
        link = self.links.find_link(name)
        if name == self._name:
            self._load_own_scheduler(service)
        elif link is not None:
            self._send_placements(link)
        self._log.write(
            "placing",
            "Scheduler host changed."
            if name
            else "No scheduler host; placing locally.",
            service=service,
            host=name,
        )

    def acquire(
        self, service: fleet_configuration.Service, work: job.Job
    ) -> actions.Action:
        """Wait until a request may start or is refused."""
        refused = self.refuse_locally(
            service,
            work.organisation,
            work.key,
            work.arrived_at,
            deadline_at=work.deadline_at,
        )
        if refused is not None:
            return refused
        pending = self._pending_by_service[service.pool]
        pending[work.organisation] += 1
        try:
            action = self._decide(service, work)
        finally:
            pending[work.organisation] -= 1
            if not pending[work.organisation]:
                del pending[work.organisation]
        if isinstance(action, actions.Refuse):
            self._delays_by_service[service.pool].note(
                work.organisation, action.retry_after
            )
        if isinstance(action, actions.Refuse) and action.pause > 0.0:
            self._pauses_by_service[service.pool].set(
                work.organisation, seconds=action.pause, now=time.monotonic()
            )
        return action

    def refuse_locally(
        self,
        service: fleet_configuration.Service,
        organisation: str,
        key: str,
        now: float,
        *,
        deadline_at: float,
    ) -> actions.Refuse | None:
        """Refuse a request without asking the host, if the host would too.

        This applies to organisations whose requests were refused recently.
        It costs a fraction of handling the request, so it is called first.
        """
        service_pauses = self._pauses_by_service[service.pool]
        if not service_pauses.was_paused(organisation, now):
            return None
        pending = self._pending_by_service[service.pool][organisation]
        if service_pauses.is_paused(organisation, now):
            reason = refusal_reasons.Reason.PAUSED
        elif pending >= admission.MAX_WAITING_OVER_SHARE:
            reason = refusal_reasons.Reason.TOO_MANY_ASK
        else:
            return None
        self._metrics.count("refused_unasked_total", service=service.name)
        return actions.Refuse(
            key=key,
            retry_after=self._delays_by_service[service.pool].choose(
                organisation, seconds_left=deadline_at - now
            ),
            reason=reason.text,
        )

    def _decide(
        self, service: fleet_configuration.Service, work: job.Job
    ) -> actions.Action:
        host = self.find_host(service.name, service.pool)
        action: actions.Action | None = None
        if host == self._name:
            action = self._hosted.acquire(service, work)
        elif host is not None:
            action = self._submit_to_host(
                service, work, self.links.find_link(host)
            )
        if isinstance(action, actions.Start) and not self.fallback.can_handle(
            service, work.router, action.server
        ):
            action, work = None, self._decline_start(service, work, action)
        if action is None:
            self._metrics.count("placed_alone_total", service=service.name)
            action = self.fallback.acquire(service, work)
            if isinstance(action, actions.Start):
                self._report_start(service, work, action.server)
        elif isinstance(action, actions.Start):
            if self._host_by_service.get(service.pool) != host:
                # The host changed while the request was waiting; the new
                # one does not know of this start.
                self._report_start(service, work, action.server)
            self.fallback.note_started_elsewhere(
                service,
                work,
                action.server,
                ahead=action.ahead,
                copied=action.copied,
            )
        if isinstance(action, actions.Start):
            self._record_start(service, work, action.server)
            self._log.write(
                "placing",
                "Start.",
                id=work.key,
                host=host,
                server=action.server,
                organisation=work.organisation,
                prompt=work.prompt_tokens,
                output=work.output_tokens,
                kept=action.cached,
                elsewhere=action.max_cached,
                ahead=action.ahead,
                source=action.source,
                copied=action.copied,
                waited=round(time.monotonic() - work.arrived_at, 4),
            )
        return action

    def _decline_start(
        self,
        service: fleet_configuration.Service,
        work: job.Job,
        start: actions.Start,
    ) -> job.Job:
        """Decline a start at a cold server; return the job excluding it.

        A host that is new, or one of two, does not know of all requests that
        this router sent to the server. Each router therefore enforces its own
        share of a cold server's rate.
        """
        self._hosted.note_end(service, work.key)
        self._notify_hosts(
            service, peer_messages.End(service=service.pool, key=work.key)
        )
        self._log.write(
            "placing",
            "Declined a placement at a cold server.",
            id=work.key,
            server=start.server,
        )
        return work._replace(avoid=work.avoid | {start.server})

    def _submit_to_host(
        self,
        service: fleet_configuration.Service,
        work: job.Job,
        link: peer_link.PeerLink,
    ) -> actions.Action | None:
        result = event.AsyncResult()
        wire = peer_messages.write_job(work, time.monotonic())
        for note in peer_messages.write_notes(work):
            link.send(note)
        link.submit(
            peer_messages.Submit(service=service.pool, work=wire), result.set
        )
        try:
            answer = result.get()
        except gevent.GreenletExit:
            link.forget(work.key)
            link.send(
                peer_messages.Withdraw(service=service.pool, key=work.key)
            )
            raise
        if isinstance(answer, peer_messages.Start):
            return actions.Start(*answer)
        if isinstance(answer, peer_messages.Refuse):
            return actions.Refuse(
                key=work.key,
                retry_after=answer.retry_after,
                reason=answer.reason,
                pause=answer.pause,
            )
        return None

    def _record_start(
        self, service: fleet_configuration.Service, work: job.Job, server: str
    ) -> None:
        placement = self._placements_by_service.get(service.pool)
        if placement is None:
            placement = collections.deque(maxlen=_MAX_RECENT_PLACEMENTS)
            self._placements_by_service[service.pool] = placement
        placement.append(_Placement(work=work, server=server))
        self._prefilling.add(work.key)
        if self._load.is_late():
            self._started_during_lag.add(work.key)
        self._running.add(work.key)

    def predict_prefill(
        self, service: fleet_configuration.Service, tokens: int
    ) -> float:
        """Return the seconds to a first token with ``tokens`` to prefill."""
        return self.fallback.predict_prefill(service, tokens)

    def note_first_token(
        self, service: fleet_configuration.Service, key: str, *, version: str
    ) -> None:
        """Record a request's first token.

        Args:
            service: Its service and the version that it asked for.
            key: The request.
            version: Version of its server.
        """
        self._prefilling.discard(key)
        self._log.write("placing", "First event.", id=key, version=version)
        late = self._load.is_late() or key in self._started_during_lag
        self._started_during_lag.discard(key)
        self.fallback.note_first_token(service, key, late=late)
        self._hosted.note_first_token(service, key, late=late)
        self._notify_hosts(
            service,
            peer_messages.FirstToken(service=service.pool, key=key, late=late),
        )

    def note_pace(
        self,
        service: fleet_configuration.Service,
        key: str,
        pace: answer_progress.Pace,
    ) -> None:
        """Record how fast the events of a request came, before its end."""
        self.fallback.note_pace(service, key, pace)
        self._hosted.note_pace(service, key, pace)
        self._notify_hosts(
            service,
            peer_messages.Pace(
                service=service.pool,
                key=key,
                events=pace.events,
                seconds=round(pace.seconds, 4),
                longest=round(pace.longest, 4),
            ),
        )

    def note_end(self, service: fleet_configuration.Service, key: str) -> None:
        """Record that a request ended or that its caller disconnected."""
        self._prefilling.discard(key)
        self._started_during_lag.discard(key)
        self._running.discard(key)
        self.fallback.note_end(service, key)
        self._hosted.note_end(service, key)
        self._notify_hosts(
            service, peer_messages.End(service=service.pool, key=key)
        )

    def note_failure(
        self,
        service: fleet_configuration.Service,
        key: str,
        *,
        certain: bool,
    ) -> None:
        """Record that a request failed at its server."""
        self._prefilling.discard(key)
        self._started_during_lag.discard(key)
        self._running.discard(key)
        self.fallback.note_failure(service, key, certain=certain)
        self._hosted.note_failure(service, key, certain=certain)
        self._notify_hosts(
            service,
            peer_messages.Failed(
                service=service.pool, key=key, certain=certain
            ),
        )

    def _notify_hosts(
        self, service: fleet_configuration.Service, message: typing.Any
    ) -> None:
        for name in self._find_informed_hosts(service):
            link = self.links.find_link(name)
            if link is not None:
                link.send(message)

    def _find_informed_hosts(
        self, service: fleet_configuration.Service
    ) -> list[str]:
        """Return the candidate hosts that know this router's requests.

        Candidates after the current host were not informed; each receives all
        running requests when it becomes the host.
        """
        candidates = self.links.find_candidates(service.name)
        host = self._host_by_service.get(service.pool)
        if host in candidates:
            return candidates[: candidates.index(host) + 1]
        return candidates

    def _report_start(
        self, service: fleet_configuration.Service, work: job.Job, server: str
    ) -> None:
        self._hosted.note_started_elsewhere(service, work, server)
        for note in peer_messages.write_notes(work):
            self._notify_hosts(service, note)
        self._notify_hosts(
            service,
            self._write_running(
                service.pool, _Placement(work=work, server=server)
            ),
        )

    def _load_own_scheduler(self, service: str) -> None:
        """Load placements decided by other hosts into the own scheduler."""
        for placement in self._placements_by_service.get(service, ()):
            key = placement.work.key
            self._hosted.note_earlier_start(
                service,
                placement.work,
                placement.server,
                prefilling=key in self._prefilling,
                ended=key not in self._running,
            )

    def _handle_connect(self, link: peer_link.PeerLink) -> None:
        self._send_placements(link)
        self._registry.handle_connect(link)

    def _send_placements(self, link: peer_link.PeerLink) -> None:
        """Send running and recent placements to a newly connected host."""
        for service in self._placements_by_service:
            self._send_service_placements(link, service)
        link.send(
            peer_messages.Reconcile(
                running=tuple(self._running), reading=tuple(self._prefilling)
            )
        )

    def _send_service_placements(
        self, link: peer_link.PeerLink, service: str
    ) -> None:
        for placement in self._placements_by_service.get(service, ()):
            for note in peer_messages.write_notes(placement.work):
                link.send(note)
            link.send(self._write_running(service, placement))

    def _write_running(
        self, service: str, placement: _Placement
    ) -> peer_messages.Running:
        key = placement.work.key
        return peer_messages.Running(
            service=service,
            work=peer_messages.write_job(placement.work, time.monotonic()),
            server=placement.server,
            reading=key in self._prefilling,
            ended=key not in self._running,
        )
