"""Counts how the servers of both versions of a roll-out answer."""

import time
import typing

import gevent

from daisypick_core.rollout import evidence as evidences
from daisypick_core.rollout import state as states
from daisypick_core.serving import backend_server
from daisypick_core.serving import directory as directories
from daisypick_router import context as contexts
from daisypick_router import crash_probe
from daisypick_router import rollout_progress


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


class AnswerCounts:
    """Counts requests and answers in the records of the roll-outs.

    Args:
        records: What is known of the roll-outs.
        directory: The backend servers.
        probe: Tells whether a server has ended.
    """

    def __init__(
        self,
        *,
        records: rollout_progress.Records,
        directory: directories.Directory,
        probe: crash_probe.CrashProbe,
    ) -> None:
        self._records = records
        self._directory = directory
        self._probe = probe
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

    def note_sent(
        self,
        context: contexts.Context,
        server: backend_server.BackendServer,
    ) -> Sent:
        """Count a request that is sent to a server now."""
        now = time.monotonic()
        service = context.service
        self._records.running[service.name, server.version] += 1
        progress = self._records.progress_by_service.get(service.name)
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
        self._records.running[key] -= 1
        if not self._records.running[key]:
            del self._records.running[key]
        progress = self._records.progress_by_service.get(sent.service)
        if progress is None:
            return
        if not reached:
            progress.exposure.note_lost(sent.route)
        if (
            sent.server.version
            != self._records.state_by_service[sent.service].target
        ):
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
        progress = self._records.progress_by_service.get(sent.service)
        if progress is None or sent.at < progress.started_at:
            return
        state = self._records.state_by_service[sent.service]
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
        if sent.service in self._records.progress_by_service:
            gevent.spawn(self._judge_break, sent)

    def _judge_break(self, sent: Sent) -> None:
        listed = self._directory.server_by_name.get(sent.server.name)
        if listed is None or listed.born != sent.server.born:
            return
        if not self._probe.has_ended(sent.server, sent_at=sent.at):
            self.note_answer(sent, failed=True)
