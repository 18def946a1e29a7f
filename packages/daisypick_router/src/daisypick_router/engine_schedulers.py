"""Runs the schedulers of model services within one process.

Where versions are rolled out, the servers of each version of a service have a
scheduler of their own: engines under test are neither spare capacity of the
others nor a source of their prompts.

Requests wait here as greenlets; the schedulers' actions wake them.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import MutableMapping
from collections.abc import Set
import random
import time

import gevent
from gevent import event

from daisypick_core.scheduling import actions
from daisypick_core.scheduling import job
from daisypick_core.scheduling import prefill_speed
from daisypick_core.scheduling import scheduler as schedulers
from daisypick_core.scheduling import server_state
from daisypick_core.scheduling import suspect_runs
from daisypick_core.serving import backend_server
from daisypick_core.serving import fleet_configuration
from daisypick_router import answer_progress
from daisypick_router import discovery as discoveries
from daisypick_router import loops

# Interval in seconds at which waiting requests are re-evaluated; a fifteenth of
# the shortest latency target.
_TICK_SECONDS = 0.01
_EXPIRE_SECONDS = 1.0


class EngineSchedulers:
    """Schedulers by service, and the callbacks of waiting requests."""

    def __init__(
        self,
        *,
        discovery: "discoveries.Discovery",
        window_seconds: float,
        rng: random.Random,
        speed_by_service: MutableMapping[str, prefill_speed.ServiceSpeed],
        find_cold_until: Callable[[backend_server.BackendServer, float], float],
        by_version: bool = False,
        find_suspicion: Callable[[str], suspect_runs.Suspicion] = (
            lambda service: suspect_runs.NO_SUSPICION
        ),
    ) -> None:
        self._find_suspicion = find_suspicion
        self._find_cold_until = find_cold_until
        self._discovery = discovery
        self._window_seconds = window_seconds
        self._rng = rng
        self._speed_by_service = speed_by_service
        self._by_version = by_version
        self._versions_by_service: dict[str, set[str]] = (
            collections.defaultdict(set)
        )
        self._routers: frozenset[str] = frozenset()
        self._share = 1.0
        self._has_waiting = event.Event()
        self._scheduler_by_service: dict[str, schedulers.Scheduler] = {}
        self._pool_by_name: dict[str, fleet_configuration.Service] = {}
        self._callback_by_key: dict[str, Callable[[actions.Action], None]] = {}

    def start(self) -> None:
        """Start the periodic evaluation of waiting requests."""
        loops.spawn(self._tick)
        loops.spawn(self._expire)

    def set_fleet(self, *, routers: frozenset[str], share: float) -> None:
        """Set the routers and the share of the capacity to use."""
        self._routers = routers
        self._share = share
        for scheduler in self._scheduler_by_service.values():
            scheduler.set_fleet(routers=routers, share=share)

    def update_servers(self, names: Collection[str] | None = None) -> None:
        """Update the schedulers' servers from the directory.

        Args:
            names: Servers that changed; ``None`` for all. A starting fleet
                announces thousands of servers; updating all of them for each
                announcement would keep every router fully busy.
        """
        configuration = self._discovery.configuration
        if configuration is None:
            return
        for service in self._find_pools(configuration):
            scheduler = self.find_scheduler(service)
            scheduler.shares.set_capacity(
                tokens_per_second=configuration.limits.tokens_per_second
                * self._share
            )
            if names is None:
                self._set_all_servers(service, scheduler)
            else:
                self._update_some_servers(service, scheduler, names)
            self._apply(scheduler.dispatch(time.monotonic()))

    def _find_pools(
        self, configuration: fleet_configuration.FleetConfiguration
    ) -> list[fleet_configuration.Service]:
        """Return the engine services, by version if they are kept apart."""
        pools = []
        for service in configuration.service_by_name.values():
            if service.engine is None:
                continue
            if not self._by_version:
                pools.append(service)
                continue
            versions = self._versions_by_service[service.name]
            versions.update(
                self._discovery.directory.find_versions(service.name)
            )
            pools += [service._replace(version=found) for found in versions]
        return pools

    def _set_all_servers(
        self,
        service: fleet_configuration.Service,
        scheduler: schedulers.Scheduler,
    ) -> None:
        scheduler.set_servers(
            self._describe_server(service, server)
            for server in self._discovery.directory.find_ready(service.name)
            if service.has_server(server)
        )

    def _update_some_servers(
        self,
        service: fleet_configuration.Service,
        scheduler: schedulers.Scheduler,
        names: Collection[str],
    ) -> None:
        directory = self._discovery.directory
        for name in names:
            server = directory.server_by_name.get(name)
            if (
                server is not None
                and service.has_server(server)
                and directory.is_available(server)
            ):
                scheduler.put_server(self._describe_server(service, server))
            else:
                scheduler.drop_server(name)

    def _describe_server(
        self,
        service: fleet_configuration.Service,
        server: backend_server.BackendServer,
    ) -> server_state.ServerState:
        return server_state.ServerState(
            name=server.name,
            slots=min(server.slots, service.engine.slots),
            cold_until=self._find_cold_until(server, service.cold_seconds),
            born=server.born,
            data_centre=server.data_centre,
        )

    def find_scheduler(
        self, service: fleet_configuration.Service
    ) -> schedulers.Scheduler:
        """Return the scheduler of a service, created on first use."""
        scheduler = self._scheduler_by_service.get(service.pool)
        if scheduler is None:
            scheduler = schedulers.Scheduler(
                kv_tokens=service.engine.kv_tokens,
                copy_token_seconds=service.engine.copy_token_seconds,
                cold_rate=service.cold_rate,
                window_seconds=self._window_seconds,
                rng=self._rng,
                speed=self._speed_by_service.setdefault(
                    service.pool, prefill_speed.ServiceSpeed()
                ),
                suspicion=self._find_suspicion(service.name),
            )
            scheduler.set_fleet(routers=self._routers, share=self._share)
            self._scheduler_by_service[service.pool] = scheduler
            self._pool_by_name[service.pool] = service
        return scheduler

    def acquire(
        self, service: fleet_configuration.Service, work: job.Job
    ) -> actions.Action:
        """Wait until a request may start or is refused."""
        result = event.AsyncResult()
        try:
            self.submit(service, work, result.set)
            return result.get()
        except BaseException:
            self._callback_by_key.pop(work.key, None)
            self.withdraw(service, work.key)
            raise

    def submit(
        self,
        service: fleet_configuration.Service,
        work: job.Job,
        on_decision: Callable[[actions.Action], None],
    ) -> None:
        """Queue a request; ``on_decision`` is called with the decision."""
        self._callback_by_key[work.key] = on_decision
        scheduler = self.find_scheduler(service)
        self._apply(scheduler.submit(work, time.monotonic()))
        if scheduler.waiting:
            self._has_waiting.set()

    def withdraw(self, service: fleet_configuration.Service, key: str) -> None:
        """Remove a waiting or running request whose caller disconnected."""
        self._callback_by_key.pop(key, None)
        scheduler = self.find_scheduler(service)
        self._apply(scheduler.withdraw(key, time.monotonic()))

    def can_handle(
        self, service: fleet_configuration.Service, router: str, server: str
    ) -> bool:
        """Return whether a server can take one more of a router's requests.

        Only cold servers are limited.
        """
        scheduler = self.find_scheduler(service)
        return scheduler.can_handle(router, server, time.monotonic())

    def note_started_elsewhere(
        self,
        service: fleet_configuration.Service,
        work: job.Job,
        server: str,
        *,
        ahead: float | None = None,
        copied: int = 0,
    ) -> None:
        """Record that another scheduler has just started a request."""
        scheduler = self.find_scheduler(service)
        scheduler.note_started_elsewhere(
            work,
            server,
            time.monotonic(),
            ahead=ahead,
            copied=copied,
            is_new=True,
        )

    def note_earlier_start(
        self,
        service_name: str,
        work: job.Job,
        server: str,
        *,
        prefilling: bool,
        ended: bool,
    ) -> None:
        """Record an earlier start decided by another scheduler.

        A request that has ended still shows what its server has in its KV
        cache.
        """
        scheduler = self._scheduler_by_service.get(service_name)
        if scheduler is None:
            return
        now = time.monotonic()
        scheduler.note_started_elsewhere(work, server, now)
        if not prefilling:
            scheduler.note_first_token(work.key, now, learn=False)
        if ended:
            self._apply(scheduler.note_end(work.key, now))

    def reconcile(
        self, router: str, *, running: Set[str], prefilling: Set[str]
    ) -> None:
        """Set which of a router's requests run and which are in prefill."""
        now = time.monotonic()
        for scheduler in self._scheduler_by_service.values():
            self._apply(
                scheduler.reconcile(
                    router, running=running, prefilling=prefilling, now=now
                )
            )

    def predict_prefill(
        self, service: fleet_configuration.Service, tokens: int
    ) -> float:
        """Return the seconds to a first token with ``tokens`` to prefill."""
        speed = self._speed_by_service.get(service.pool)
        return 0.0 if speed is None else speed.predict(tokens)

    def note_first_token(
        self,
        service: fleet_configuration.Service,
        key: str,
        *,
        late: bool,
    ) -> None:
        """Record a first token; ``late`` if it was possibly seen late."""
        scheduler = self.find_scheduler(service)
        self._apply(
            scheduler.note_first_token(key, time.monotonic(), late=late)
        )

    def note_pace(
        self,
        service: fleet_configuration.Service,
        key: str,
        pace: answer_progress.Pace,
    ) -> None:
        """Record how fast the events of a request came, before its end."""
        scheduler = self.find_scheduler(service)
        scheduler.note_pace(
            key, pace.events, pace.seconds, pace.longest, time.monotonic()
        )

    def note_end(self, service: fleet_configuration.Service, key: str) -> None:
        """Record that a request ended at its server."""
        scheduler = self.find_scheduler(service)
        self._apply(scheduler.note_end(key, time.monotonic()))

    def note_failure(
        self,
        service: fleet_configuration.Service,
        key: str,
        *,
        certain: bool,
    ) -> None:
        """Record that a request failed at its server."""
        scheduler = self.find_scheduler(service)
        self._apply(
            scheduler.note_failure(key, time.monotonic(), certain=certain)
        )

    def has_scheduler(self, service: str) -> bool:
        """Return whether there is a scheduler of a service and version."""
        return service in self._scheduler_by_service

    def _drop_old_versions(self) -> None:
        """Drop the schedulers of versions that have no server any more."""
        servers = self._discovery.directory.server_by_name.values()
        for name, pool in list(self._pool_by_name.items()):
            scheduler = self._scheduler_by_service[name]
            if (
                pool.version is None
                or scheduler.waiting
                or any(pool.has_server(server) for server in servers)
            ):
                continue
            self._versions_by_service[pool.name].discard(pool.version)
            del self._pool_by_name[name]
            del self._scheduler_by_service[name]
            self._speed_by_service.pop(name, None)

    def describe(self, service: str) -> dict[str, object] | None:
        """Return the state of a service's scheduler, or ``None``."""
        scheduler = self._scheduler_by_service.get(service)
        if scheduler is None:
            return None
        now = time.monotonic()
        return {
            "waiting": scheduler.waiting,
            "level": scheduler.shares.find_level(now),
            **scheduler.describe_fleet(),
            "engines": scheduler.describe(now),
        }

    def take_tally(self, service: str, limit: int) -> list[dict]:
        """Return the decisions per organisation since the last call."""
        scheduler = self._scheduler_by_service.get(service)
        if scheduler is None:
            return []
        rows = scheduler.tally.take(limit, by="asked")
        for row in rows:
            row["waiting"] = scheduler.count_waiting(row["organisation"])
        return rows

    def _apply(self, decisions: Iterable[actions.Action]) -> None:
        for action in decisions:
            on_decision = self._callback_by_key.pop(action.key, None)
            if on_decision is not None:
                loops.call(on_decision, action)

    def _expire(self) -> None:
        while True:
            gevent.sleep(_EXPIRE_SECONDS)
            for scheduler in self._scheduler_by_service.values():
                self._apply(scheduler.expire(time.monotonic()))
            self._drop_old_versions()

    def _tick(self) -> None:
        while True:
            self._has_waiting.wait()
            gevent.sleep(_TICK_SECONDS)
            self._has_waiting.clear()
            for scheduler in self._scheduler_by_service.values():
                if scheduler.waiting:
                    self._has_waiting.set()
                    loops.call(self._tick_scheduler, scheduler)

    def _tick_scheduler(self, scheduler: schedulers.Scheduler) -> None:
        self._apply(scheduler.tick(time.monotonic()))
