"""Keeps streams at the version of the software that began them.

The router that sends a caller the first event of a resumable stream binds the
stream to the version of its server. A caller may take it up at any router. That
one looks for what was noted; where nobody knows, a service that has had one
version only tells. Any other stream is refused: a guess would join events that
do not fit together.

See Also:
    stream_registry: what this router and others have noted.
    daisypick_core.serving.service_versions: what the list of servers tells.
"""

import random
import time

import gevent

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.serving import backend_server
from daisypick_core.serving import service_versions
from daisypick_core.serving import stream_origins
from daisypick_router import context as contexts
from daisypick_router import discovery as discoveries
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import metrics as metric_numbers
from daisypick_router import peer_messages
from daisypick_router import stream_registry

# Beyond the timeout of its route, until a caller takes up a stream no more.
_RETURN_SECONDS = 1.0
# Servers that the host is told for a stream that is taken up.
_MAX_NAMED_SERVERS = 64
# Beyond the age of a confirmed list, until a new version begins streams.
_ADMISSION_MARGIN_SECONDS = 0.5
# Interval at which versions are forgotten that have no server any more.
_FORGET_SECONDS = 1.0
# Seconds after which a caller may come back with a stream that was refused.
_RETRY_AFTER = 0.3


class StreamVersions:
    """Versions of the streams that this router begins or takes up.

    Args:
        discovery: The backend servers.
        registry: What is noted of streams.
        has_rollouts: Whether versions are rolled out, and are therefore not
            chosen here.
        log: The log.
        metrics: The metrics.
        rng: Randomness for the choice of servers that the host is told.
    """

    def __init__(
        self,
        *,
        discovery: discoveries.Discovery,
        registry: stream_registry.StreamRegistry,
        has_rollouts: bool,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
        rng: random.Random,
    ) -> None:
        self._discovery = discovery
        self._registry = registry
        self._has_rollouts = has_rollouts
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._versions_by_service: dict[
            str, service_versions.ServiceVersions
        ] = {}

    def start(self) -> None:
        """Start following which services have several versions."""
        loops.spawn(self._run)

    def _run(self) -> None:
        while True:
            gevent.sleep(_FORGET_SECONDS)
            self._update_registered()

    def update_servers(self) -> None:
        """Take the versions of each service from the list of servers."""
        configuration = self._discovery.configuration
        if configuration is None or not self._discovery.has_server_list:
            return
        now = time.monotonic()
        for service in configuration.service_by_name.values():
            if service.engine is None:
                continue
            known = self._versions_by_service.get(service.name)
            if known is None:
                known = service_versions.ServiceVersions(
                    admission_seconds=self._discovery.max_server_list_age
                    + _ADMISSION_MARGIN_SECONDS,
                )
                self._versions_by_service[service.name] = known
            known.set_stream_seconds(
                configuration.routes.find_longest_timeout(service.name)
                + _RETURN_SECONDS
            )
            known.update(
                self._discovery.directory.find_listed_versions(service.name),
                now,
            )
        for name in self._versions_by_service.keys() - (
            configuration.service_by_name.keys()
        ):
            del self._versions_by_service[name]
        self._update_registered()

    def _update_registered(self) -> None:
        """Register the streams of services with several versions.

        A small fleet registers all: so many of its routers may end at once
        that no other one has known a service for long enough.
        """
        now = time.monotonic()
        is_small = self._registry.is_fleet_small
        registered = frozenset(
            name
            for name, versions in self._versions_by_service.items()
            if is_small or versions.is_mixed(now)
        )
        if self._registry.set_services(registered):
            self._log.write(
                "streams",
                "Streams of these services are registered.",
                services=sorted(registered),
            )

    def note_began(
        self, context: contexts.Context, server: backend_server.BackendServer
    ) -> None:
        """Bind a resumable stream whose first events are about to be sent."""
        if not context.route.resumable:
            return
        if context.origin is None:
            context.origin = stream_origins.Origin(
                service=server.service, version=server.version
            )
        attempt = context.caller_headers.resumes or context.attempt
        self._registry.note(attempt, context.origin)

    def answer(
        self, question: peer_messages.AskOrigin
    ) -> peer_messages.OriginReply:
        """Return the reply to a router that takes up a stream."""
        noted = self._registry.find(question.attempt)
        origin = noted or self._infer(question.service)
        return peer_messages.OriginReply(
            number=question.number,
            service=origin.service if origin else "",
            version=origin.version if origin else "",
            noted=noted is not None,
        )

    def _infer(self, service: str) -> stream_origins.Origin | None:
        """Return the origin of any stream of a service with one version."""
        versions = self._versions_by_service.get(service)
        if (
            versions is None
            or self._discovery.server_list_age
            >= self._discovery.max_server_list_age
        ):
            return None
        only = versions.find_only(time.monotonic())
        return None if only is None else stream_origins.Origin(service, only)

    def bind(self, context: contexts.Context) -> failure.Failure | None:
        """Bind a stream that is taken up to the version that began it.

        Returns:
            The refusal if nobody knows that version, or if the route does not
            lead to its service any more.
        """
        caller_headers = context.caller_headers
        if not context.route.resumable or not (
            caller_headers.resumes or caller_headers.last_event
        ):
            return None
        origin, source = self._find_origin(context)
        self._metrics.count(
            "streams_taken_up_total",
            service=context.service.name,
            source=source,
        )
        self._log.write(
            "streams",
            "Stream is taken up.",
            id=context.attempt,
            resumes=caller_headers.resumes,
            after=caller_headers.last_event,
            version=origin.version if origin else None,
            source=source,
        )
        if origin is None:
            return _refuse("nobody knows the version that began the stream")
        return self._apply(context, origin)

    def _find_origin(
        self, context: contexts.Context
    ) -> tuple[stream_origins.Origin | None, str]:
        """Return the origin of a stream and how it is known.

        A caller need not tell which attempt began its stream. Others may still
        know that the service has had one version only.
        """
        attempt = context.caller_headers.resumes
        noted = self._registry.find(attempt) if attempt else None
        if noted is not None:
            return noted, "noted"
        inferred = None if attempt else self._infer(context.service.name)
        if inferred is None:
            asked = self._registry.ask(
                context.service.name,
                attempt or context.attempt,
                context.deadline,
            )
            if asked is not None:
                return asked, "asked"
        inferred = self._infer(context.service.name)
        return inferred, "only_version" if inferred else "unknown"

    def _apply(
        self, context: contexts.Context, origin: stream_origins.Origin
    ) -> failure.Failure | None:
        configuration = self._discovery.configuration
        service = configuration.service_by_name.get(origin.service)
        if (
            service is None
            or origin.service not in context.route.weight_by_service
        ):
            return _refuse("its route does not lead to the stream's service")
        context.service = context.pool = service
        context.origin = origin
        return None

    def refuse(self, context: contexts.Context) -> failure.Failure | None:
        """Return the refusal of a stream that no server can go on with."""
        if context.origin is None or self.find_only(context):
            return None
        return _refuse(f"no server of version {context.origin.version!r}")

    def note_ended(
        self,
        context: contexts.Context,
        outcome: failure.Failure | str,
        seconds: float,
    ) -> None:
        """Log why a stream that was taken up did not go on."""
        if not context.caller_headers.resumes or not failure.is_failure(
            outcome
        ):
            return
        self._metrics.count(
            "streams_not_gone_on_total",
            service=context.service.name,
            code=str(outcome.code.number),
        )
        self._log.write(
            "streams",
            "A stream that was taken up did not go on.",
            id=context.attempt,
            resumes=context.caller_headers.resumes,
            version=context.origin.version if context.origin else None,
            code=outcome.code.number,
            reason=outcome.reason,
            servers_left=sorted(self.find_only(context)),
            servers_tried=sorted(context.tried_servers),
            seconds=round(seconds, 4),
        )

    def find_only(self, context: contexts.Context) -> frozenset[str]:
        """Return the servers that may go on with a stream.

        Empty for a stream that has not begun, which may go to any.
        """
        if context.origin is None:
            return frozenset()
        names = [
            server.name
            for server in self._discovery.directory.find_ready(
                context.origin.service
            )
            if server.version == context.origin.version
            and server.name not in context.tried_servers
        ]
        if len(names) > _MAX_NAMED_SERVERS:
            names = self._rng.sample(names, _MAX_NAMED_SERVERS)
        return frozenset(names)

    def find_avoided(self, context: contexts.Context) -> list[str]:
        """Return the servers that must not begin a resumable stream yet.

        Where versions are rolled out, the roll-out decides when a version
        begins to serve.
        """
        if (
            self._has_rollouts
            or context.origin is not None
            or not context.route.resumable
        ):
            return []
        versions = self._versions_by_service.get(context.service.name)
        new = versions.find_new(time.monotonic()) if versions else set()
        if not new:
            return []
        return [
            server.name
            for server in self._discovery.directory.find_ready(
                context.service.name
            )
            if server.version in new
        ]

    def may_use(
        self, context: contexts.Context, server: backend_server.BackendServer
    ) -> bool:
        """Return whether a server fits what the stream has so far."""
        return context.origin is None or context.origin == (
            server.service,
            server.version,
        )


def _refuse(reason: str) -> failure.Failure:
    return failure.Failure(
        code=codes.NO_SERVER_OF_VERSION, reason=reason, retry_after=_RETRY_AFTER
    )
