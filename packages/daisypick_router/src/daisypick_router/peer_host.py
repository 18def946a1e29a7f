"""The host's side of the connections between routers.

Any router may become the host of a service's scheduler. It decides on the
basis of what the requesting routers report. While a request of a router waits,
the host sends that router a heartbeat every 50 ms, so that a failed host is
detected quickly.
"""

import time
import typing

import gevent

from daisypick_core.results import failure
from daisypick_core.scheduling import actions
from daisypick_core.scheduling import job
from daisypick_core.serving import fleet_configuration
from daisypick_router import answer_progress
from daisypick_router import discovery as discoveries
from daisypick_router import engine_schedulers
from daisypick_router import load_watch
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import peer_channel
from daisypick_router import peer_messages
from daisypick_router import quarantine as quarantines
from daisypick_router import restarts as restart_records
from daisypick_router import rollout_host as rollout_hosts
from daisypick_router import rollouts as rollout_records
from daisypick_router import store_feed
from daisypick_router import stream_registry
from daisypick_router import stream_versions

HEARTBEAT_SECONDS = 0.05
# Time that a disconnected router has to reconnect: about three of its
# attempts. A process that was killed runs again after about 1 s.
_RECONNECT_GRACE_SECONDS = 1.0

handler_by_type: dict[type, typing.Callable[..., None]] = {}


def handles(message: type) -> typing.Callable:
    """Register a method as the handler of a message type."""

    def _add(method: typing.Callable) -> typing.Callable:
        handler_by_type[message] = method
        return method

    return _add


class PeerHost:
    """Serves the routers that submit requests to this host."""

    def __init__(
        self,
        *,
        discovery: discoveries.Discovery,
        engines: engine_schedulers.EngineSchedulers,
        feed: store_feed.StoreFeed,
        quarantine: quarantines.Quarantine,
        rollouts: rollout_records.Rollouts,
        rollout_host: rollout_hosts.RolloutHost,
        streams: stream_versions.StreamVersions,
        registry: stream_registry.StreamRegistry,
        load: load_watch.LoadWatch,
        restarts: restart_records.Restarts,
        log: logs.Log,
    ) -> None:
        self._restarts = restarts
        self._discovery = discovery
        self._load = load
        self._engines = engines
        self._feed = feed
        self._quarantine = quarantine
        quarantine.add_sender(self._send_to_all)
        self._rollouts = rollouts
        rollouts.add_sender(self._send_to_all)
        self._rollout_host = rollout_host
        self._streams = streams
        self._registry = registry
        self._log = log
        self._router_by_channel: dict[peer_channel.PeerChannel, str] = {}
        self._waiting_by_channel: dict[peer_channel.PeerChannel, set[str]] = {}
        # Key of the latest ``Isolate`` message of each channel.
        self._isolated_by_channel: dict[peer_channel.PeerChannel, str] = {}
        # The latest ``Expect`` message of each channel.
        self._expected_by_channel: dict[
            peer_channel.PeerChannel, peer_messages.Expect
        ] = {}
        # The latest ``Only`` message of each channel.
        self._only_by_channel: dict[
            peer_channel.PeerChannel, peer_messages.Only
        ] = {}
        self._leaving = False

    def start(self) -> None:
        """Start sending heartbeats."""
        loops.spawn(self._send_heartbeats)

    def leave(self) -> None:
        """Announce the stop; requests that wait here are still decided here.

        A stopping host stays up until its callers' responses end. If only some
        routers still submitted to it, it would fill engines without
        coordinating with the next host.
        """
        self._leaving = True
        for channel in list(self._waiting_by_channel):
            channel.send(peer_messages.Leaving())

    def serve(self, socket, address) -> None:  # noqa: ANN001
        """Serve one router's connection."""
        del address
        channel = peer_channel.PeerChannel(
            socket=socket,
            on_message=self._receive,
            on_invalid=self._log_invalid,
        )
        self._waiting_by_channel[channel] = set()
        try:
            channel.run()
        finally:
            self._waiting_by_channel.pop(channel, None)
            self._isolated_by_channel.pop(channel, None)
            self._expected_by_channel.pop(channel, None)
            self._only_by_channel.pop(channel, None)
            self._feed.remove_follower(channel)
            router = self._router_by_channel.pop(channel, None)
            if router is not None:
                gevent.spawn_later(
                    _RECONNECT_GRACE_SECONDS,
                    self._forget_if_disconnected,
                    router,
                )

    def _forget_if_disconnected(self, router: str) -> None:
        """Forget the running requests of a router that did not reconnect.

        Either its process was killed, and engines drop requests whose
        connections end; or it cannot reach this host and starts requests
        within its own share of the capacity.
        """
        if router in self._router_by_channel.values():
            return
        self._log.write("peer", "A router did not reconnect.", router=router)
        self._engines.reconcile(
            router, running=frozenset(), prefilling=frozenset()
        )

    def _log_invalid(self, error: failure.Failure) -> None:
        self._log.write("peer", "Invalid message.", reason=error.reason)

    def _receive(
        self, channel: peer_channel.PeerChannel, message: typing.Any
    ) -> None:
        self.handle_message(channel, message)

    def handle_message(
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
        service = configuration.find_pool(name)
        if service is None or service.engine is None:
            return None
        return service

    @handles(peer_messages.Hello)
    def _handle_hello(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Hello
    ) -> None:
        self._router_by_channel[channel] = message.router
        if self._leaving:
            channel.send(peer_messages.Leaving())
        for found in self._quarantine.describe() + self._rollouts.describe():
            channel.send(found)

    def _send_to_all(self, message: peer_messages.Flooded) -> None:
        line = peer_messages.encode(message)
        for channel in self._waiting_by_channel:
            channel.send_line(line)

    @handles(peer_messages.CrashReports)
    @handles(peer_messages.CrashEnds)
    @handles(peer_messages.PartCrashes)
    def _handle_crashes(
        self,
        channel: peer_channel.PeerChannel,
        message: peer_messages.CrashMessage,
    ) -> None:
        del channel
        self._quarantine.receive(message)

    @handles(peer_messages.ServerSuspected)
    def _handle_suspected(
        self,
        channel: peer_channel.PeerChannel,
        message: peer_messages.ServerSuspected,
    ) -> None:
        router = self._router_by_channel.get(channel)
        if router is not None:
            self._restarts.receive(message, router)

    @handles(peer_messages.RolloutNotice)
    def _handle_rollout(
        self,
        channel: peer_channel.PeerChannel,
        message: peer_messages.RolloutNotice,
    ) -> None:
        del channel
        self._rollouts.receive(message)

    @handles(peer_messages.RolloutReport)
    def _handle_rollout_report(
        self,
        channel: peer_channel.PeerChannel,
        message: peer_messages.RolloutReport,
    ) -> None:
        notice = self._rollout_host.receive(message)
        if notice is not None:
            channel.send(notice)

    @handles(peer_messages.Isolate)
    def _handle_isolate(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Isolate
    ) -> None:
        self._isolated_by_channel[channel] = message.key

    @handles(peer_messages.Expect)
    def _handle_expect(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Expect
    ) -> None:
        self._expected_by_channel[channel] = message

    @handles(peer_messages.Only)
    def _handle_only(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Only
    ) -> None:
        self._only_by_channel[channel] = message

    @handles(peer_messages.Began)
    def _handle_began(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Began
    ) -> None:
        del channel
        self._registry.receive(message)

    @handles(peer_messages.AskOrigin)
    def _handle_ask_origin(
        self,
        channel: peer_channel.PeerChannel,
        message: peer_messages.AskOrigin,
    ) -> None:
        channel.send(self._streams.answer(message))

    def _read_job(
        self, channel: peer_channel.PeerChannel, wire: peer_messages.WireJob
    ) -> job.Job:
        work = peer_messages.read_job(
            wire, self._router_by_channel.get(channel, ""), time.monotonic()
        )
        isolated = self._isolated_by_channel.pop(channel, None) == work.key
        expected = self._expected_by_channel.pop(channel, None)
        if expected is not None and expected.key == work.key:
            work = work._replace(
                expected_events=expected.expected,
                high_events=expected.high,
                max_pause=expected.max_pause,
            )
        only = self._only_by_channel.pop(channel, None)
        if only is not None and only.key == work.key:
            work = work._replace(only=frozenset(only.servers))
        return work._replace(isolated=isolated)

    @handles(peer_messages.Follow)
    def _handle_follow(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Follow
    ) -> None:
        if message.wanted:
            self._feed.add_follower(channel)
        else:
            self._feed.remove_follower(channel)

    @handles(peer_messages.Submit)
    def _handle_submit(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Submit
    ) -> None:
        service = self._find_service(message.service)
        if service is None:
            channel.send(peer_messages.UnknownService(key=message.work.key))
            return
        work = self._read_job(channel, message.work)
        waiting = self._waiting_by_channel[channel]
        waiting.add(work.key)

        def _deliver(action: actions.Action) -> None:
            waiting.discard(action.key)
            if channel.closed and isinstance(action, actions.Start):
                # The router disconnected before it received the decision, so
                # it did not start the request.
                gevent.spawn(self._engines.note_end, service, action.key)
                return
            channel.send(_to_message(action))

        self._engines.submit(service, work, _deliver)

    @handles(peer_messages.Running)
    def _handle_running(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Running
    ) -> None:
        service = self._find_service(message.service)
        if service is None:
            return
        work = self._read_job(channel, message.work)
        self._engines.note_earlier_start(
            message.service,
            work,
            message.server,
            prefilling=message.reading,
            ended=message.ended,
        )

    @handles(peer_messages.Reconcile)
    def _handle_reconcile(
        self,
        channel: peer_channel.PeerChannel,
        message: peer_messages.Reconcile,
    ) -> None:
        router = self._router_by_channel.get(channel)
        if router is not None:
            self._engines.reconcile(
                router,
                running=frozenset(message.running),
                prefilling=frozenset(message.reading),
            )

    @handles(peer_messages.Withdraw)
    def _handle_withdraw(
        self,
        channel: peer_channel.PeerChannel,
        message: peer_messages.Withdraw,
    ) -> None:
        self._waiting_by_channel[channel].discard(message.key)
        service = self._find_service(message.service)
        if service is not None:
            self._engines.withdraw(service, message.key)

    @handles(peer_messages.FirstToken)
    def _handle_first_token(
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

    @handles(peer_messages.Pace)
    def _handle_pace(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Pace
    ) -> None:
        del channel
        service = self._find_service(message.service)
        if service is not None:
            self._engines.note_pace(
                service,
                message.key,
                answer_progress.Pace(
                    events=message.events,
                    seconds=message.seconds,
                    longest=message.longest,
                ),
            )

    @handles(peer_messages.End)
    def _handle_end(
        self, channel: peer_channel.PeerChannel, message: peer_messages.End
    ) -> None:
        del channel
        service = self._find_service(message.service)
        if service is not None:
            self._engines.note_end(service, message.key)

    @handles(peer_messages.Failed)
    def _handle_failed(
        self, channel: peer_channel.PeerChannel, message: peer_messages.Failed
    ) -> None:
        del channel
        service = self._find_service(message.service)
        if service is not None:
            self._engines.note_failure(
                service, message.key, certain=message.certain
            )

    def _send_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_SECONDS)
            for channel, waiting in list(self._waiting_by_channel.items()):
                if waiting:
                    channel.send(peer_messages.Heartbeat(waiting=len(waiting)))


def _to_message(action: actions.Action) -> typing.Any:
    if isinstance(action, actions.Start):
        return peer_messages.Start(*action)
    return peer_messages.Refuse(
        key=action.key,
        retry_after=round(action.retry_after, 3),
        reason=action.reason,
        pause=action.pause,
    )
