"""The scheduler's side of the routers' connections.

Any router may be asked to host a service; it decides with what the askers
tell it. While something waits, the host says twice a tenth of a second that
it lives, so that an asker notices soon when it does not.
"""

import time
import typing

import gevent

from daisypick_core.results import failure
from daisypick_core.scheduling import actions
from daisypick_core.serving import fleet_configuration
from daisypick_router import discovery as discoveries
from daisypick_router import engine_servers
from daisypick_router import load_watch
from daisypick_router import log as logs
from daisypick_router import peer_channel
from daisypick_router import peer_messages
from daisypick_router import store_feed

BEAT_SECONDS = 0.05
# Time for a router whose connection ended to connect again: three of its
# tries. A process that was killed is back after about a second.
_GONE_SECONDS = 1.0

handler_by_type: dict[type, typing.Callable[..., None]] = {}


def handles(message: type) -> typing.Callable:
    """Register a method for a kind of message."""

    def _add(method: typing.Callable) -> typing.Callable:
        handler_by_type[message] = method
        return method

    return _add


class PeerHost:
    """Serves the routers that ask us."""

    def __init__(
        self,
        *,
        discovery: discoveries.Discovery,
        engines: engine_servers.EngineServers,
        feed: store_feed.StoreFeed,
        load: load_watch.LoadWatch,
        log: logs.Log,
    ) -> None:
        self._discovery = discovery
        self._load = load
        self._engines = engines
        self._feed = feed
        self._log = log
        self._router_by_channel: dict[peer_channel.PeerChannel, str] = {}
        self._waiting_by_channel: dict[peer_channel.PeerChannel, set[str]] = {}
        self._leaving = False

    def start(self) -> None:
        """Begin to tell askers that we live."""
        gevent.spawn(self._beat)

    def leave(self) -> None:
        """Tell askers that we stop; what waits here is still decided here.

        A host that stops lives on while its callers' answers end, and asked
        by some routers only it fills engines beside the next host.
        """
        self._leaving = True
        for channel in list(self._waiting_by_channel):
            channel.send(peer_messages.Leaving())

    def serve(self, socket, address) -> None:  # noqa: ANN001
        """Serve one router's connection."""
        del address
        channel = peer_channel.PeerChannel(
            socket=socket, on_message=self._hear, on_bad=self._note_bad
        )
        self._waiting_by_channel[channel] = set()
        try:
            channel.run()
        finally:
            self._waiting_by_channel.pop(channel, None)
            self._feed.drop_follower(channel)
            router = self._router_by_channel.pop(channel, None)
            if router is not None:
                gevent.spawn_later(_GONE_SECONDS, self._forget_if_gone, router)

    def _forget_if_gone(self, router: str) -> None:
        """Forget what a router runs that did not connect again.

        Its process was killed, and engines drop requests whose connections
        end; or it is cut off from us and starts requests by its own part.
        """
        if router in self._router_by_channel.values():
            return
        self._log.write("peer", "A router did not come back.", router=router)
        self._engines.reconcile(
            router, running=frozenset(), reading=frozenset()
        )

    def _note_bad(self, trouble: failure.Failure) -> None:
        self._log.write("peer", "Bad message.", reason=trouble.reason)

    def _hear(
        self, channel: peer_channel.PeerChannel, message: typing.Any
    ) -> None:
        self.take(channel, message)

    def take(
        self, channel: peer_channel.PeerChannel, message: typing.Any
    ) -> None:
        """Handle a router's message."""
        handler = handler_by_type.get(type(message))
        if handler is not None:
            handler(self, channel, message)

    def _find_service(self, name: str) -> fleet_configuration.Service | None:
        configuration = self._discovery.configuration
        if configuration is None:
            return None
        service = configuration.service_by_name.get(name)
        if service is None or service.engine is None:
            return None
        return service

    @handles(peer_messages.Hello)
    def _greet(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Hello
    ) -> None:
        self._router_by_channel[channel] = message.router
        if self._leaving:
            channel.send(peer_messages.Leaving())

    @handles(peer_messages.Follow)
    def _follow(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Follow
    ) -> None:
        if message.wanted:
            self._feed.add_follower(channel)
        else:
            self._feed.drop_follower(channel)

    @handles(peer_messages.Submit)
    def _submit(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Submit
    ) -> None:
        service = self._find_service(message.service)
        if service is None:
            channel.send(peer_messages.UnknownService(key=message.work.key))
            return
        work = peer_messages.read_job(
            message.work,
            self._router_by_channel.get(channel, ""),
            time.monotonic(),
        )
        waiting = self._waiting_by_channel[channel]
        waiting.add(work.key)

        def _deliver(action: actions.Action) -> None:
            waiting.discard(action.key)
            if channel.closed and isinstance(action, actions.Start):
                # The asker is gone before it heard; nothing was started.
                gevent.spawn(self._engines.note_end, service, action.key)
                return
            channel.send(_write_action(action))

        self._engines.submit(service, work, _deliver)

    @handles(peer_messages.Running)
    def _note_running(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Running
    ) -> None:
        service = self._find_service(message.service)
        if service is None:
            return
        work = peer_messages.read_job(
            message.work,
            self._router_by_channel.get(channel, ""),
            time.monotonic(),
        )
        self._engines.note_known(
            message.service,
            work,
            message.server,
            reading=message.reading,
            ended=message.ended,
        )

    @handles(peer_messages.Reconcile)
    def _reconcile(
        self,
        channel: peer_channel.PeerChannel,
        message: peer_messages.Reconcile,
    ) -> None:
        router = self._router_by_channel.get(channel)
        if router is not None:
            self._engines.reconcile(
                router,
                running=frozenset(message.running),
                reading=frozenset(message.reading),
            )

    @handles(peer_messages.Withdraw)
    def _withdraw(
        self,
        channel: peer_channel.PeerChannel,
        message: peer_messages.Withdraw,
    ) -> None:
        self._waiting_by_channel[channel].discard(message.key)
        service = self._find_service(message.service)
        if service is not None:
            self._engines.withdraw(service, message.key)

    @handles(peer_messages.FirstToken)
    def _note_first(
        self,
        channel: peer_channel.PeerChannel,
        message: peer_messages.FirstToken,
    ) -> None:
        del channel
        service = self._find_service(message.service)
        if service is not None:
            self._engines.note_first_token(
                service, message.key, late=message.late or self._load.is_late()
            )

    @handles(peer_messages.End)
    def _note_end(
        self, channel: peer_channel.PeerChannel, message: peer_messages.End
    ) -> None:
        del channel
        service = self._find_service(message.service)
        if service is not None:
            self._engines.note_end(service, message.key)

    @handles(peer_messages.Failed)
    def _note_failed(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Failed
    ) -> None:
        del channel
        service = self._find_service(message.service)
        if service is not None:
            self._engines.note_failure(
                service, message.key, certain=message.certain
            )

    def _beat(self) -> None:
        while True:
            gevent.sleep(BEAT_SECONDS)
            for channel, waiting in list(self._waiting_by_channel.items()):
                if waiting:
                    channel.send(peer_messages.Beat(waiting=len(waiting)))


def _write_action(action: actions.Action) -> typing.Any:
    if isinstance(action, actions.Start):
        return peer_messages.Start(*action)
    return peer_messages.Refuse(
        key=action.key,
        retry_after=round(action.retry_after, 3),
        reason=action.reason,
        pause=action.pause,
    )
