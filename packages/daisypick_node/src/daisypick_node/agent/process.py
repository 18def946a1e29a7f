"""The agent process, started by ``daisypickd agent``."""

from collections.abc import Callable
import random
import time
import typing
import uuid

from daisypick_core.fairness import share_order
from daisypick_core.gate import admission
from daisypick_core.gate import concurrency
from daisypick_core.gate import drain_state
from daisypick_core.gate import gate as core_gate
from daisypick_node import process
from daisypick_node import settings as settings_module
from daisypick_node.agent import attempt_routes
from daisypick_node.agent import claim_service
from daisypick_node.agent import driver as driver_module
from daisypick_node.agent import idle_notifier
from daisypick_node.agent import response_replay
from daisypick_node.agent import responses
from daisypick_node.agent import runner
from daisypick_node.agent import tally_service
from daisypick_node.http import client
from daisypick_node.http import routes
from daisypick_node.platform import interface


class AgentProcess(process.Process):
    """The process that controls admission to one backend server."""

    kind = "agent"
    settings: settings_module.AgentSettings

    def __init__(
        self,
        *,
        settings: settings_module.AgentSettings,
        platform: interface.PlatformClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(settings=settings, platform=platform, clock=clock)
        self.order = share_order.ShareOrder(share_by_organisation={})
        self.gate = core_gate.Gate(
            incarnation=uuid.uuid4().hex,
            order=self.order,
            limit=concurrency.ConcurrencyLimit(slots=1, cold_slots=1),
        )
        self._pool = client.ClientPool(timeout=settings.engine_timeout)
        self.claims = claim_service.ClaimService(
            name=settings.name,
            gate=self.gate,
            platform=platform,
            peers=self.peers,
            clock=clock,
            rng=random.Random(),
        )
        self.driver = self._make_driver()
        self.claims.connect(self.driver.perform)
        self.idle_notifier = idle_notifier.IdleNotifier(
            name=settings.name,
            gate=self.gate,
            peers=self.peers,
            rng=random.Random(),
        )
        self.tally = tally_service.TallyService(
            name=settings.name,
            incarnation=self.gate.incarnation,
            order=self.order,
            peers=self.peers,
            members=lambda: self.follower.directory.members(self.clock()),
            clock=self.clock,
            rng=random.Random(),
        )
        self._apply_drain_state()

    def _make_driver(self) -> driver_module.GateDriver:
        store = responses.ResponseStore(
            keep_seconds=self.settings.keep_answer_seconds,
            keep_bytes=self.settings.keep_answer_bytes,
        )
        return driver_module.GateDriver(
            gate=self.gate,
            store=store,
            runner=runner.Runner(
                pool=self._pool,
                gather_seconds=self.settings.gather_seconds,
                clock=self.clock,
                note_progress=self._note_progress,
                note_boot=self.gate.limit.boot_seen,
            ),
            claims=self.claims,
            response_replay=response_replay.ResponseReplay(
                store=store,
                pool=self._pool,
                fleet_key=settings_module.split_list(
                    self.settings.fleet_keys.get_secret_value()
                )[0],
                clock=self.clock,
            ),
            server="",
            clock=self.clock,
            record=self.record,
        )

    def _note_progress(self, attempt_id: str, tokens: int) -> None:
        self.driver.note_progress(attempt_id, tokens)

    def handlers(self) -> routes.Routes:
        """Return the handlers of the agent by route."""
        attempts = attempt_routes.AttemptRoutes(
            driver=self.driver,
            clock=self.clock,
            note_contact=self.note_contact,
        )
        return {
            **attempts.handlers(),
            **self.claims.handlers(),
            **self.tally.handlers(),
        }

    def on_start(self) -> None:
        """Register metrics for the load and the organisations' tokens."""
        self.metrics.add_organisation_gauge(
            "service_tokens",
            "Tokens served by organisation.",
            lambda: {
                name: account.served
                for name, account in self.order.accounts().items()
            },
        )
        self.metrics.add_gauge(
            "running", "Attempts that run.", lambda: self.gate.load().running
        )
        self.metrics.add_gauge(
            "waiting", "Attempts that wait.", lambda: self.gate.load().waiting
        )
        self.metrics.add_gauge(
            "limit", "Attempts that may run.", lambda: self.gate.load().limit
        )

    def on_tick(self) -> None:
        """Process timeouts and send the reports that are due."""
        self.driver.tick()
        self.claims.tick()
        self.idle_notifier.tick(self.clock())
        self.tally.tick()

    def on_configuration(self) -> None:
        """Apply shares, slots and the state of the data centre."""
        self.order.set_shares(
            {
                name: organisation.share
                for name, organisation in (
                    self.configuration.organisations_by_name.items()
                )
            }
        )
        self.idle_notifier.set_configuration(self.configuration)
        self.tally.set_configuration(self.configuration)
        self.claims.set_configuration(self.configuration)
        server = self.configuration.backend_servers_by_name.get(
            self.settings.name
        )
        if server is not None:
            self.driver.server = server.address
            self.gate.limit.set_slots(
                slots=server.slots, cold_slots=server.cold_slots
            )
        self._apply_drain_state()

    def _apply_drain_state(self) -> None:
        state = drain_state.derive(
            self.configuration,
            self.settings.name,
            is_vm_leaving=self.vm_watch.is_leaving,
        )
        self.driver.apply_drain_state(state)

    def on_leaving(self) -> None:
        """Refuse queued attempts; running ones complete."""
        self._apply_drain_state()

    def on_drain(self) -> None:
        """Refuse queued attempts."""
        self.driver.drain(admission.SHUTDOWN)

    def is_idle(self) -> bool:
        """Return whether no attempt, reader or key release is pending."""
        return (
            self.gate.running_count == 0
            and not self.driver.responses.has_readers()
            and self.claims.is_idle()
        )

    def stop(self) -> None:
        """Stop without draining."""
        self.tally.stop()
        super().stop()
        self._pool.close()

    def describe(self) -> dict[str, typing.Any]:
        """Return the state of the agent for a state dump."""
        return {
            "name": self.settings.name,
            "incarnation": self.gate.incarnation,
            "load": self.gate.load()._asdict(),
            "draining": self.gate.admission.reasons,
            "server": self.driver.server,
            "claims": self.claims.describe(),
            "tally": self.tally.describe(),
        }
