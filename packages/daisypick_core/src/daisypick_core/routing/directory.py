"""The agents that a router knows, by address and by service.

Agents are suspended after failures, with exponential backoff. Agents that
drain with their data centre or VM are probed periodically, since a router is
not guaranteed to be notified when they accept work again.
"""

from collections.abc import Iterable
import random

from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import agents as agents_view
from daisypick_core.routing import backoff
from daisypick_core.routing import outliers
from daisypick_core.routing import request as request_value
from daisypick_core.routing import service_view
from daisypick_core.routing import timers

_FAILURE_BACKOFF = 1.0
_MAX_FAILURE_BACKOFF = 30.0
_DRAIN_PROBE = 5.0
_MAX_DRAIN_PROBE = 60.0
_UNCONFIGURED_PROBE = 1.0


class Directory:
    """The agents and services that one router knows."""

    def __init__(
        self, *, window: int, rng: random.Random, clock: timers.Timers
    ) -> None:
        self._window = window
        self._rng = rng
        self._timers = clock
        self._view_by_address: dict[str, agents_view.AgentView] = {}
        self._service_by_name: dict[str, service_view.ServiceView] = {}

    def service(self, name: str) -> service_view.ServiceView:
        """Return the view of a service, created at first use."""
        service = self._service_by_name.get(name)
        if service is None:
            service = service_view.ServiceView(window=self._window)
            self._service_by_name[name] = service
        return service

    def services(self) -> Iterable[service_view.ServiceView]:
        """Return all services."""
        return self._service_by_name.values()

    def find(self, address: str) -> agents_view.AgentView | None:
        """Return the view of an agent, ``None`` if it is not configured."""
        return self._view_by_address.get(address)

    def set_agents(
        self, addresses: Iterable[request_value.AgentAddress], now: float
    ) -> list[str]:
        """Set the configured agents; return those removed or out of service."""
        entries = {entry.address: entry for entry in addresses}
        removed = [
            address
            for address, view in list(self._view_by_address.items())
            if not self._update(view, entries.get(address), now)
        ]
        for address, entry in entries.items():
            if address not in self._view_by_address:
                self._add(entry, now)
        for service in self._service_by_name.values():
            service.update_ranking()
        return removed

    def record_load(
        self,
        view: agents_view.AgentView,
        load: load_message.Load,
        now: float,
    ) -> None:
        """Record the load report of an agent."""
        was_draining = view.is_draining
        view.record_load(load, now)
        if load.is_draining and not was_draining:
            self._schedule_probe(view, now)
        if not view.has_stale_timer:
            view.has_stale_timer = True
            self._schedule_age_check(view)
        self.refresh(view, now)

    def age_load(
        self, address: str, now: float
    ) -> service_view.ServiceView | None:
        """Mark a load report as stale if it is; return the service if so."""
        view = self._view_by_address.get(address)
        if view is None:
            return None
        if now < view.load_received_at + agents_view.STALE_LOAD:
            self._schedule_age_check(view)
            return None
        view.has_stale_timer = False
        view.is_stale = view.load is not None
        self.refresh(view, now)
        return self.service(view.service)

    def _schedule_age_check(self, view: agents_view.AgentView) -> None:
        self._timers.add(
            view.load_received_at + agents_view.STALE_LOAD,
            timers.AgeLoad(address=view.address),
        )

    def refresh(self, view: agents_view.AgentView, now: float) -> None:
        """Update the sets of the service that the agent belongs to."""
        self.service(view.service).refresh(view, now)

    def wake(self, address: str, now: float) -> service_view.ServiceView | None:
        """End an agent's suspension; return the service that it serves."""
        view = self._view_by_address.get(address)
        if view is None or view.suspended_until > now:
            return None
        if view.is_draining:
            view.forget()
        self.refresh(view, now)
        return self.service(view.service)

    def wake_room(
        self, timer: timers.WakeRoom, now: float
    ) -> service_view.ServiceView | None:
        """End the block of an organisation at an agent; return the service."""
        view = self._view_by_address.get(timer.address)
        if view is None:
            return None
        blocked_until = view.blocked_until_by_organisation
        if blocked_until.get(timer.organisation, now) <= now:
            blocked_until.pop(timer.organisation, None)
        service = self.service(view.service)
        service.refresh_room(view, timer.organisation, now)
        return service

    def note_refusal(
        self,
        view: agents_view.AgentView,
        organisation: str,
        refusal: failure_value.Failure,
        now: float,
    ) -> None:
        """Update the state of an agent from its refusal."""
        number = refusal.code.number
        if number == codes.AGENT_QUEUE_FULL.number:
            self._block(view, organisation, refusal.retry_after, now)
        elif number == codes.DRAINING.number:
            self._schedule_probe(view, now)
        elif number == codes.NOT_CONFIGURED.number:
            pause = _UNCONFIGURED_PROBE * self._rng.uniform(0.5, 1.5)
            self._suspend(view, pause, now)
        elif number not in (
            codes.WITHDRAWN.number,
            codes.STALE_INCARNATION.number,
            codes.STALE_EPOCH.number,
        ):
            self.note_failure(view, refusal, now)
        self.refresh(view, now)

    def note_failure(
        self,
        view: agents_view.AgentView,
        refusal: failure_value.Failure,
        now: float,
    ) -> None:
        """Suspend an agent that failed, with exponential backoff.

        One restart loses all attempts in flight at the agent. Counted one by
        one they would suspend it for many seconds although it accepts work
        again right after the restart. Failures during a suspension are
        therefore ignored: those attempts were sent before it.
        """
        if view.suspended_until > now:
            return
        pause = backoff.pause(
            view.failures,
            self._rng,
            base=_FAILURE_BACKOFF,
            max_mean=_MAX_FAILURE_BACKOFF,
        )
        view.failures += 1
        self._suspend(view, max(pause, refusal.retry_after or 0.0), now)
        self.refresh(view, now)

    def note_first_token(
        self, view: agents_view.AgentView, seconds: float, now: float
    ) -> None:
        """Record a time to first token; eject an agent that is slow."""
        service = self.service(view.service)
        service.typical_first_token.learn(seconds)
        view.note_first_token(seconds)
        view.failures = 0
        if view.first_token_samples < outliers.MIN_SAMPLES:
            return
        if not service.typical_first_token.is_outlier(view.first_token or 0.0):
            view.ejections = 0
            return
        pause = backoff.pause(
            view.ejections,
            self._rng,
            base=outliers.EJECTION_SECONDS,
            max_mean=outliers.MAX_EJECTION_SECONDS,
        )
        view.ejections += 1
        view.ejected_until = now + pause
        view.forget_first_tokens()
        self._timers.add(now + pause, timers.WakeAgent(address=view.address))
        self.refresh(view, now)

    def _suspend(
        self, view: agents_view.AgentView, pause: float, now: float
    ) -> None:
        view.suspended_until = max(view.suspended_until, now + pause)
        self._timers.add(
            view.suspended_until, timers.WakeAgent(address=view.address)
        )

    def _schedule_probe(self, view: agents_view.AgentView, now: float) -> None:
        if view.suspended_until > now:
            return
        pause = backoff.pause(
            view.drain_probes,
            self._rng,
            base=_DRAIN_PROBE,
            max_mean=_MAX_DRAIN_PROBE,
        )
        view.drain_probes += 1
        self._suspend(view, pause, now)

    def _block(
        self,
        view: agents_view.AgentView,
        organisation: str,
        retry_after: float | None,
        now: float,
    ) -> None:
        pause = (retry_after or 1.0) * self._rng.uniform(0.5, 1.5)
        view.blocked_until_by_organisation[organisation] = now + pause
        service = self.service(view.service)
        service.refresh_room(view, organisation, now)
        service.room(organisation, now).allowance.refused(now)
        self._timers.add(
            now + pause,
            timers.WakeRoom(address=view.address, organisation=organisation),
        )

    def _update(
        self,
        view: agents_view.AgentView,
        entry: request_value.AgentAddress | None,
        now: float,
    ) -> bool:
        """Update a known agent; return whether it still receives work."""
        if entry is None or entry.service != view.service:
            self.service(view.service).remove(view)
            del self._view_by_address[view.address]
            return False
        was_in = view.is_in
        view.is_in = entry.is_in
        view.data_centre = entry.data_centre
        if view.is_in and not was_in:
            # The state recorded before the data centre went out of service
            # is obsolete; the first response provides the new state.
            view.forget()
            view.suspended_until = 0.0
            view.drain_probes = 0
        self.refresh(view, now)
        return view.is_in

    def _add(self, entry: request_value.AgentAddress, now: float) -> None:
        view = agents_view.AgentView(
            address=entry.address,
            service=entry.service,
            data_centre=entry.data_centre,
            is_in=entry.is_in,
        )
        self._view_by_address[entry.address] = view
        self.refresh(view, now)
