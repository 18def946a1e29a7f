"""Chooses the version whose servers a request goes to.

A share of the first tries tests the target of a roll-out; all others go to the
version in force.
"""

import time
import typing

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.rollout import exposure as exposures
from daisypick_core.rollout import state as states
from daisypick_core.rollout import versions
from daisypick_core.serving import backend_server
from daisypick_core.serving import directory as directories
from daisypick_router import context as contexts
from daisypick_router import rollout_progress

# Age of the newest state from the one that decides up to which a version is
# tested: without contact, nobody would stop the test.
_MAX_NOTICE_AGE_SECONDS = 2.0
# Largest number of servers of a version from which those of the probe are
# chosen: a request names those to avoid.
_MAX_CHOSEN_FROM = 64
# Seconds after which a caller may ask again for a version that is tested.
_RETRY_AFTER = 0.5


class _InForce(typing.NamedTuple):
    """The version in force for a list of servers and a state."""

    ready: list[backend_server.BackendServer]
    state: states.RolloutState | None
    version: str


class VersionChoice:
    """Chooses versions by what is known of the roll-outs.

    Args:
        records: What is known of the roll-outs.
        directory: The backend servers.
    """

    def __init__(
        self,
        *,
        records: rollout_progress.Records,
        directory: directories.Directory,
    ) -> None:
        self._records = records
        self._directory = directory
        self._in_force_by_service: dict[str, _InForce] = {}

    def find_in_force(self, service: str) -> str:
        """Return the version that gets the requests which test no other."""
        ready = self._directory.find_ready(service)
        state = self._records.state_by_service.get(service)
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
        if not self._records.is_active:
            return
        service = context.service
        if context.origin is not None:
            self._choose_origin(context, context.origin.version)
            return
        version = self.find_in_force(service.name)
        context.tests_version = False
        state = self._records.state_by_service.get(service.name)
        if (
            state is not None
            and state.is_testing
            and not context.tried_servers
            and self._may_test(context, state)
        ):
            version = state.target
            context.tests_version = True
        context.pool = service._replace(version=version)

    def _choose_origin(self, context: contexts.Context, version: str) -> None:
        """Let a stream go on at its version, within the share of a test."""
        state = self._records.state_by_service.get(context.service.name)
        context.pool = context.service._replace(version=version)
        context.tests_version = (
            state is not None
            and state.is_testing
            and version == state.target
            and self._may_test(context, state)
        )

    def refuse(self, context: contexts.Context) -> failure.Failure | None:
        """Return the refusal of a stream whose version gets nothing now."""
        if not self.is_outdated(context):
            return None
        return failure.Failure(
            code=codes.NO_SERVER_OF_VERSION,
            reason=f"version {context.pool.version!r} is not in force",
            retry_after=_RETRY_AFTER,
        )

    def _may_test(
        self, context: contexts.Context, state: states.RolloutState
    ) -> bool:
        progress = self._records.progress_by_service[state.service]
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
        if not self._records.is_active:
            return False
        if not context.tests_version:
            version = self.find_in_force(context.service.name)
            return context.pool.version != version
        state = self._records.state_by_service[context.service.name]
        return not state.is_testing or context.pool.version != state.target

    def skip_test(self, context: contexts.Context) -> None:
        """Let a request go to the version in force: no other can take it."""
        progress = self._records.progress_by_service.get(context.service.name)
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
        state = self._records.state_by_service.get(context.service.name)
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
