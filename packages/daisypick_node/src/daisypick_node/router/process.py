"""The router process, ``daisypickd router``."""

import collections
from collections.abc import Callable
import random
import time
import typing

from daisypick_core.configuration import model
from daisypick_core.routing import dispatcher as core_dispatcher
from daisypick_node import process
from daisypick_node import settings as settings_module
from daisypick_node.http import client
from daisypick_node.http import routes
from daisypick_node.http import server as server_module
from daisypick_node.platform import interface
from daisypick_node.router import accounting
from daisypick_node.router import caller_routes
from daisypick_node.router import driver as driver_module
from daisypick_node.router import exchange as exchange_module
from daisypick_node.router import organisation_index


class RouterProcess(process.Process):
    """The router: callers' connections and the backlog."""

    kind = "router"
    settings: settings_module.RouterSettings

    def __init__(
        self,
        *,
        settings: settings_module.RouterSettings,
        platform: interface.PlatformClient,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__(settings=settings, platform=platform, clock=clock)
        self._pool = client.ClientPool(
            timeout=settings.progress_timeout, ca_file=settings.tls_ca or None
        )
        self._organisations = organisation_index.OrganisationIndex()
        self._applied = model.EMPTY
        self._open_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        self.accounting = accounting.Accounting(
            metrics=self.metrics,
            open_by_organisation=self._open_by_organisation,
            clock=clock,
        )
        self.driver = self._make_driver(rng or random.Random())

    def _make_driver(self, rng: random.Random) -> driver_module.DispatchDriver:
        return driver_module.DispatchDriver(
            dispatcher=core_dispatcher.Dispatcher(
                router=self.settings.advertise or self.settings.listen,
                rng=rng,
                policy=self.settings.pick_policy,
            ),
            pool=self._pool,
            peers=self.peers,
            fleet_key=self.keys.fleet[0],
            clock=self.clock,
            generation=lambda: self.generation,
            address=lambda: self.address,
            note_contact=self.note_contact,
            record=self.record,
        )

    def handlers(self) -> routes.Routes:
        """Return the router's handlers by route."""
        context = exchange_module.Context(
            configuration=lambda: self.configuration,
            organisation_by_hash=self._organisations.name_by_hash,
            open_by_organisation=self._open_by_organisation,
            request_timeout=self.settings.request_timeout,
        )
        callers = caller_routes.CallerRoutes(
            driver=self.driver,
            context=context,
            clock=self.clock,
            accounting=self.accounting,
            is_draining=lambda: self.is_draining,
            held_bytes_limit=self.settings.held_bytes,
        )
        return callers.handlers()

    def server_limits(self) -> server_module.ServerLimits:
        """Return the limits of callers' connections."""
        return server_module.ServerLimits(body_bytes=self.settings.body_bytes)

    def on_start(self) -> None:
        """Register the metrics of the backlog."""
        dispatcher = self.driver.dispatcher
        self.metrics.add_gauge(
            "queued", "Requests that wait.", lambda: dispatcher.queued_count
        )
        self.metrics.add_gauge(
            "in_flight",
            "Requests that are out at agents.",
            lambda: dispatcher.in_flight_count,
        )

    def on_tick(self) -> None:
        """Advance the dispatcher."""
        self.driver.tick()

    def on_configuration(self) -> None:
        """Apply the sections of the configuration that have changed.

        A change of one organisation keeps the objects of the other sections.
        Setting 3,300 agents again at each of 12,000 changes a day would delay
        every stream of the router.
        """
        configuration, applied = self.configuration, self._applied
        self._applied = configuration
        if (
            configuration.organisations_by_name
            is not applied.organisations_by_name
        ):
            self._apply_organisations()
        if (
            configuration.backend_servers_by_name
            is not applied.backend_servers_by_name
            or configuration.data_centres_by_name
            is not applied.data_centres_by_name
        ):
            self._apply_agents()

    def _apply_organisations(self) -> None:
        self._organisations.update(self.configuration.organisations_by_name)
        self.driver.dispatcher.set_queue_bounds(
            self._organisations.max_queued_by_name
        )

    def _apply_agents(self) -> None:
        configuration = self.configuration
        addresses = [
            core_dispatcher.AgentAddress(
                address=server.agent,
                service=server.service,
                data_centre=server.data_centre,
                is_in=configuration.data_centres_by_name[
                    server.data_centre
                ].is_in,
            )
            for server in configuration.backend_servers_by_name.values()
        ]
        self.driver.set_agents(addresses)
        self._pool.keep_only(frozenset(entry.address for entry in addresses))

    def on_drain(self) -> None:
        """Refuse new requests and finish the open ones."""
        self.driver.dispatcher.close()

    def is_idle(self) -> bool:
        """Return whether no request is open."""
        return self.driver.held_count == 0

    def stop(self) -> None:
        """Stop at once."""
        super().stop()
        self._pool.close()

    def describe(self) -> dict[str, typing.Any]:
        """Return the state of the backlog for a dump."""
        dispatcher = self.driver.dispatcher
        return {
            "held": self.driver.held_count,
            "queued": dispatcher.queued_count,
            "in_flight": dispatcher.in_flight_count,
            "requests": self.accounting.request_count,
            "refusals_by_code": dict(self.accounting.refusals_by_code),
            "tokens": sum(self.accounting.tokens_by_organisation.values()),
        }
