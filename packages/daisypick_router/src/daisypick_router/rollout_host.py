"""Decides on the roll-outs of all services, in the router that hosts them.

The host follows the orders in the platform's store, decides by what all routers
report, and writes the outcome. Any router may become the host, also two at a
time in a partition. Of their decisions the one counts that the store accepts:
an outcome is written only on the order as it was read, and a host whose write
is refused reads what another one has written.

A write whose answer is lost may be applied later. So a host that has tried to
write that a version has succeeded does not take the traffic back any more; it
repeats the write until it knows the outcome.
"""

from collections.abc import Callable
import time

import gevent

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.rollout import decider as deciders
from daisypick_core.rollout import evidence as evidences
from daisypick_core.rollout import order as orders
from daisypick_core.rollout import state as states
from daisypick_platform import rollouts as rollout_orders
from daisypick_platform import store as stores
from daisypick_router import discovery as discoveries
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import membership as memberships
from daisypick_router import peer_messages
from daisypick_router import rollouts as rollout_records

# Name in the order of hosts; no service has it.
ORDER_KEY = "/rollouts"
# Kind of the objects that keep the version in force of each service, for
# routers that all restart after the order was deleted.
APPROVALS_KIND = "daisypick-versions"

# Time in which the other routers connect to a new host and tell it the states
# that they know.
_SETTLE_SECONDS = 0.6
_WATCH_SECONDS = 2.0
_RETRY_SECONDS = 0.3
_APPROVAL_SECONDS = 0.3
_DECIDE_SECONDS = 0.2
# Pause after a decision as a multiple of the time that it took: with thousands
# of servers the evidence takes a tenth of a second to compare.
_DECIDE_PAUSES = 4.0
# Share of the slots in force that the target's servers must have.
_MIN_CAPACITY_SHARE = 0.8


class RolloutHost:
    """Follows the orders and decides while this router is the host.

    ``is_host()`` returns whether it is; ``rollouts`` are this router's records,
    which also tell the others what is decided here.
    """

    def __init__(
        self,
        *,
        store: stores.StoreClient,
        discovery: discoveries.Discovery,
        rollouts: rollout_records.Rollouts,
        membership: memberships.Membership,
        is_host: Callable[[], bool],
        log: logs.Log,
    ) -> None:
        self._store = store
        self._discovery = discovery
        self._rollouts = rollouts
        self._membership = membership
        self._is_host = is_host
        self._log = log
        self._decider_by_service: dict[str, deciders.Decider] = {}
        self._object_by_service: dict[str, stores.StoredObject] = {}
        # Services whose success was tried to be written, and those with a call
        # to the store. A store that is silent must not delay decisions.
        self._final: set[str] = set()
        self._writing: set[str] = set()
        self._approval_by_service: dict[str, str] = {}
        self._invalid: set[tuple[str, int]] = set()

    def start(self) -> None:
        """Start following the orders and deciding."""
        if self._rollouts.is_active:
            loops.spawn(self._follow)
            loops.spawn(self._run_decisions)
            loops.spawn(self._run_approvals)

    def receive(
        self, report: peer_messages.RolloutReport
    ) -> peer_messages.RolloutNotice | None:
        """Take a router's report; return the state to tell it."""
        decider = self._decider_by_service.get(report.service)
        if decider is not None and (
            (report.target, report.created)
            == (decider.state.target, decider.state.created)
        ):
            decider.note_report(
                deciders.Report(
                    router=report.process,
                    phase=report.phase,
                    running_elsewhere=report.running_elsewhere,
                    longest=report.longest,
                ),
                time.monotonic(),
            )
            for tally in report.tallies:
                _add_tally(decider, tally)
        if not self._is_host():
            return None
        return self._rollouts.find_notice(report.service)

    # Orders in the store.

    def _follow(self) -> None:
        position = None
        host_since = None
        while True:
            if not self._is_host() or not self._discovery.has_server_list:
                position, host_since = None, None
                self._object_by_service.clear()
                gevent.sleep(_RETRY_SECONDS)
                continue
            host_since = host_since or time.monotonic()
            if time.monotonic() - host_since < _SETTLE_SECONDS:
                gevent.sleep(_RETRY_SECONDS)
                continue
            if position is None:
                found = self._list()
            else:
                found = self._store.watch(
                    rollout_orders.KIND, position, _WATCH_SECONDS
                )
            if failure.is_failure(found):
                if found.code in (codes.HISTORY_GONE, codes.STORE_RESTORED):
                    position = None
                gevent.sleep(_RETRY_SECONDS)
                continue
            for stored in found.objects:
                self._apply_object(stored, found.position.era)
            position = found.position

    def _list(self) -> stores.Listing | failure.Failure:
        """List the approvals, then the orders."""
        approvals = self._store.list_kind(APPROVALS_KIND)
        if failure.is_failure(approvals):
            return approvals
        for stored in approvals.objects:
            self._apply_approval(stored, approvals.position.era)
        found = self._store.list_kind(rollout_orders.KIND)
        if not failure.is_failure(found):
            listed = {stored.name for stored in found.objects}
            for service in self._object_by_service.keys() - listed:
                self._withdraw(service)
        return found

    def _apply_approval(self, stored: stores.StoredObject, era: int) -> None:
        spec = stored.spec if isinstance(stored.spec, dict) else {}
        version = spec.get("version")
        if not isinstance(version, str):
            return
        self._approval_by_service[stored.name] = version
        if stored.name not in self._rollouts.state_by_service:
            self._merge_approval(stored.name, version, (era, stored.revision))

    def _merge_approval(
        self, service: str, version: str, number: tuple[int, int]
    ) -> None:
        self._rollouts.merge(
            states.RolloutState(
                service=service,
                number=number,
                in_force=version,
                target=version,
                created="",
                seconds=0.0,
                phase=states.Phase.SUCCEEDED,
            ),
            age=0.0,
        )

    def _apply_object(self, stored: stores.StoredObject, era: int) -> None:
        if stored.deleted:
            self._withdraw(stored.name)
            return
        order = rollout_orders.decode(stored)
        if not failure.is_failure(order):
            order = self._check_service(order)
        if failure.is_failure(order):
            self._log_invalid(stored, order)
            return
        state = self._rollouts.state_by_service.get(order.service)
        outcome = rollout_orders.decode_outcome(stored, order)
        is_of_order = state is not None and _is_of_order(state, order)
        ended = self._rollouts.find_outcome(order)
        if ended is not None and not is_of_order:
            # A restored store has brought an earlier order back.
            self._object_by_service.pop(order.service, None)
            self._write_ended(stored, order, ended)
            return
        self._object_by_service[order.service] = stored
        age = self._rollouts.find_age(order.service) if is_of_order else 0.0
        if not is_of_order:
            number = (era, stored.revision)
            if state is not None and state.number >= number:
                # An approval that was written while the order waited.
                number = (state.number[0], state.number[1] + 1)
            state = states.RolloutState(
                service=order.service,
                number=number,
                in_force=self._rollouts.find_in_force(order.service),
                target=order.target,
                created=order.created,
                seconds=order.seconds,
                phase=states.Phase.CANARY,
            )
            self._decider_by_service.pop(order.service, None)
            self._final.discard(order.service)
        if outcome is not None:
            state = states.find_later(state, state._replace(phase=outcome))
        self._rollouts.merge(state, age=age)

    def _write_ended(
        self,
        stored: stores.StoredObject,
        order: orders.Order,
        phase: states.Phase,
    ) -> None:
        """Write the outcome of an order that ended before the present one."""
        if rollout_orders.decode_outcome(stored, order) is phase:
            return
        written = self._store.replace_status(
            rollout_orders.KIND,
            stored,
            rollout_orders.encode_outcome(order, phase),
        )
        if failure.is_failure(written):
            self._log_unwritten(order.service, written)

    def _check_service(
        self, order: orders.Order
    ) -> orders.Order | failure.Failure:
        configuration = self._discovery.configuration
        services = configuration.service_by_name if configuration else {}
        if order.service in services:
            return order
        return failure.Failure(
            code=codes.BAD_VALUE,
            reason=f"roll-out {order.service}: the service is not configured",
        )

    def _log_invalid(
        self, stored: stores.StoredObject, reason: failure.Failure
    ) -> None:
        if (stored.name, stored.revision) not in self._invalid:
            self._invalid = {
                known for known in self._invalid if known[0] != stored.name
            }
            self._invalid.add((stored.name, stored.revision))
            self._log.write(
                "rollout", "Left an invalid order alone.", reason=reason.reason
            )

    def _withdraw(self, service: str) -> None:
        """Take the traffic back from the target of an order that is gone."""
        self._object_by_service.pop(service, None)
        state = self._rollouts.state_by_service.get(service)
        if state is not None and not state.has_ended:
            self._log.write(
                "rollout",
                "An order was deleted before it had ended.",
                service=service,
                target=state.target,
            )
            self._rollouts.merge(
                state._replace(phase=states.Phase.ROLLED_BACK),
                age=self._rollouts.find_age(service),
            )

    # Decisions.

    def _run_decisions(self) -> None:
        pause = _DECIDE_SECONDS
        while True:
            gevent.sleep(pause)
            if not self._is_host():
                self._decider_by_service.clear()
                self._final.clear()
                continue
            begun_at = time.monotonic()
            for service, stored in list(self._object_by_service.items()):
                self._decide(service, stored)
            seconds = time.monotonic() - begun_at
            pause = min(max(_DECIDE_SECONDS, seconds * _DECIDE_PAUSES), 1.0)

    def _run_approvals(self) -> None:
        while True:
            gevent.sleep(_APPROVAL_SECONDS)
            if self._is_host():
                self._keep_approvals()

    def _decide(self, service: str, stored: stores.StoredObject) -> None:
        state = self._rollouts.state_by_service.get(service)
        if state is None or state.created != stored.created:
            return
        decider = self._find_decider(state)
        if not state.has_ended and service not in self._final:
            self._advance(decider, state)
        if service not in self._writing:
            self._writing.add(service)
            gevent.spawn(self._write_outcome, service, decider)

    def _find_decider(self, state: states.RolloutState) -> deciders.Decider:
        decider = self._decider_by_service.get(state.service)
        if decider is None or not decider.state.is_of_same_order(state):
            now = time.monotonic()
            decider = deciders.Decider(
                state=state,
                started_at=now - self._rollouts.find_age(state.service),
                heard_at=now,
            )
            self._decider_by_service[state.service] = decider
        decider.merge(state)
        return decider

    def _advance(
        self, decider: deciders.Decider, state: states.RolloutState
    ) -> None:
        phase = decider.decide(
            now=time.monotonic(), has_capacity=self._has_capacity(state)
        )
        if phase is not state.phase:
            self._log.write(
                "rollout",
                "Answers of both versions.",
                service=state.service,
                target=state.target,
                rows=decider.describe_answers(),
            )
        if phase is states.Phase.ROLLED_BACK:
            self._log.write(
                "rollout",
                "A version is rolled back.",
                service=state.service,
                target=state.target,
                reason=decider.reason,
            )
        self._rollouts.merge(
            decider.state, age=self._rollouts.find_age(state.service)
        )

    def _has_capacity(self, state: states.RolloutState) -> bool:
        directory = self._discovery.directory
        configuration = self._discovery.configuration
        service = configuration and configuration.service_by_name.get(
            state.service
        )
        cold_seconds = service.cold_seconds if service else 0.0
        now = time.monotonic()
        slots = {state.in_force: 0, state.target: 0}
        for server in directory.find_ready(state.service):
            is_warm = directory.find_cold_until(server, cold_seconds) <= now
            if server.version in slots and is_warm:
                slots[server.version] += server.slots
        needed = slots[state.in_force] * _MIN_CAPACITY_SHARE
        return slots[state.target] >= max(needed, 1.0)

    def _write_outcome(self, service: str, decider: deciders.Decider) -> None:
        try:
            self._write_state(service, decider)
        finally:
            self._writing.discard(service)

    def _write_state(self, service: str, decider: deciders.Decider) -> None:
        """Write the state of a roll-out, if the store lacks it."""
        stored = self._object_by_service.get(service)
        state = decider.state
        if state.phase is states.Phase.MOVING and (
            service in self._final
            or decider.has_moved(
                now=time.monotonic(), routers=self._membership.routers
            )
        ):
            self._final.add(service)
            state = state._replace(phase=states.Phase.SUCCEEDED)
        if stored is None or rollout_orders.has_status(stored, state):
            return
        written = self._store.replace_status(
            rollout_orders.KIND, stored, rollout_orders.encode_status(state)
        )
        if failure.is_failure(written):
            self._log_unwritten(service, written)
            if written.code is codes.PLATFORM_CONFLICT:
                self._read_again(service)
            return
        self._object_by_service[service] = written
        self._rollouts.merge(state, age=self._rollouts.find_age(service))

    def _log_unwritten(self, service: str, reason: failure.Failure) -> None:
        self._log.write(
            "rollout",
            "Could not write the state of a roll-out.",
            service=service,
            reason=reason.reason,
        )

    def _read_again(self, service: str) -> None:
        """Apply what another host or the operator has written."""
        found = self._store.list_kind(rollout_orders.KIND)
        if failure.is_failure(found):
            return
        self._final.discard(service)
        for stored in found.objects:
            if stored.name == service:
                self._apply_object(stored, found.position.era)

    def _keep_approvals(self) -> None:
        """Write the version in force of each service, if the store lacks it."""
        configuration = self._discovery.configuration
        if configuration is None or not self._discovery.has_server_list:
            return
        for service in configuration.service_by_name:
            state = self._rollouts.state_by_service.get(service)
            if state is not None and not state.has_ended:
                continue
            version = self._rollouts.find_in_force(service)
            if not self._discovery.directory.find_ready(service):
                continue
            if self._approval_by_service.get(service) != version:
                self._write_approval(service, version)

    def _write_approval(self, service: str, version: str) -> None:
        spec = {"version": version}
        written = self._store.create(APPROVALS_KIND, service, spec)
        if failure.is_failure(written) and written.code is (
            codes.PLATFORM_CONFLICT
        ):
            written = self._store.replace(APPROVALS_KIND, service, spec)
        if failure.is_failure(written):
            self._log.write(
                "rollout",
                "Could not store the version in force.",
                service=service,
                reason=written.reason,
            )
            return
        self._approval_by_service[service] = version
        if service not in self._rollouts.state_by_service:
            number = (self._store.eras.newest, written.revision)
            self._merge_approval(service, version, number)


def _add_tally(
    decider: deciders.Decider, tally: peer_messages.WireTally
) -> None:
    route, is_target, server, answers, failures, first, pace = tally
    decider.add_tally(
        route,
        server,
        evidences.Tally(
            answers=answers, failures=failures, first=first, pace=pace
        ),
        is_target=is_target,
    )


def _is_of_order(state: states.RolloutState, order: orders.Order) -> bool:
    return (state.target, state.created, state.seconds) == (
        order.target,
        order.created,
        order.seconds,
    )
