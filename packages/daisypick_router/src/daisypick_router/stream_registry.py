"""Where streams began, as this router and others have noted it.

The router that begins a resumable stream registers it at a few other routers,
which follow from the id of the caller's attempt. Any router can ask those, also
when the first one is gone.

See Also:
    daisypick_core.serving.registrars: which routers these are.
    stream_versions: decides by what is known here.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import time
import typing

import gevent
from gevent import event

from daisypick_core.serving import stream_origins
from daisypick_router import loops
from daisypick_router import peer_link
from daisypick_router import peer_messages

if typing.TYPE_CHECKING:
    from daisypick_router import host_links

# For how long the origin of a stream is kept; longer than the timeout of any
# route, after which no caller takes it up.
_KEEP_SECONDS = 30.0
# Origins that a process keeps: thirty seconds of a large service's streams,
# divided among its registrars, in some 10 MB.
_MAX_ORIGINS = 40_000
# Routers that keep the origin of a stream. Some of them may have been killed
# together with the router that began it.
_COPIES = 4
# Time between two messages to a registrar; a stream that began in the last one
# before its router is killed may be unknown.
_FLUSH_SECONDS = 0.04
# Time to wait for replies, and until a second question: a stream that began
# just now may still be on its way to its registrars.
_ASK_SECONDS = 0.15
_ASK_AGAIN_SECONDS = 0.06

_Begun = tuple[str, stream_origins.Origin]


class _Question:
    """Replies to a question that was sent to several routers."""

    def __init__(self, asked: int) -> None:
        self._missing = asked
        self._inferred: set[stream_origins.Origin] = set()
        self._noted: stream_origins.Origin | None = None
        self.is_done = event.Event()

    def add(self, reply: peer_messages.OriginReply) -> None:
        self._missing -= 1
        if reply.service:
            origin = stream_origins.Origin(reply.service, reply.version)
            if reply.noted:
                self._noted = origin
            else:
                self._inferred.add(origin)
        if self._noted is not None or self._missing <= 0:
            self.is_done.set()

    @property
    def origin(self) -> stream_origins.Origin | None:
        """The origin, unless nobody knows it or the replies differ."""
        if self._noted is not None or len(self._inferred) != 1:
            return self._noted
        return next(iter(self._inferred))


class StreamRegistry:
    """Origins of this router's streams and of those registered here."""

    def __init__(self) -> None:
        self._links: host_links.HostLinks | None = None
        self._own = _make_origins()
        self._registered = _make_origins()
        # Services whose streams are registered at other routers.
        self._services: frozenset[str] = frozenset()
        self._unsent: list[_Begun] = []
        self._has_unsent = event.Event()
        self._numbers = itertools.count()
        self._question_by_number: dict[int, _Question] = {}

    def start(self, links: "host_links.HostLinks") -> None:
        """Start sending what is to be registered."""
        self._links = links
        loops.spawn(self._run)

    @property
    def is_fleet_small(self) -> bool:
        """Whether streams of all services are registered."""
        return self._links is not None and self._links.is_fleet_small

    def set_services(self, services: frozenset[str]) -> bool:
        """Set the services whose streams are registered.

        Their streams that have begun already are registered as well.

        Returns:
            Whether the services have changed.
        """
        if self._links is None or services == self._services:
            return False
        new = services - self._services
        self._services = services
        self._links.set_registered(services)
        now = time.monotonic()
        for service in new:
            self._unsent += self._own.find_all(service, now)
        self._has_unsent.set()
        return True

    def note(self, attempt: str, origin: stream_origins.Origin) -> None:
        """Keep the origin of a stream that this router sends to its caller."""
        self._own.note(attempt, origin, time.monotonic())
        if origin.service in self._services:
            self._unsent.append((attempt, origin))
            self._has_unsent.set()

    def _run(self) -> None:
        while True:
            self._has_unsent.wait()
            self._has_unsent.clear()
            unsent, self._unsent = self._unsent, []
            self._register(unsent)
            gevent.sleep(_FLUSH_SECONDS)

    def _register(self, begun: Iterable[_Begun]) -> None:
        attempts_by_target: dict[
            tuple[str, stream_origins.Origin], list[str]
        ] = collections.defaultdict(list)
        for attempt, origin in begun:
            for router in self._find_registrars(origin.service, attempt):
                attempts_by_target[router, origin].append(attempt)
        for (router, origin), attempts in attempts_by_target.items():
            link = self._links.find_link(router)
            if link is not None:
                link.send(_write_began(origin, attempts))

    def _find_registrars(self, service: str, attempt: str) -> list[str]:
        return self._links.find_registrars(service, attempt, _COPIES)

    def handle_connect(self, link: peer_link.PeerLink) -> None:
        """Register this router's streams at a router that may have lost them.

        Messages are lost while there is no connection.
        """
        now = time.monotonic()
        attempts_by_origin: dict[stream_origins.Origin, list[str]] = (
            collections.defaultdict(list)
        )
        for service in self._services:
            for attempt, origin in self._own.find_all(service, now):
                if link.name in self._find_registrars(service, attempt):
                    attempts_by_origin[origin].append(attempt)
        for origin, attempts in attempts_by_origin.items():
            link.send(_write_began(origin, attempts))

    def receive(self, message: peer_messages.Began) -> None:
        """Keep the origins of streams that another router has begun."""
        origin = stream_origins.Origin(message.service, message.version)
        now = time.monotonic()
        for attempt in message.attempts:
            self._registered.note(attempt, origin, now)

    def find(self, attempt: str) -> stream_origins.Origin | None:
        """Return the origin of a stream that was noted in this process."""
        now = time.monotonic()
        return self._own.find(attempt, now) or self._registered.find(
            attempt, now
        )

    def ask(
        self, service: str, attempt: str, deadline: float
    ) -> stream_origins.Origin | None:
        """Return the origin of a stream as other routers know it.

        Args:
            service: Service of the route by which it is taken up.
            attempt: Id of the attempt that brought its first event.
            deadline: When the caller's request times out.
        """
        origin = self._ask_once(service, attempt, deadline)
        if origin is not None or service not in self._services:
            return origin
        gevent.sleep(_ASK_AGAIN_SECONDS)
        return self.find(attempt) or self._ask_once(service, attempt, deadline)

    def _ask_once(
        self, service: str, attempt: str, deadline: float
    ) -> stream_origins.Origin | None:
        links = list(self._find_links(service, attempt))
        if not links:
            return None
        number = next(self._numbers)
        question = _Question(len(links))
        self._question_by_number[number] = question
        message = peer_messages.AskOrigin(
            number=number, attempt=attempt, service=service
        )
        try:
            for link in links:
                link.send(message)
            left = deadline - time.monotonic()
            question.is_done.wait(max(min(_ASK_SECONDS, left), 0.0))
        finally:
            del self._question_by_number[number]
        return question.origin

    def _find_links(
        self, service: str, attempt: str
    ) -> Iterator[peer_link.PeerLink]:
        """Yield the links to the routers that may know where a stream began.

        Of a service whose streams are not registered the hosts are asked, which
        this router is connected to anyway.
        """
        names = self._find_registrars(service, attempt)
        for name in names or self._links.find_candidates(service):
            link = self._links.find_link(name)
            if link is not None and link.is_connected:
                yield link

    def receive_reply(self, reply: peer_messages.OriginReply) -> None:
        """Handle the reply of a router that was asked."""
        question = self._question_by_number.get(reply.number)
        if question is not None:
            question.add(reply)


def _make_origins() -> stream_origins.StreamOrigins:
    return stream_origins.StreamOrigins(
        keep_seconds=_KEEP_SECONDS, max_entries=_MAX_ORIGINS
    )


def _write_began(
    origin: stream_origins.Origin, attempts: list[str]
) -> peer_messages.Began:
    return peer_messages.Began(
        service=origin.service,
        version=origin.version,
        attempts=tuple(attempts),
    )
