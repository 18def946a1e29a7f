"""Where a request starts: asked of the service's host, or decided alone.

Every model service has one scheduler, hosted by one of the routers. It sees
all requests of the service, so it can keep tenants even, place by what each
engine keeps and fill each engine just so far. When the host does not answer
for a quarter of a second, or no connection to it stands, a router decides by
itself with its own small part of every engine's capacity.
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
from daisypick_core.scheduling import scheduler as schedulers
from daisypick_core.serving import fleet_configuration
from daisypick_router import engine_servers
from daisypick_router import host_links
from daisypick_router import load_watch
from daisypick_router import log as logs
from daisypick_router import membership as memberships
from daisypick_router import metrics as metric_numbers
from daisypick_router import peer_link
from daisypick_router import peer_messages
from daisypick_router import store_feed

_REPORT_SECONDS = 1.0
# Organisations in one line of a report; a flood is among those that ask most.
_REPORTED_ORGANISATIONS = 16
# Placements that are told to a new host, so that it knows what engines keep;
# an engine's memory turns over in about this many requests of a router.
_REMEMBERED = 400


class _Placed(typing.NamedTuple):
    """A request that was started, for a new host to know."""

    work: job.Job
    server: str


class Placing:
    """Asks for starts and tells what became of them."""

    def __init__(
        self,
        *,
        name: str,
        power: float,
        membership: memberships.Membership,
        hosted: engine_servers.EngineServers,
        feed: store_feed.StoreFeed,
        alone: engine_servers.EngineServers,
        load: load_watch.LoadWatch,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._hosted = hosted
        self.links = host_links.HostLinks(
            name=name,
            power=power,
            membership=membership,
            feed=feed,
            log=log,
            rng=rng,
            on_up=self._tell_running,
        )
        self.alone = alone
        self._load = load
        self._log = log
        self._metrics = metrics
        self._rng = rng
        # What callers of this router asked for and got.
        self.tally = organisation_tally.OrganisationTally()
        self._host_by_service: dict[str, str] = {}
        self._placed_by_service: dict[str, collections.deque[_Placed]] = {}
        self._reading: set[str] = set()
        # Those of them whose start was heard by a late loop.
        self._started_late: set[str] = set()
        self._running: set[str] = set()
        self._pauses_by_service: dict[str, pauses.Pauses] = (
            collections.defaultdict(pauses.Pauses)
        )
        # Requests of each organisation that wait for a decision.
        self._asking_by_service: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )

    def start(self) -> None:
        """Begin to watch the hosts."""
        self.links.start()
        gevent.spawn(self._report)

    def _report(self) -> None:
        """Log what schedulers hosted here believe and what callers got."""
        while True:
            gevent.sleep(_REPORT_SECONDS)
            for service, host in self._host_by_service.items():
                # Of every scheduler, or sums of all organisations that ever
                # asked would pile up in those that host nothing.
                self.alone.take_tally(service, 0)
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

    def find_host(self, service: str) -> str | None:
        """Return the first candidate that can be asked."""
        name = self.links.find_host(service)
        self._note_host(service, name or "")
        return name

    def _note_host(self, service: str, name: str) -> None:
        if self._host_by_service.get(service) == name:
            return
        self._host_by_service[service] = name
        link = self.links.find_link(name)
        if name == self._name:
            self._tell_ourselves(service)
        elif link is not None:
            self._tell_running(link)
        self._log.write(
            "placing",
            "A service has another host." if name else "We decide alone.",
            service=service,
            host=name,
        )

    def acquire(
        self, service: fleet_configuration.Service, work: job.Job
    ) -> actions.Action:
        """Wait until a request may start, or is refused."""
        refused = self.refuse_unasked(
            service, work.organisation, work.key, work.arrived_at
        )
        if refused is not None:
            return refused
        asking = self._asking_by_service[service.name]
        asking[work.organisation] += 1
        try:
            decided = self._decide(service, work)
        finally:
            asking[work.organisation] -= 1
            if not asking[work.organisation]:
                del asking[work.organisation]
        if isinstance(decided, actions.Refuse) and decided.pause > 0.0:
            self._pauses_by_service[service.name].set(
                work.organisation, seconds=decided.pause, now=time.monotonic()
            )
        return decided

    def refuse_unasked(
        self,
        service: fleet_configuration.Service,
        organisation: str,
        key: str,
        now: float,
    ) -> actions.Refuse | None:
        """Refuse a flood's request if the host would; it is not asked.

        Costs a fraction of what the request itself would, so it comes first.
        """
        paused = self._pauses_by_service[service.name]
        if not paused.was_paused(organisation, now):
            return None
        asking = self._asking_by_service[service.name][organisation]
        if paused.is_paused(organisation, now):
            reason = "its organisation was refused just before"
        elif asking >= admission.MOST_WAITING_BEYOND:
            reason = "as many of its organisation ask as may wait"
        else:
            return None
        self._metrics.count("refused_unasked_total", service=service.name)
        return actions.Refuse(
            key=key,
            retry_after=self._rng.uniform(*schedulers.RETRY_AFTER),
            reason=reason,
        )

    def _decide(
        self, service: fleet_configuration.Service, work: job.Job
    ) -> actions.Action:
        host = self.find_host(service.name)
        decided: actions.Action | None = None
        if host == self._name:
            decided = self._hosted.acquire(service, work)
        elif host is not None:
            decided = self._ask(service, work, self.links.find_link(host))
        if isinstance(decided, actions.Start) and not self.alone.bears(
            service, work.router, decided.server
        ):
            decided, work = None, self._give_back(service, work, decided)
        if decided is None:
            self._metrics.count("placed_alone_total", service=service.name)
            decided = self.alone.acquire(service, work)
            if isinstance(decided, actions.Start):
                self._tell_started(service, work, decided.server)
        elif isinstance(decided, actions.Start):
            if self._host_by_service.get(service.name) != host:
                # Another host since we asked; it does not know of this one.
                self._tell_started(service, work, decided.server)
            self.alone.note_started_elsewhere(
                service,
                work,
                decided.server,
                ahead=decided.ahead,
                copied=decided.copied,
            )
        if isinstance(decided, actions.Start):
            self._remember(service, work, decided.server)
            self._log.write(
                "placing",
                "Start.",
                id=work.key,
                host=host,
                server=decided.server,
                organisation=work.organisation,
                prompt=work.prompt_tokens,
                output=work.output_tokens,
                kept=decided.kept,
                elsewhere=decided.elsewhere,
                ahead=decided.ahead,
                source=decided.source,
                copied=decided.copied,
                waited=round(time.monotonic() - work.arrived_at, 4),
            )
        return decided

    def _give_back(
        self,
        service: fleet_configuration.Service,
        work: job.Job,
        start: actions.Start,
    ) -> job.Job:
        """Decline a start at a cold server; return the request without it.

        A host that is new, or one of two, does not know all that we sent
        there. What a cold server bears is kept by each router for itself.
        """
        self._hosted.note_end(service, work.key)
        self._tell(
            service, peer_messages.End(service=service.name, key=work.key)
        )
        self._log.write(
            "placing",
            "Declined a start at a cold server.",
            id=work.key,
            server=start.server,
        )
        return work._replace(avoid=work.avoid | {start.server})

    def _ask(
        self,
        service: fleet_configuration.Service,
        work: job.Job,
        link: peer_link.PeerLink,
    ) -> actions.Action | None:
        result = event.AsyncResult()
        wire = peer_messages.write_job(work, time.monotonic())
        link.ask(
            peer_messages.Submit(service=service.name, work=wire), result.set
        )
        try:
            answer = result.get()
        except gevent.GreenletExit:
            link.forget(work.key)
            link.tell(
                peer_messages.Withdraw(service=service.name, key=work.key)
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

    def _remember(
        self, service: fleet_configuration.Service, work: job.Job, server: str
    ) -> None:
        placed = self._placed_by_service.get(service.name)
        if placed is None:
            placed = collections.deque(maxlen=_REMEMBERED)
            self._placed_by_service[service.name] = placed
        placed.append(_Placed(work=work, server=server))
        self._reading.add(work.key)
        if self._load.is_late():
            self._started_late.add(work.key)
        self._running.add(work.key)

    def note_first_token(
        self, service: fleet_configuration.Service, key: str
    ) -> None:
        """A request's first token came."""
        self._reading.discard(key)
        self._log.write("placing", "First event.", id=key)
        late = self._load.is_late() or key in self._started_late
        self._started_late.discard(key)
        self.alone.note_first_token(service, key, late=late)
        self._hosted.note_first_token(service, key, late=late)
        self._tell(
            service,
            peer_messages.FirstToken(service=service.name, key=key, late=late),
        )

    def note_end(self, service: fleet_configuration.Service, key: str) -> None:
        """A request ended at its server, or its caller left."""
        self._reading.discard(key)
        self._started_late.discard(key)
        self._running.discard(key)
        self.alone.note_end(service, key)
        self._hosted.note_end(service, key)
        self._tell(service, peer_messages.End(service=service.name, key=key))

    def note_failure(
        self,
        service: fleet_configuration.Service,
        key: str,
        *,
        certain: bool,
    ) -> None:
        """A request failed at its server."""
        self._reading.discard(key)
        self._started_late.discard(key)
        self._running.discard(key)
        self.alone.note_failure(service, key, certain=certain)
        self._hosted.note_failure(service, key, certain=certain)
        self._tell(
            service,
            peer_messages.Failed(
                service=service.name, key=key, certain=certain
            ),
        )

    def _tell(
        self, service: fleet_configuration.Service, message: typing.Any
    ) -> None:
        for name in self._find_told(service.name):
            link = self.links.find_link(name)
            if link is not None:
                link.tell(message)

    def _find_told(self, service: str) -> list[str]:
        """Return the candidates that know what we run.

        One behind the host was told nothing of it; it is told all that runs
        when it becomes our host.
        """
        candidates = self.links.find_candidates(service)
        host = self._host_by_service.get(service)
        if host in candidates:
            return candidates[: candidates.index(host) + 1]
        return candidates

    def _tell_started(
        self, service: fleet_configuration.Service, work: job.Job, server: str
    ) -> None:
        self._hosted.note_started_elsewhere(service, work, server)
        self._tell(
            service,
            self._write_running(
                service.name, _Placed(work=work, server=server)
            ),
        )

    def _tell_ourselves(self, service: str) -> None:
        """Take what we placed by others' decision into our own scheduler."""
        for placed in self._placed_by_service.get(service, ()):
            key = placed.work.key
            self._hosted.note_known(
                service,
                placed.work,
                placed.server,
                reading=key in self._reading,
                ended=key not in self._running,
            )

    def _tell_running(self, link: peer_link.PeerLink) -> None:
        """Tell a host that we connected to what runs and what ran lately."""
        for service in self._placed_by_service:
            self._tell_placed(link, service)
        link.tell(
            peer_messages.Reconcile(
                running=tuple(self._running), reading=tuple(self._reading)
            )
        )

    def _tell_placed(self, link: peer_link.PeerLink, service: str) -> None:
        for placed in self._placed_by_service.get(service, ()):
            link.tell(self._write_running(service, placed))

    def _write_running(
        self, service: str, placed: _Placed
    ) -> peer_messages.Running:
        key = placed.work.key
        return peer_messages.Running(
            service=service,
            work=peer_messages.write_job(placed.work, time.monotonic()),
            server=placed.server,
            reading=key in self._reading,
            ended=key not in self._running,
        )
