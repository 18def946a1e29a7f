"""Keeps streams at the version of the software that began them.

The router that sends a caller the first event of a resumable stream notes the
version of its server. While several versions of a service have served lately,
it registers the stream at a few other routers, which follow from its id, so
that any router can ask where it began, also when the first one is gone. Where
nobody knows, a service that has had one version only tells. Any other stream is
refused: a guess would join events that do not fit together.

See Also:
    daisypick_core.serving.stream_origins: what is noted.
    daisypick_core.serving.service_versions: what the list of servers tells.
"""

import collections
from collections.abc import Iterator
import itertools
import random
import time
import typing

import gevent
from gevent import event

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.serving import backend_server
from daisypick_core.serving import service_versions
from daisypick_core.serving import stream_origins
from daisypick_router import context as contexts
from daisypick_router import discovery as discoveries
from daisypick_router import log as logs
from daisypick_router import metrics as metric_numbers
from daisypick_router import peer_link
from daisypick_router import peer_messages

if typing.TYPE_CHECKING:
    from daisypick_router import host_links

# For how long the origin of a stream is kept; longer than the timeout of any
# route, after which no caller takes it up.
_KEEP_SECONDS = 30.0
# Beyond the timeout of its route, until a caller takes up a stream no more.
_RETURN_SECONDS = 1.0
# Origins that a process keeps: thirty seconds of a large service's streams,
# divided among its registrars, in some 10 MB.
_MAX_ORIGINS = 40_000
# Routers that keep the origin of a stream. Some of them may have been killed
# together with the router that began it.
_COPIES = 4
# Time between two messages to a registrar; a stream that began in the last one
# before its router is killed may be unknown.
_FLUSH_SECONDS = 0.04
# A stream that began just now may still be on its way to its registrars.
_ASK_SECONDS = 0.15
_ASK_AGAIN_SECONDS = 0.06
# Servers that the host is told for a stream that is taken up.
_MAX_NAMED_SERVERS = 64
# Beyond the age of a confirmed list, until a new version begins streams.
_ADMISSION_MARGIN_SECONDS = 0.5
_RETRY_AFTER = 0.3


class _Question:
    """Replies to a question that was sent to several routers."""

    def __init__(self, asked: int) -> None:
        self._missing = asked
        self._inferred: set[stream_origins.Origin] = set()
        self.noted: stream_origins.Origin | None = None
        self.is_done = event.Event()

    def add(self, reply: peer_messages.OriginReply) -> None:
        self._missing -= 1
        if reply.service:
            origin = stream_origins.Origin(reply.service, reply.version)
            if reply.noted:
                self.noted = origin
            else:
                self._inferred.add(origin)
        if self.noted is not None or self._missing <= 0:
            self.is_done.set()

    @property
    def origin(self) -> stream_origins.Origin | None:
        """The origin, unless nobody knows it or the replies differ."""
        if self.noted is not None or len(self._inferred) != 1:
            return self.noted
        return next(iter(self._inferred))


class StreamVersions:
    """Versions of the streams that this router begins or takes up.

    Args:
        name: Name of this router.
        discovery: The backend servers.
        has_rollouts: Whether versions are rolled out, and are therefore not
            chosen here.
        log: The log.
        metrics: The metrics.
        rng: Randomness for the choice of servers that the host is told.
    """

    def __init__(
        self,
        *,
        name: str,
        discovery: discoveries.Discovery,
        has_rollouts: bool,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._discovery = discovery
        self._has_rollouts = has_rollouts
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._links: host_links.HostLinks | None = None
        # Streams of this router's callers, and those registered here.
        self._own = self._make_origins()
        self._registered = self._make_origins()
        self._versions_by_service: dict[
            str, service_versions.ServiceVersions
        ] = {}
        # Services whose streams are registered at other routers.
        self._registered_services: frozenset[str] = frozenset()
        self._unsent: list[tuple[str, stream_origins.Origin]] = []
        self._has_unsent = event.Event()
        self._numbers = itertools.count()
        self._question_by_number: dict[int, _Question] = {}

    def _make_origins(self) -> stream_origins.StreamOrigins:
        return stream_origins.StreamOrigins(
            keep_seconds=_KEEP_SECONDS, max_entries=_MAX_ORIGINS
        )

    def start(self, links: "host_links.HostLinks") -> None:
        """Start registering streams."""
        self._links = links
        gevent.spawn(self._run)

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
        self._update_registered(now)

    def _update_registered(self, now: float) -> None:
        """Register the streams of services with several versions.

        A small fleet registers all: so many of its routers may end at once
        that no other one has known a service for long enough.
        """
        if self._links is None:
            return
        is_small = self._links.is_fleet_small
        registered = frozenset(
            name
            for name, versions in self._versions_by_service.items()
            if is_small or versions.is_mixed(now)
        )
        if registered == self._registered_services:
            return
        new = registered - self._registered_services
        self._registered_services = registered
        self._log.write(
            "streams",
            "Streams of these services are registered.",
            services=sorted(registered),
        )
        self._links.set_registered(registered)
        for service in new:
            self._unsent += list(self._own.find_all(service, now))
        self._has_unsent.set()

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
        self._own.note(attempt, context.origin, time.monotonic())
        if context.origin.service in self._registered_services:
            self._unsent.append((attempt, context.origin))
            self._has_unsent.set()

    def _run(self) -> None:
        """Send what is to be registered, and follow the age of versions."""
        while True:
            self._has_unsent.wait(1.0)
            self._has_unsent.clear()
            unsent, self._unsent = self._unsent, []
            self._register(unsent)
            gevent.sleep(_FLUSH_SECONDS)
            self._update_registered(time.monotonic())

    def _register(self, begun: list[tuple[str, stream_origins.Origin]]) -> None:
        attempts_by_target: dict[
            tuple[str, stream_origins.Origin], list[str]
        ] = collections.defaultdict(list)
        for attempt, origin in begun:
            for router in self._links.find_registrars(
                origin.service, attempt, _COPIES
            ):
                attempts_by_target[router, origin].append(attempt)
        for (router, origin), attempts in attempts_by_target.items():
            link = self._links.find_link(router)
            if link is not None:
                link.send(_write_began(origin, attempts))

    def handle_connect(self, link: peer_link.PeerLink) -> None:
        """Register this router's streams at a router that may have lost them.

        Messages are lost while there is no connection.
        """
        now = time.monotonic()
        attempts_by_origin: dict[stream_origins.Origin, list[str]] = (
            collections.defaultdict(list)
        )
        for service in self._registered_services:
            for attempt, origin in self._own.find_all(service, now):
                if link.name in self._links.find_registrars(
                    service, attempt, _COPIES
                ):
                    attempts_by_origin[origin].append(attempt)
        for origin, attempts in attempts_by_origin.items():
            link.send(_write_began(origin, attempts))

    def receive(self, message: peer_messages.Began) -> None:
        """Keep the origins of streams that another router has begun."""
        origin = stream_origins.Origin(message.service, message.version)
        now = time.monotonic()
        for attempt in message.attempts:
            self._registered.note(attempt, origin, now)

    def answer(
        self, question: peer_messages.AskOrigin
    ) -> peer_messages.OriginReply:
        """Return the reply to a router that takes up a stream."""
        noted = self._find_noted(question.attempt)
        origin = noted or self._infer(question.service)
        return peer_messages.OriginReply(
            number=question.number,
            service=origin.service if origin else "",
            version=origin.version if origin else "",
            noted=noted is not None,
        )

    def receive_reply(self, reply: peer_messages.OriginReply) -> None:
        """Handle a reply of a router that was asked."""
        question = self._question_by_number.get(reply.number)
        if question is not None:
            question.add(reply)

    def _find_noted(self, attempt: str) -> stream_origins.Origin | None:
        now = time.monotonic()
        return self._own.find(attempt, now) or self._registered.find(
            attempt, now
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
        if not caller_headers.resumes and not self._is_mixed(context):
            # The caller does not tell which attempt began the stream.
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

    def _is_mixed(self, context: contexts.Context) -> bool:
        versions = self._versions_by_service.get(context.service.name)
        return versions is not None and versions.is_mixed(time.monotonic())

    def _find_origin(
        self, context: contexts.Context
    ) -> tuple[stream_origins.Origin | None, str]:
        """Return the origin of a stream and how it is known."""
        attempt = context.caller_headers.resumes
        noted = self._find_noted(attempt) if attempt else None
        if noted is not None:
            return noted, "noted"
        if attempt:
            asked = self._ask(context, attempt)
            if asked is not None:
                return asked, "asked"
        inferred = self._infer(context.service.name)
        return inferred, "only_version" if inferred else "unknown"

    def _ask(
        self, context: contexts.Context, attempt: str
    ) -> stream_origins.Origin | None:
        question = self._send_question(context, attempt)
        if (
            question is None
            or question.origin is not None
            or context.service.name not in self._registered_services
        ):
            return question and question.origin
        gevent.sleep(_ASK_AGAIN_SECONDS)
        noted = self._find_noted(attempt)
        if noted is not None:
            return noted
        question = self._send_question(context, attempt)
        return question and question.origin

    def _send_question(
        self, context: contexts.Context, attempt: str
    ) -> _Question | None:
        links = list(self._find_links(context.service.name, attempt))
        if not links:
            return None
        number = next(self._numbers)
        question = _Question(len(links))
        self._question_by_number[number] = question
        try:
            for link in links:
                link.send(
                    peer_messages.AskOrigin(
                        number=number,
                        attempt=attempt,
                        service=context.service.name,
                    )
                )
            left = context.deadline - time.monotonic()
            question.is_done.wait(max(min(_ASK_SECONDS, left), 0.0))
        finally:
            del self._question_by_number[number]
        return question

    def _find_links(
        self, service: str, attempt: str
    ) -> Iterator[peer_link.PeerLink]:
        """Yield the links to the routers that may know where a stream began.

        Of a service with one version the hosts are asked, which this router is
        connected to anyway.
        """
        names = self._links.find_registrars(service, attempt, _COPIES)
        for name in names or self._links.find_candidates(service):
            link = self._links.find_link(name)
            if link is not None and link.is_connected:
                yield link

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


def _write_began(
    origin: stream_origins.Origin, attempts: list[str]
) -> peer_messages.Began:
    return peer_messages.Began(
        service=origin.service,
        version=origin.version,
        attempts=tuple(attempts),
    )


def _refuse(reason: str) -> failure.Failure:
    return failure.Failure(
        code=codes.NO_SERVER_OF_VERSION, reason=reason, retry_after=_RETRY_AFTER
    )
