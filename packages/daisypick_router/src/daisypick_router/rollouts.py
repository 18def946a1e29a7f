"""This router's part in the roll-outs of services' versions.

Reports how the servers of both versions answer to the router that decides, and
passes on the state of each roll-out as soon as it hears of a later one.

See Also:
    daisypick_core.rollout: the decisions.
    version_choice: the version that a request goes to.
    answer_counts: the counts that are reported.
    rollout_host: the router that decides.
"""

from collections.abc import Callable
import time

import gevent

from daisypick_core.rollout import evidence as evidences
from daisypick_core.rollout import order as orders
from daisypick_core.rollout import state as states
from daisypick_core.serving import directory as directories
from daisypick_router import answer_counts
from daisypick_router import crash_probe
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import peer_messages
from daisypick_router import rollout_progress
from daisypick_router import version_choice

# Interval of the reports, by which a fault is found later. In a large fleet
# the one that decides gets this many reports per second.
_MIN_REPORT_SECONDS = 0.25
_MAX_REPORT_SECONDS = 1.5
_REPORTS_PER_SECOND = 450.0
# Ended orders that are remembered. A store that is restored from a backup may
# bring one of them back without its outcome.
_MAX_ENDED = 64

_Sender = Callable[[peer_messages.RolloutNotice], None]


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

    Attributes:
        process: The same process.
        choice: Chooses the version of each request.
        answers: Counts the answers.
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
        self._log = log
        self._records = rollout_progress.Records(share=share)
        self.choice = version_choice.VersionChoice(
            records=self._records, directory=directory
        )
        self.answers = answer_counts.AnswerCounts(
            records=self._records, directory=directory, probe=probe
        )
        self._outcome_by_order: dict[orders.Order, states.Phase] = {}
        self._senders: list[_Sender] = []
        self._deliver: Callable[[peer_messages.RolloutReport], None] = _drop

    @property
    def is_active(self) -> bool:
        """Whether versions are rolled out on this platform."""
        return self._records.is_active

    @property
    def state_by_service(self) -> dict[str, states.RolloutState]:
        """State of the newest roll-out of each service."""
        return self._records.state_by_service

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
            loops.spawn(self._run_reports, count_routers)

    def find_in_force(self, service: str) -> str:
        """Return the version that gets the requests which test no other."""
        return self.choice.find_in_force(service)

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
            self._records.progress_by_service.pop(state.service, None)
        elif known is None or known.number != state.number:
            self._records.progress_by_service[state.service] = (
                rollout_progress.Progress(
                    started_at=time.monotonic() - age, share=self._records.share
                )
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
        progress = self._records.progress_by_service.get(service)
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
        progress = self._records.progress_by_service.get(service)
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
        progress = self._records.progress_by_service[state.service]
        evidence, progress.evidence = progress.evidence, evidences.Evidence()
        running = sum(
            count
            for (service, version), count in self._records.running.items()
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
