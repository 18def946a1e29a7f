"""The base class of the router and agent processes.

Each process serves health checks, metrics, a dump of its state and the recorded
events of a request, follows the configuration, and drains before it stops.
"""

from collections.abc import Callable
import random
import time
import typing
import urllib.parse

import gevent

from daisypick_core.configuration import model
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node import configuration_service
from daisypick_node import logs
from daisypick_node import metrics as metrics_module
from daisypick_node import records
from daisypick_node import settings as settings_module
from daisypick_node import vm_watch
from daisypick_node.http import keys as keys_module
from daisypick_node.http import peers as peers_module
from daisypick_node.http import routes
from daisypick_node.http import server as server_module
from daisypick_node.platform import interface

LIVE = "/health/live"
READY = "/health/ready"
DUMP = "/internal/dump"
EXPLAIN = "/internal/explain/"
TICK_SECONDS = 0.1
PEER_TIMEOUT = 2.0

_log = logs.PartLog("process")


class Process:
    """Base class of the router and agent processes."""

    kind = "process"

    def __init__(
        self,
        *,
        settings: settings_module.ProcessSettings,
        platform: interface.PlatformClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.record = records.RequestRecord()
        self.metrics = metrics_module.ProcessMetrics(part=self.kind)
        self.configuration = model.EMPTY
        self.is_draining = False
        fleet_keys = settings_module.split_list(
            settings.fleet_keys.get_secret_value()
        )
        operator_keys = settings_module.split_list(
            settings.operator_keys.get_secret_value()
        )
        self.keys = keys_module.Keys(fleet=fleet_keys, operator=operator_keys)
        self.peers = peers_module.Peers(
            fleet_key=fleet_keys[0],
            timeout=PEER_TIMEOUT,
            ca_file=settings.tls_ca or None,
        )
        self.follower = configuration_service.ConfigurationService(
            role=self.kind,
            data_centre=settings.data_centre,
            seeds=settings_module.split_list(settings.seeds),
            platform=platform,
            peers=self.peers,
            install=self.install,
            clock=clock,
            rng=random.Random(),
        )
        self.vm_watch = vm_watch.VmWatch(
            platform=platform,
            peers=self.peers,
            is_watcher=self.follower.is_watcher,
            members=lambda: self.follower.directory.members(self.clock()),
            set_leaving=lambda vms: self.follower.directory.set_leaving(vms),
            on_leaving=self.on_leaving,
            rng=random.Random(),
        )
        self._server: server_module.Server | None = None
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def address(self) -> str:
        """``host:port`` that peers use."""
        assert self._server is not None
        return self.settings.advertise or self._server.address

    def install(self, configuration: model.Configuration) -> None:
        """Activate a configuration if it is newer than the active one."""
        if configuration.generation <= self.configuration.generation:
            return
        self.configuration = configuration
        self.on_configuration()
        _log.say("Activated a configuration.", generation=self.generation)

    @property
    def generation(self) -> int:
        """Generation of the active configuration."""
        return self.configuration.generation

    def start(self) -> None:
        """Start the server and the background greenlets."""
        files = (self.settings.tls_certificate, self.settings.tls_key)
        self._server = server_module.Server(
            listen=self.settings.listen,
            routes={
                **self._common_routes(),
                **self.follower.handlers(),
                **self.vm_watch.handlers(),
                **self.handlers(),
            },
            keys=self.keys,
            limits=self.server_limits(),
            tls_files=files if files[0] else None,
            count_control=self.peers.traffic.count,
        )
        self._server.start()
        self._register_metrics()
        self.on_start()
        self.follower.start(self.address)
        self.spawn(self._tick_forever)
        self.spawn(self.vm_watch.run)
        _log.say("Listens.", part=self.kind, address=self.address)

    def note_contact(self, peer: str, generation: int) -> None:
        """Record a contact with a peer and its configuration generation."""
        self.follower.note_contact(peer, generation)

    def spawn(self, work: Callable[..., None], *arguments: object) -> None:
        """Start a greenlet that is killed when the process stops."""
        self._greenlets.append(gevent.spawn(work, *arguments))

    def drain(self) -> None:
        """Refuse new work and wait for running work, up to the timeout."""
        self.is_draining = True
        self.on_drain()
        deadline = self.clock() + self.settings.drain_timeout
        while not self.is_idle() and self.clock() < deadline:
            gevent.sleep(TICK_SECONDS)

    def stop(self) -> None:
        """Stop at once; call ``drain`` first to finish running work."""
        self.follower.stop()
        gevent.killall(self._greenlets)
        if self._server is not None:
            self._server.stop(timeout=0)
        self.peers.close()
        self.metrics.close()

    def handlers(self) -> routes.Routes:
        """Return the handlers by route of this kind of process."""
        raise NotImplementedError

    def server_limits(self) -> server_module.ServerLimits:
        """Return the limits of the server's connections."""
        return server_module.ServerLimits()

    def on_start(self) -> None:
        """Start the background work of this kind of process."""

    def on_tick(self) -> None:
        """Do the periodic work, once per ``TICK_SECONDS``."""

    def on_configuration(self) -> None:
        """Apply the active configuration."""

    def on_leaving(self) -> None:
        """Drain, since the platform is about to remove this VM."""
        self.is_draining = True
        self.on_drain()

    def on_drain(self) -> None:
        """Stop accepting new work."""

    def is_idle(self) -> bool:
        """Return whether no work is running or queued."""
        raise NotImplementedError

    def is_ready(self) -> bool:
        """Return whether the process accepts work."""
        return not self.is_draining and self.generation > 0

    def describe(self) -> dict[str, typing.Any]:
        """Return the state of this kind of process for a dump."""
        return {}

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            self.on_tick()

    def _register_metrics(self) -> None:
        traffic = self.peers.traffic
        self.metrics.add_gauge(
            "generation",
            "Generation of the configuration in force.",
            lambda: self.generation,
        )
        self.metrics.add_gauge(
            "ready", "1 if the process takes work.", lambda: self.is_ready()
        )
        self.metrics.add_counter(
            "control_messages",
            "Control exchanges, sent and received.",
            lambda: traffic.messages,
        )
        self.metrics.add_counter(
            "control_bytes",
            "Bytes of control exchanges, both directions.",
            lambda: traffic.bytes,
        )
        self.metrics.add_counter(
            "cpu_seconds", "Processor time used.", time.process_time
        )

    def _common_routes(self) -> dict[routes.Route, routes.Handler]:
        return {
            routes.Route("GET", LIVE): self._serve_live,
            routes.Route("GET", READY): self._serve_ready,
            routes.Route("GET", DUMP): self._serve_dump,
            routes.Route("GET", EXPLAIN): self._serve_explain,
            routes.Route("GET", server_module.METRICS): self._serve_metrics,
        }

    def _serve_live(self, call: routes.Call) -> routes.Reply:
        del call
        return routes.reply_json({"live": True})

    def _serve_ready(self, call: routes.Call) -> routes.Reply:
        del call
        if self.is_ready():
            return routes.reply_json({"ready": True})
        code = codes.DRAINING if self.is_draining else codes.NOT_CONFIGURED
        return routes.reply_failure(
            failure_value.Failure(code=code, reason="process: not ready")
        )

    def _serve_dump(self, call: routes.Call) -> routes.Reply:
        del call
        return routes.reply_json(
            {
                "kind": self.kind,
                "address": self.address,
                "generation": self.generation,
                "is_draining": self.is_draining,
                "is_ready": self.is_ready(),
                "settings": settings_module.describe(self.settings),
                "control": {
                    "messages": self.peers.traffic.messages,
                    "bytes": self.peers.traffic.bytes,
                },
                "configuration": self.follower.describe(),
                **self.describe(),
            }
        )

    def _serve_explain(self, call: routes.Call) -> routes.Reply:
        request_id = urllib.parse.unquote(call.path[len(EXPLAIN) :])
        events = self.record.explain(request_id)
        if not events:
            return routes.reply_failure(
                failure_value.Failure(
                    code=codes.NOT_FOUND,
                    reason=f"request_id: {request_id} is not remembered here",
                )
            )
        return routes.reply_json(
            {
                "request_id": request_id,
                "address": self.address,
                "events": [event._asdict() for event in events],
            }
        )

    def _serve_metrics(self, call: routes.Call) -> routes.Reply:
        del call
        body = self.metrics.page()
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        return routes.Reply(status=200, headers=headers, body=body)
