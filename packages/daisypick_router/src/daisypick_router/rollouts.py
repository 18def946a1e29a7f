"""This router's part in the roll-outs of services' versions.

Chooses the version that a request goes to, counts how the servers of both
versions answer, reports that to the router that decides, and passes on the
state of each roll-out as soon as it hears of a later one.

See Also:
    daisypick_core.rollout: the decisions.
    rollout_host: the router that decides.
"""

import collections
from collections.abc import Callable
import time
import typing

import gevent

from daisypick_core.rollout import evidence as evidences
from daisypick_core.rollout import exposure as exposures
from daisypick_core.rollout import order as orders
from daisypick_core.rollout import state as states
from daisypick_core.rollout import versions
from daisypick_core.serving import backend_server
from daisypick_core.serving import directory as directories
from daisypick_router import context as contexts
from daisypick_router import crash_probe
from daisypick_router import log as logs
from daisypick_router import peer_messages

# Interval of the reports, by which a fault is found later. In a large fleet
# the one that decides gets this many reports per second.
_MIN_REPORT_SECONDS = 0.25
_MAX_REPORT_SECONDS = 1.5
_REPORTS_PER_SECOND = 450.0
# Age of the newest state from the one that decides up to which a version is
# tested: without contact, nobody would stop the test.
_MAX_NOTICE_AGE_SECONDS = 2.0
# Largest number of servers of a version from which those of the probe are
# chosen: a request names those to avoid.
_MAX_CHOSEN_FROM = 64

# Ended orders that are remembered. A store that is restored from a backup may
# bring one of them back without its outcome.
_MAX_ENDED = 64

_Sender = Callable[[peer_messages.RolloutNotice], None]


class Sent(typing.NamedTuple):
    """A request that was sent to a server.

    Attributes:
        service: Name of the service.
        route: Name of the route.
        server: The server.
        at: When it was sent.
        is_warm: Whether the server is not in a cold start.
    """

    service: str
    route: str
    server: backend_server.BackendServer
    at: float
    is_warm: bool


class _InForce(typing.NamedTuple):
    """The version in force for a list of servers and a state."""

    ready: list[backend_server.BackendServer]
    state: states.RolloutState | None
    version: str


class _Progress:
    """What this router has seen of one roll-out.

    Attributes:
        started_at: When the order was given.
        heard_at: When the one that decides last told the state.
        exposure: Requests that may test the target.
        evidence: Answers since the last report.
        longest: Longest duration of a request at another version.
    """

    def __init__(self, *, started_at: float, share: float) -> None:
        self.started_at = started_at
        self.heard_at = time.monotonic()
        self.exposure = exposures.Exposure(share=share)
        self.evidence = evidences.Evidence()
        self.longest = 0.0


class Rollouts:
    """States of the roll-outs, and this router's requests in them.

    Args:
        share: Share of a service's requests that a version may get before it
            is approved. With zero there are no roll-outs, and all servers of a
            service are alike.
        process: Identifies this process.
        directory: The backend servers.
        probe: Tells whether a server has ended.
        log: The log.
    """

    def __init__(
        self,
        *,
        share: float,
        process: str,
        directory: directories.Directory,
        probe: crash_probe.CrashProbe,
        log: logs.Log,
    ) -> None:
        self.process = process
        self._share = share
        self._directory = directory
        self._probe = probe
        self._log = log
        self.state_by_service: dict[str, states.RolloutState] = {}
        self._progress_by_service: dict[str, _Progress] = {}
        self._in_force_by_service: dict[str, _InForce] = {}
        # Servers of the version in force that are compared with the target's,
        # for a list of servers and a state.
        self._reference_by_service: dict[
            str,
            tuple[
                list[backend_server.BackendServer],
                states.RolloutState,
                frozenset[str],
            ],
        ] = {}
        self._running: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._outcome_by_order: dict[orders.Order, states.Phase] = {}
        self._senders: list[_Sender] = []
        self._deliver: Callable[[peer_messages.RolloutReport], None] = _drop

    @property
    def is_active(self) -> bool:
        """Whether versions are rolled out on this platform."""
        return self._share > 0.0

    def add_sender(self, sender: _Sender) -> None:
        """Call ``sender(message)`` with states for other routers."""
        self._senders.append(sender)

    def start(
        self,
        *,
        count_routers: Callable[[], int],
        deliver: Callable[[peer_messages.RolloutReport], None],
    ) -> None:
        """Start reporting; ``deliver`` takes a report to the decider."""
        self._deliver = deliver
        if self.is_active:
            gevent.spawn(self._run_reports, count_routers)

    # Which version a request goes to.

    def find_in_force(self, service: str) -> str:
        """Return the version that gets the requests which test no other."""
        ready = self._directory.find_ready(service)
        state = self.state_by_service.get(service)
        known = self._in_force_by_service.get(service)
        if known is not None and known.ready is ready and known.state is state:
            return known.version
        version = versions.find_in_force(
            listed=[server.version for server in ready], state=state
        )
        self._in_force_by_service[service] = _InForce(ready, state, version)
        return version

    def choose(self, context: contexts.Context) -> None:
        """Set the version that the next try of a request may use.

        Only the first try may test a version: a request that has failed once
        goes where it is known to work.
        """
        if not self.is_active:
            return
        service = context.service
        version = self.find_in_force(service.name)
        context.tests_version = False
        state = self.state_by_service.get(service.name)
        if (
            state is not None
            and state.is_testing
            and not context.tried_servers
            and self._may_test(context, state)
        ):
            version = state.target
            context.tests_version = True
        context.pool = service._replace(version=version)

    def _may_test(
        self, context: contexts.Context, state: states.RolloutState
    ) -> bool:
        progress = self._progress_by_service[state.service]
        now = time.monotonic()
        if now - progress.heard_at > _MAX_NOTICE_AGE_SECONDS:
            return False
        if not self._find_target_servers(state):
            return False
        is_probe = state.phase is states.Phase.PROBE
        if is_probe:
            passed = max(now - progress.started_at, 1e-3)
            progress.exposure.add_advance(
                remaining=state.seconds / passed - 1.0
            )
        return progress.exposure.take(context.route.name, is_probe=is_probe)

    def _find_target_servers(
        self, state: states.RolloutState
    ) -> list[backend_server.BackendServer]:
        return [
            server
            for server in self._directory.find_ready(state.service)
            if server.version == state.target
        ]

    def is_outdated(self, context: contexts.Context) -> bool:
        """Return whether the version that was chosen gets nothing any more.

        A request that waited for a server must not reach one that stops as
        soon as all others have moved.
        """
        if not self.is_active:
            return False
        if not context.tests_version:
            version = self.find_in_force(context.service.name)
            return context.pool.version != version
        state = self.state_by_service[context.service.name]
        return not state.is_testing or context.pool.version != state.target

    def skip_test(self, context: contexts.Context) -> None:
        """Let a request go to the version in force: no other can take it."""
        progress = self._progress_by_service.get(context.service.name)
        if progress is not None:
            progress.exposure.give_back(context.route.name)
        context.tests_version = False
        context.pool = context.service._replace(
            version=self.find_in_force(context.service.name)
        )

    def find_avoided(self, context: contexts.Context) -> list[str]:
        """Return servers that a request which tests a version must not use.

        During the probe few servers get all such requests.
        """
        state = self.state_by_service.get(context.service.name)
        if (
            not context.tests_version
            or state is None
            or state.phase is not states.Phase.PROBE
        ):
            return []
        servers = self._find_target_servers(state)
        if len(servers) > _MAX_CHOSEN_FROM:
            return []
        probed = exposures.count_probed(len(servers))
        return [server.name for server in servers[probed:]]

    # How its servers answer.

    def note_sent(
        self,
        context: contexts.Context,
        server: backend_server.BackendServer,
    ) -> Sent:
        """Count a request that is sent to a server now."""
        now = time.monotonic()
        service = context.service
        self._running[service.name, server.version] += 1
        progress = self._progress_by_service.get(service.name)
        if progress is not None:
            progress.exposure.note_sent(context.route.name)
        cold_until = self._directory.find_cold_until(
            server, service.cold_seconds
        )
        return Sent(
            service=service.name,
            route=context.route.name,
            server=server,
            at=now,
            is_warm=cold_until <= now,
        )

    def note_end(self, sent: Sent, *, reached: bool) -> None:
        """Count the end of a request at a server, however it ended."""
        key = (sent.service, sent.server.version)
        self._running[key] -= 1
        if not self._running[key]:
            del self._running[key]
        progress = self._progress_by_service.get(sent.service)
        if progress is None:
            return
        if not reached:
            progress.exposure.note_lost(sent.route)
        if sent.server.version != self.state_by_service[sent.service].target:
            progress.longest = max(progress.longest, time.monotonic() - sent.at)

    def note_answer(
        self,
        sent: Sent,
        *,
        failed: bool,
        first: float | None = None,
        pace: float | None = None,
    ) -> None:
        """Count how a server answered a request; times are in seconds."""
        progress = self._progress_by_service.get(sent.service)
        if progress is None or sent.at < progress.started_at:
            return
        state = self.state_by_service[sent.service]
        is_target = sent.server.version == state.target
        if not is_target and sent.server.name not in (
            self._find_reference_servers(state)
        ):
            return
        progress.evidence.add(
            evidences.Answer(
                route=sent.route,
                server=sent.server.name,
                is_target=is_target,
                failed=failed,
                first=first if sent.is_warm else None,
                pace=pace if sent.is_warm else None,
            )
        )

    def _find_reference_servers(
        self, state: states.RolloutState
    ) -> frozenset[str]:
        ready = self._directory.find_ready(state.service)
        known = self._reference_by_service.get(state.service)
        if known is not None and known[0] is ready and known[1] is state:
            return known[2]
        servers = evidences.choose_reference_servers(
            server.name for server in ready if server.version == state.in_force
        )
        self._reference_by_service[state.service] = (ready, state, servers)
        return servers

    def note_break(self, sent: Sent) -> None:
        """Count a request whose answer broke off or never came.

        It counts as failed, unless the server has ended, which says nothing of
        its version.
        """
        if sent.service in self._progress_by_service:
            gevent.spawn(self._judge_break, sent)

    def _judge_break(self, sent: Sent) -> None:
        listed = self._directory.server_by_name.get(sent.server.name)
        if listed is None or listed.born != sent.server.born:
            return
        if not self._probe.has_ended(sent.server, sent_at=sent.at):
            self.note_answer(sent, failed=True)

    # What routers tell each other.

    def merge(self, state: states.RolloutState, *, age: float) -> None:
        """Apply a state; pass it on if it is later than the known one.

        Routers tell a state that is known already only while they decide on
        it, or as they connect.

        Args:
            state: The state.
            age: Seconds since the order was given.
        """
        if not self.is_active:
            return
        known = self.state_by_service.get(state.service)
        if states.find_later(known, state) is known:
            if known == state:
                self._note_heard(state.service)
            return
        self.state_by_service[state.service] = state
        if state.has_ended:
            self._remember(state)
        if state.phase is states.Phase.SUCCEEDED:
            self._progress_by_service.pop(state.service, None)
        elif known is None or known.number != state.number:
            self._progress_by_service[state.service] = _Progress(
                started_at=time.monotonic() - age, share=self._share
            )
        else:
            self._note_heard(state.service)
        self._log.write(
            "rollout",
            "A roll-out has reached a phase.",
            service=state.service,
            in_force=state.in_force,
            target=state.target,
            phase=state.phase.name,
            age=round(age, 3),
        )
        for sender in self._senders:
            sender(self._write_notice(state))

    def _remember(self, state: states.RolloutState) -> None:
        order = orders.Order(
            service=state.service,
            target=state.target,
            seconds=state.seconds,
            created=state.created,
        )
        self._outcome_by_order.pop(order, None)
        self._outcome_by_order[order] = state.phase
        if len(self._outcome_by_order) > _MAX_ENDED:
            del self._outcome_by_order[next(iter(self._outcome_by_order))]

    def find_outcome(self, order: orders.Order) -> states.Phase | None:
        """Return how an order has ended, if it is known to have."""
        return self._outcome_by_order.get(order)

    def _note_heard(self, service: str) -> None:
        progress = self._progress_by_service.get(service)
        if progress is not None:
            progress.heard_at = time.monotonic()

    def receive(self, message: peer_messages.RolloutNotice) -> None:
        """Apply another router's state."""
        self.merge(
            states.RolloutState(
                service=message.service,
                number=(message.era, message.revision),
                in_force=message.in_force,
                target=message.target,
                created=message.created,
                seconds=message.seconds,
                phase=message.phase,
            ),
            age=message.age,
        )

    def describe(self) -> list[peer_messages.RolloutNotice]:
        """Return all states for a router that has just connected."""
        return [
            self._write_notice(state)
            for state in self.state_by_service.values()
        ]

    def find_notice(self, service: str) -> peer_messages.RolloutNotice | None:
        """Return the state of a service's roll-out for another router."""
        state = self.state_by_service.get(service)
        return None if state is None else self._write_notice(state)

    def find_age(self, service: str) -> float:
        """Return the seconds since the order of a service was given."""
        progress = self._progress_by_service.get(service)
        if progress is None:
            return 0.0
        return time.monotonic() - progress.started_at

    def _write_notice(
        self, state: states.RolloutState
    ) -> peer_messages.RolloutNotice:
        return peer_messages.RolloutNotice(
            service=state.service,
            era=state.number[0],
            revision=state.number[1],
            in_force=state.in_force,
            target=state.target,
            created=state.created,
            seconds=state.seconds,
            phase=state.phase,
            age=round(self.find_age(state.service), 3),
        )

    def _run_reports(self, count_routers: Callable[[], int]) -> None:
        while True:
            pause = count_routers() / _REPORTS_PER_SECOND
            gevent.sleep(
                min(max(pause, _MIN_REPORT_SECONDS), _MAX_REPORT_SECONDS)
            )
            for state in list(self.state_by_service.values()):
                if not state.has_ended:
                    self._deliver(self._take_report(state))

    def _take_report(
        self, state: states.RolloutState
    ) -> peer_messages.RolloutReport:
        progress = self._progress_by_service[state.service]
        evidence, progress.evidence = progress.evidence, evidences.Evidence()
        running = sum(
            count
            for (service, version), count in self._running.items()
            if service == state.service and version != state.target
        )
        return peer_messages.RolloutReport(
            service=state.service,
            process=self.process,
            target=state.target,
            created=state.created,
            phase=state.phase,
            running_elsewhere=running,
            longest=round(progress.longest, 3),
            tallies=tuple(
                (
                    route,
                    is_target,
                    server,
                    tally.answers,
                    tally.failures,
                    tuple(tally.first.iterate()),
                    tuple(tally.pace.iterate()),
                )
                for route, is_target, server, tally in evidence.iterate()
            ),
        )


def _drop(report: peer_messages.RolloutReport) -> None:
    """Drop a report that is made before there is a way to the decider."""
    del report
