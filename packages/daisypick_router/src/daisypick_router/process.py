"""The router process: creates, starts and stops its components."""

import collections
from collections.abc import Collection
import gc
import pathlib
import random
import resource
import signal
import socket as plain_socket
import time

import gevent
from gevent import event as gevent_event
from gevent import server as gevent_server

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.scheduling import prefill_speed
from daisypick_core.serving import cold_limit
from daisypick_core.serving import cold_quotas
from daisypick_core.serving import outcomes as outcome_records
from daisypick_core.serving import retry_budget
from daisypick_http import messages
from daisypick_http import pool as pools
from daisypick_http import server as http_server
from daisypick_http import turns
from daisypick_platform import position as positions
from daisypick_platform import probes
from daisypick_platform import request_headers
from daisypick_platform import settings as platform_settings
from daisypick_platform import store as stores
from daisypick_router import answers as answer_records
from daisypick_router import closed_answers
from daisypick_router import cold_sends
from daisypick_router import crash_probe
from daisypick_router import discovery as discoveries
from daisypick_router import engine_handler
from daisypick_router import engine_schedulers
from daisypick_router import held_requests
from daisypick_router import idle_connections
from daisypick_router import intake
from daisypick_router import load_watch
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import membership as memberships
from daisypick_router import metrics as metric_numbers
from daisypick_router import peer_host
from daisypick_router import peer_messages
from daisypick_router import placing as placings
from daisypick_router import plain_handler
from daisypick_router import plain_servers
from daisypick_router import quarantine as quarantines
from daisypick_router import quarantine_store
from daisypick_router import restarts as restart_records
from daisypick_router import retry_policy as retry_policies
from daisypick_router import rollout_host as rollout_hosts
from daisypick_router import rollouts as rollout_records
from daisypick_router import server_notices
from daisypick_router import serving
from daisypick_router import settings_watch
from daisypick_router import skipped_objects
from daisypick_router import store_feed
from daisypick_router import stream_registry
from daisypick_router import stream_versions
from daisypick_router import unexpected

# Servers are a few milliseconds away, so one that does not accept in this time
# is down or unreachable. A lost SYN would be retransmitted only after 1 s.
_CONNECT_SECONDS = 0.25
# The kernel's buffer for a response that waits for a slow caller.
_SERVER_RECEIVE_BYTES = 131_072
_BACKLOG = 512
_METRICS_TARGET = b"/metrics"
# Fraction of the file descriptors for callers' connections. Each request needs
# another one for its server; the store and the other routers need some too.
_CALLER_CONNECTION_FRACTION = 0.45
# Fraction of the file descriptors for connections of callers, closing ones
# included, and to backend servers. The rest is for the store and other routers.
_CONNECTION_FRACTION = 0.9
# Fraction above which connections to backend servers are counted.
_COUNTED_FRACTION = 0.45
# Share of the memory for bytes that the kernel has received from callers and
# that were not read. It is divided by the open connections. The kernel doubles
# the size that is set.
_RECEIVE_SHARE = 0.1
_MIN_RECEIVE_BYTES = 32_768
_MAX_RECEIVE_BYTES = 262_144
_HOUSEKEEPING_SECONDS = 1.0
# The platform removes a VM after two readiness checks one second apart; until
# then new connections still arrive.
_LISTEN_AFTER_STOP_SECONDS = 2.6
# The platform may write the file while the process starts. Settings that stay
# invalid end the process, so that they are noticed.
_SETTINGS_SECONDS = 2.0
_SETTINGS_RETRY_SECONDS = 0.02
# Fraction of the grace period after which remaining connections are closed.
_STOP_FRACTION = 0.95


class RouterProcess:
    """One router."""

    def __init__(
        self, *, settings: platform_settings.Settings, rng: random.Random
    ) -> None:
        self.settings = settings
        self.log = logs.Log(process=settings.name)
        self.metrics = metric_numbers.Metrics()
        self.unexpected_errors = unexpected.UnexpectedErrors(
            log=self.log, metrics=self.metrics
        )
        self.skipped = skipped_objects.SkippedObjects(
            log=self.log, metrics=self.metrics
        )
        eras = positions.EraTracker()
        store = stores.StoreClient(address=settings.store_address, eras=eras)
        self.store = store
        self._pool = pools.Pool(
            connect_timeout=_CONNECT_SECONDS,
            receive_bytes=_SERVER_RECEIVE_BYTES
            if settings.slow_peers
            else None,
            may_open=self._may_open,
        )
        self._cold_quotas = cold_quotas.ColdQuotas()
        self._budget = retry_budget.RetryBudget(
            ratio=settings.bounds.retry_ratio,
            window_seconds=settings.bounds.retry_window_seconds,
            extra=settings.bounds.retry_extra,
        )
        self._intake = intake.Intake()
        self.load = load_watch.LoadWatch(
            log=self.log, find_wait=self._intake.find_wait
        )
        self._feed = store_feed.StoreFeed(
            find_lag=self.load.find_lag,
            origin=f"{settings.name}/{rng.getrandbits(64):x}",
            eras=eras,
        )
        store.on_call(self._count_store_call)
        store.on_unreadable(self.skipped.note)
        self.discovery = discoveries.Discovery(
            store=store,
            log=self.log,
            rng=rng,
            on_servers=self._update_servers,
            bounds=settings.bounds,
            skipped=self.skipped,
            feed=self._feed,
        )
        self.membership = memberships.Membership(
            store=store,
            log=self.log,
            rng=rng,
            name=settings.name,
            address=(settings.ip, settings.peer_port),
            cores=settings.processor,
            on_change=self._update_members,
            skipped=self.skipped,
        )
        limit = cold_limit.ColdLimit(
            router=settings.name, quotas=self._cold_quotas
        )
        self._restarts = restart_records.Restarts(
            discovery=self.discovery,
            pool=self._pool,
            load=self.load,
            log=self.log,
            on_change=self._update_suspected,
            send=lambda message: self.placing.links.send_to_all(message),
        )
        self.sends = cold_sends.ColdSends(
            discovery=self.discovery,
            membership=self.membership,
            limit=limit,
            restarts=self._restarts,
            log=self.log,
            metrics=self.metrics,
        )
        probe = crash_probe.CrashProbe(pool=self._pool)
        self.rollouts = rollout_records.Rollouts(
            share=settings.bounds.canary_share,
            process=f"{settings.name}/{rng.getrandbits(64):x}",
            directory=self.discovery.directory,
            probe=probe,
            log=self.log,
        )
        self.held = held_requests.HeldRequests(
            memory_bytes=settings.memory_bytes,
            pace=held_requests.PACE if settings.slow_peers else None,
            find_organisation=self._find_organisation,
            refuse_head=lambda head: self.serving.refuse_head(head),
            log=self.log,
            metrics=self.metrics,
        )
        self.quarantine = quarantines.Quarantine(
            probe=probe,
            directory=self.discovery.directory,
            log=self.log,
            metrics=self.metrics,
            rng=rng,
            is_overload=self.held.is_overload,
        )
        self._quarantine_store = quarantine_store.QuarantineStore(
            store=store,
            quarantine=self.quarantine,
            membership=self.membership,
            log=self.log,
            rng=rng,
            is_connected=self._feed.is_connected,
            skipped=self.skipped,
        )
        closed = closed_answers.ClosedAnswers(
            probe=probe, directory=self.discovery.directory
        )
        outcomes = outcome_records.Outcomes()
        retry_policy = retry_policies.RetryPolicy(
            outcomes=outcomes,
            budget=self._budget,
            quarantine=self.quarantine,
            log=self.log,
            metrics=self.metrics,
            restarts=self._restarts,
        )
        self._notices = server_notices.ServerNotices(
            discovery=self.discovery, log=self.log
        )
        # Shared, so that a router that becomes the host of a service already
        # knows the engines' reading speeds.
        speed_by_service: dict[str, prefill_speed.ServiceSpeed] = {}
        self.hosted, self._local_engines = (
            engine_schedulers.EngineSchedulers(
                discovery=self.discovery,
                window_seconds=settings.bounds.quota_window_seconds,
                rng=rng,
                speed_by_service=speed_by_service,
                find_cold_until=self._restarts.find_cold_until,
                by_version=self.rollouts.is_active,
                find_suspicion=self.quarantine.parts.find_service,
            )
            for _ in range(2)
        )
        self.stream_registry = stream_registry.StreamRegistry()
        self._streams = stream_versions.StreamVersions(
            discovery=self.discovery,
            registry=self.stream_registry,
            has_rollouts=self.rollouts.is_active,
            log=self.log,
            metrics=self.metrics,
            rng=rng,
        )
        self.placing = placings.Placing(
            name=settings.name,
            cores=settings.processor,
            membership=self.membership,
            hosted=self.hosted,
            feed=self._feed,
            fallback=self._local_engines,
            quarantine=self.quarantine,
            rollouts=self.rollouts,
            registry=self.stream_registry,
            load=self.load,
            log=self.log,
            metrics=self.metrics,
            rng=rng,
        )
        self._rollout_host = rollout_hosts.RolloutHost(
            store=store,
            discovery=self.discovery,
            rollouts=self.rollouts,
            membership=self.membership,
            is_host=self._is_rollout_host,
            log=self.log,
        )
        self.peer_host = peer_host.PeerHost(
            discovery=self.discovery,
            engines=self.hosted,
            feed=self._feed,
            quarantine=self.quarantine,
            rollouts=self.rollouts,
            rollout_host=self._rollout_host,
            streams=self._streams,
            registry=self.stream_registry,
            load=self.load,
            restarts=self._restarts,
            log=self.log,
        )
        self.serving = serving.Serving(
            discovery=self.discovery,
            overload=self.load.overload,
            plain=plain_handler.PlainHandler(
                pool=self._pool,
                servers=plain_servers.PlainServers(
                    discovery=self.discovery,
                    outcomes=outcomes,
                    sends=self.sends,
                    pauses=self._notices.pauses,
                    data_centre=settings.data_centre,
                    rng=rng,
                ),
                retry_policy=retry_policy,
                notices=self._notices,
                rollouts=self.rollouts,
                held=self.held,
                sends=self.sends,
                closed=closed,
            ),
            engine=engine_handler.EngineHandler(
                pool=self._pool,
                discovery=self.discovery,
                placing=self.placing,
                retry_policy=retry_policy,
                notices=self._notices,
                rollouts=self.rollouts,
                streams=self._streams,
                answers=answer_records.Answers(
                    load=self.load, log=self.log, metrics=self.metrics
                ),
                metrics=self.metrics,
                router=settings.name,
                data_centre=settings.data_centre,
                held=self.held,
                sends=self.sends,
                closed=closed,
            ),
            retry_policy=retry_policy,
            log=self.log,
            metrics=self.metrics,
            unexpected_errors=self.unexpected_errors,
            held=self.held,
            rng=rng,
        )
        self._connections: dict[http_server.CallerConnection, None] = {}
        # All connections of callers with a descriptor, and those of them that
        # this side has closed, the first one first.
        self._open_callers: set[http_server.CallerConnection] = set()
        self._closing_callers: collections.OrderedDict[
            http_server.CallerConnection, None
        ] = collections.OrderedDict()
        self._turns = turns.Turns()
        self._idle = idle_connections.IdleConnections()
        self._idle_closed = 0
        self._set_max_files(settings.most_files)
        self._listeners: list[gevent_server.StreamServer] = []
        self._settings_watch = settings_watch.SettingsWatch(
            settings=settings, log=self.log, on_change=self.apply_settings
        )
        # Memory of the program itself, where it is the only one of its process.
        self._resident_bytes = 0
        self.stopped = gevent_event.Event()
        self._update_members()

    def run(self) -> None:
        """Serve until a graceful stop has finished."""
        gevent.signal_handler(signal.SIGTERM, self.begin_stop)
        gevent.signal_handler(
            signal.SIGHUP, self._settings_watch.request_reload
        )
        # The program has blocked SIGHUP; what started it may have blocked both.
        signal.pthread_sigmask(
            signal.SIG_UNBLOCK, {signal.SIGHUP, signal.SIGTERM}
        )
        self.unexpected_errors.install()
        loops.spawn(self.log.run)
        self.start()
        self._resident_bytes = _find_resident_bytes()
        self._set_memory()
        self.stopped.wait()
        self.log.flush()

    def start(self) -> None:
        """Start all components and listen for connections."""
        self.log.write("process", "Started.", ip=self.settings.ip)
        self.discovery.start()
        self.membership.start()
        self._quarantine_store.start()
        self.hosted.start()
        self._local_engines.start()
        self.placing.start()
        self._restarts.start()
        self.sends.start()
        self._streams.start()
        self.peer_host.start()
        self._rollout_host.start()
        self.rollouts.start(
            count_routers=lambda: self.membership.routers,
            deliver=self._deliver_rollout_report,
        )
        self.load.start()
        self._intake.start()
        self._settings_watch.start()
        loops.spawn(self._run_housekeeping)
        self._listen(
            self.settings.caller_address,
            self._serve_caller,
            receive_bytes=_MIN_RECEIVE_BYTES // 2
            if self.settings.memory_bytes
            else None,
        )
        self._listen(self.settings.ready_address, self._serve_platform)
        self._listen(
            (self.settings.ip, self.settings.peer_port), self.peer_host.serve
        )
        self._listen(
            (self.settings.ip, self.settings.metrics_port),
            self._serve_platform,
        )

    def _listen(
        self,
        address: tuple[str, int],
        handle,  # noqa: ANN001
        *,
        receive_bytes: int | None = None,
    ) -> None:
        listener = plain_socket.socket()
        if receive_bytes is not None:
            listener.setsockopt(
                plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, receive_bytes
            )
        listener.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_REUSEADDR, 1
        )
        listener.bind(address)
        listener.listen(_BACKLOG)
        listener.setblocking(False)
        server = gevent_server.StreamServer(
            gevent.socket.socket(fileno=listener.detach()), handle
        )
        server.start()
        self._listeners.append(server)

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send callers to this router."""
        return (
            self.discovery.configuration is not None
            and self.discovery.has_server_list
            and self.serving.stopping_since is None
            and self.load.overload.is_ready
        )

    def _limits(self) -> http_server.Limits:
        configuration = self.discovery.configuration
        if configuration is None:
            return _DEFAULT_LIMITS
        return configuration.limits

    def _find_organisation(self, headers: messages.Headers) -> str:
        """Return the owner of a request's API key; empty without one."""
        configuration = self.discovery.configuration
        if configuration is None:
            return ""
        key = request_headers.find_api_key(headers)
        owner = configuration.find_organisation(key.decode("latin-1"))
        return owner.name if owner is not None else ""

    def _serve_caller(self, socket, address) -> None:  # noqa: ANN001
        if not self._make_room():
            self.held.refuse_connection(socket, caller=address[0])
            return
        receive_bytes = self._bound_receive_buffer(socket)
        hold = self.held.open(caller=address[0])
        connection = http_server.CallerConnection(
            socket=socket,
            handle=self.serving.handle,
            limits=self._limits,
            on_error=lambda error: self.unexpected_errors.note(
                "connection", error
            ),
            begin=self._intake.add,
            on_drop=self.serving.note_dropped,
            on_idle=self._idle.note,
            on_closing=self._note_closing,
            hold=hold,
            pace=self.held.pace,
            turns=self._turns,
            receive_bytes=receive_bytes,
        )
        hold.connection = connection
        self._connections[connection] = None
        self._open_callers.add(connection)
        self._idle.note(connection, True)
        if len(self._connections) > self._max_connections:
            self._close_idle()
        try:
            connection.run()
        finally:
            self._connections.pop(connection, None)
            self._open_callers.discard(connection)
            self._closing_callers.pop(connection, None)
            self._idle.note(connection, False)

    def _make_room(self) -> bool:
        """Return whether the connection of a new caller may stay open.

        If too many are open, the one that loses least is ended: one that is
        closing, then the oldest incomplete head, then a body that makes no
        progress.
        """
        if self.held.has_room(len(self._open_callers), self._max_open):
            return True
        self._close_idle()
        if self._closing_callers:
            connection, _ = self._closing_callers.popitem(last=False)
            connection.abort()
            return True
        return self.held.end_incomplete("too many connections are open")

    def _may_open(self) -> bool:
        """Return whether there is a descriptor for a backend server."""
        used = len(self._open_callers) + self.serving.running
        if used < self._max_uncounted:
            return True
        return used + self._pool.count_idle() < self._max_open

    def _note_closing(self, connection: http_server.CallerConnection) -> None:
        self._closing_callers[connection] = None

    def _bound_receive_buffer(self, socket: plain_socket.socket) -> int:
        """Divide what the kernel may receive in advance by the connections.

        Returns:
            The bytes that it may receive of this one; zero without a bound.
        """
        if not self.settings.memory_bytes:
            return 0
        share = self.settings.memory_bytes * _RECEIVE_SHARE
        size = int(share / (len(self._open_callers) + 1))
        size = min(max(size, _MIN_RECEIVE_BYTES), _MAX_RECEIVE_BYTES)
        socket.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, size // 2
        )
        return size

    def _close_idle(self) -> None:
        closed = self._idle.close_oldest()
        for connection in closed:
            self._connections.pop(connection, None)
        self._idle_closed += len(closed)
        self.metrics.count("idle_connections_closed_total", len(closed))

    def _serve_platform(self, socket, address) -> None:  # noqa: ANN001
        del address
        http_server.CallerConnection(
            socket=socket,
            handle=self._answer_platform,
            limits=lambda: _DEFAULT_LIMITS,
            on_error=lambda error: self.unexpected_errors.note(
                "platform", error
            ),
        ).run()

    def _answer_platform(
        self,
        connection: http_server.CallerConnection,
        request: messages.Request,
    ) -> None:
        path = request.target.partition(b"?")[0]
        if path == probes.READY_TARGET:
            status = 200 if self.is_ready else 503
            connection.send_whole(status=status, headers=(), body=b"")
        elif path == _METRICS_TARGET:
            connection.send_whole(
                status=200,
                headers=((b"Content-Type", b"text/plain; version=0.0.4"),),
                body=self._write_metrics(),
            )
        else:
            connection.send_whole(status=404, headers=(), body=b"")

    def _count_store_call(self, kind: str, reason: str) -> None:
        self.metrics.count(
            "store_calls_total", kind=kind, role=self._feed.role, reason=reason
        )

    def _write_metrics(self) -> bytes:
        self.metrics.set_gauge("routers", self.membership.routers)
        self.metrics.set_gauge("cold_quota_routers", len(self.membership.names))
        self.metrics.set_gauge("store_followers", self._feed.followers)
        self.metrics.set_gauge("store_era", self.store.eras.newest)
        self.metrics.set_gauge(
            "copy_age_seconds",
            self.discovery.configuration_age,
            kind="configuration",
        )
        self.metrics.set_gauge(
            "copy_age_seconds", self.discovery.server_list_age, kind="servers"
        )
        self.metrics.set_gauge("connections", len(self._connections))
        self.metrics.set_gauge("requests_running", self.serving.running)
        self.metrics.set_gauge("timer_lag_seconds", self.load.overload.lag)
        self.metrics.set_gauge("server_connections_opened", self._pool.opened)
        self.metrics.set_gauge("server_connections_reused", self._pool.reused)
        self.held.write_metrics()
        return self.metrics.write().encode()

    def _update_servers(self, names: Collection[str] | None) -> None:
        self.hosted.update_servers(names)
        self._local_engines.update_servers(names)
        self.sends.update_servers(names)
        self._streams.update_servers()

    def _update_suspected(self, names: Collection[str]) -> None:
        self.hosted.update_servers(names)
        self._local_engines.update_servers(names)
        self.sends.update_servers(names)

    def _update_members(self) -> None:
        routers = self.membership.routers
        names = self.membership.names
        self._cold_quotas.set_routers(names)
        self._budget.set_fleet(routers=routers)
        self.hosted.set_fleet(routers=names, share=1.0)
        self._local_engines.set_fleet(routers=names, share=1.0 / routers)
        self.placing.links.update()

    def _find_rollout_host(self) -> str | None:
        return self.placing.links.find_host(rollout_hosts.ORDER_KEY)

    def _is_rollout_host(self) -> bool:
        return self._find_rollout_host() == self.settings.name

    def _deliver_rollout_report(
        self, report: peer_messages.RolloutReport
    ) -> None:
        host = self._find_rollout_host()
        if host == self.settings.name:
            self._rollout_host.receive(report)
            return
        link = self.placing.links.find_link(host) if host else None
        if link is not None:
            link.send(report)

    def _run_housekeeping(self) -> None:
        while True:
            gevent.sleep(_HOUSEKEEPING_SECONDS)
            self._pool.close_stale()
            self._notices.pauses.expire(time.monotonic())
            self.log.write(
                "process",
                "Load.",
                lag_seconds=round(self.load.take_max_lag(), 3),
                intake_seconds=round(
                    self._intake.find_wait(time.monotonic()), 3
                ),
                connections=len(self._connections),
                idle_closed=self._idle_closed,
                running=self.serving.running,
                processor_seconds=round(time.process_time(), 3),
            )
            self._idle_closed = 0

    def apply_settings(self, settings: platform_settings.Settings) -> None:
        """Apply changed settings without closing any connection.

        Addresses and the name cannot change while the process runs.
        """
        self.settings = settings
        self._set_memory()
        bounds = settings.bounds
        self._budget.set_bounds(
            ratio=bounds.retry_ratio,
            window_seconds=bounds.retry_window_seconds,
            extra=bounds.retry_extra,
        )
        self._set_max_files(settings.most_files)

    def _set_memory(self) -> None:
        self.held.ledger.set_memory(
            self.settings.memory_bytes, resident_bytes=self._resident_bytes
        )

    def _set_max_files(self, max_files: int) -> None:
        self._max_connections = int(max_files * _CALLER_CONNECTION_FRACTION)
        self._max_open = int(max_files * _CONNECTION_FRACTION)
        self._max_uncounted = int(max_files * _COUNTED_FRACTION)

    def begin_stop(self) -> None:
        """Start a graceful stop; ``stopped`` is set when it has finished."""
        if self.serving.stopping_since is not None:
            return
        self.log.write("process", "Stopping.", running=self.serving.running)
        self.serving.stopping_since = time.monotonic()
        self.placing.links.leaving = True
        self.peer_host.leave()
        for connection in self._connections:
            connection.close_after_answer()
        loops.spawn(self._stop)

    def _stop(self) -> None:
        """Close the listener, then idle connections, then await the rest."""
        stop_began_at = time.monotonic()
        loops.spawn(self.membership.leave)
        gevent.sleep(_LISTEN_AFTER_STOP_SECONDS)
        self._refuse_connections()
        for connection in list(self._connections):
            connection.close_idle()
        deadline = (
            stop_began_at + self.settings.bounds.grace_seconds * _STOP_FRACTION
        )
        while time.monotonic() < deadline and self._connections:
            gevent.sleep(0.05)
        self.serving.note_stopped()
        self.log.write("process", "Stopped.", running=self.serving.running)
        self.stopped.set()

    def _refuse_connections(self) -> None:
        """Accept the connections in the backlog, then close the listener.

        If the listener only stopped accepting, callers in the backlog would
        wait on connections that nobody reads until the process ends.
        """
        listener = self._listeners[0]
        listener.stop_accepting()
        while (accepted := listener.do_read()) is not None:
            listener.do_handle(*accepted)
        listener.close()


_DEFAULT_LIMITS = http_server.Limits()


def _find_resident_bytes() -> int:
    """Return the resident memory of this process.

    The peak that the kernel keeps would include that of the process which
    started this one.
    """
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize()


def _load_settings() -> platform_settings.Settings | failure.Failure:
    """Read the settings; wait for a file that is still being written."""
    deadline = time.monotonic() + _SETTINGS_SECONDS
    while True:
        loaded = platform_settings.load()
        if (
            not failure.is_failure(loaded)
            or loaded.code == codes.MISSING_KEY
            or time.monotonic() >= deadline
        ):
            return loaded
        gevent.sleep(_SETTINGS_RETRY_SECONDS)


def run() -> int:
    """Run a router; return the exit code."""
    gc.freeze()
    loaded = _load_settings()
    if failure.is_failure(loaded):
        print(f"daisypickd: {loaded.code.number} {loaded.reason}")
        return 2
    RouterProcess(settings=loaded, rng=random.Random()).run()
    return 0
