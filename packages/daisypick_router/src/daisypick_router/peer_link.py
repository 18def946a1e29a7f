"""The requesting router's side of a connection to a host."""

from collections.abc import Callable
import random
import time
import typing

import gevent

from daisypick_core.results import failure
from daisypick_http import connection
from daisypick_router import log as logs
from daisypick_router import loops
from daisypick_router import peer_channel
from daisypick_router import peer_messages

_CONNECT_SECONDS = 0.3
# Seconds after which the kernel closes a connection whose peer does not answer
# keepalive probes, so that a dead idle link is replaced before it is needed.
_KEEPALIVE_TIMEOUT_SECONDS = 3
# Pause between connection attempts; a process that was killed runs again after
# about 1 s.
_RECONNECT_SECONDS = 0.2
# Five heartbeat intervals of a host. A host that sends nothing for so long
# while a request waits for it is frozen or unreachable.
HEARTBEAT_TIMEOUT_SECONDS = 0.25
# A host that timed out or disconnected gets no requests for this long, so that
# requests do not alternate between two hosts.
_COOLDOWN_SECONDS = 0.5


class PeerLink:
    """Maintains a connection to one router and the requests waiting for it.

    ``on_connect(link)`` is called when a connection is established, to report
    running requests to the host; ``on_feed(message)`` is called for each change
    of the store that it forwards; ``on_leaving(link)`` is called when it
    announces that it stops; ``on_crashes(message)`` for each of its reports of
    requests that may crash servers; ``on_rollout(message)`` for each state of a
    roll-out; ``on_origin(message)`` for each reply on where a stream began.
    """

    def __init__(
        self,
        *,
        name: str,
        address: tuple[str, int],
        own_name: str,
        log: logs.Log,
        rng: random.Random,
        on_connect: Callable[["PeerLink"], None],
        on_feed: Callable[[peer_messages.Feed], None],
        on_leaving: Callable[["PeerLink"], None],
        on_crashes: Callable[[peer_messages.CrashMessage], None],
        on_rollout: Callable[[peer_messages.RolloutNotice], None],
        on_origin: Callable[[peer_messages.OriginReply], None],
    ) -> None:
        self.name = name
        self._address = address
        self._own_name = own_name
        self._log = log
        self._rng = rng
        self._on_connect = on_connect
        self._on_feed = on_feed
        self._on_leaving = on_leaving
        self._on_crashes = on_crashes
        self._on_rollout = on_rollout
        self._on_origin = on_origin
        self._channel: peer_channel.PeerChannel | None = None
        self._cooldown_until = 0.0
        self.leaving = False
        self._deliver_by_key: dict[str, Callable[[typing.Any], None]] = {}
        # When the first waiting request was found to be written to the socket,
        # and its number among the messages of the channel.
        self._submitted_at: float | None = None
        self._first_submitted = 0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start connecting in the background."""
        self._greenlet = loops.spawn(self._run)

    def stop(self) -> None:
        """Close the connection permanently and fail the waiting requests."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        if self._channel is not None:
            self._channel.close()
        self._fail_waiting()

    @property
    def is_available(self) -> bool:
        """Whether requests may be submitted to the host."""
        is_cooled_down = time.monotonic() >= self._cooldown_until
        return self.is_connected and is_cooled_down and not self.leaving

    @property
    def is_connected(self) -> bool:
        """Whether a connection is established."""
        return self._channel is not None and not self._channel.closed

    def submit(
        self,
        message: peer_messages.Submit,
        deliver: Callable[[typing.Any], None],
    ) -> None:
        """Submit a request to the host.

        ``deliver`` is called with the reply, or with ``None`` if the host will
        not reply.
        """
        if not self._deliver_by_key:
            self._submitted_at = None
            self._first_submitted = self._channel.queued + 1
        self._deliver_by_key[message.work.key] = deliver
        self._channel.send(message)

    def forget(self, key: str) -> None:
        """Stop waiting for the reply to a request."""
        self._deliver_by_key.pop(key, None)

    def send(self, message: typing.Any) -> None:
        """Send a message that has no reply, if connected."""
        if self._channel is not None:
            self._channel.send(message)

    def check_heartbeats(self, now: float) -> None:
        """Fail the waiting requests if the host's heartbeats have stopped."""
        if not self._deliver_by_key or self._channel is None:
            return
        if self._submitted_at is None:
            if self._channel.written < self._first_submitted:
                # The event loop is late and has not sent the request yet, so
                # the host cannot reply.
                return
            self._submitted_at = now
        last_received_at = max(
            self._channel.last_received_at, self._submitted_at
        )
        if (
            now - last_received_at < HEARTBEAT_TIMEOUT_SECONDS
            or self._channel.has_unread()
        ):
            return
        self._log.write(
            "peer",
            "A host stopped sending heartbeats.",
            host=self.name,
            silent_seconds=round(now - last_received_at, 3),
            waiting=len(self._deliver_by_key),
        )
        self._channel.close()
        self._start_cooldown(now)
        self._fail_waiting()

    def _start_cooldown(self, now: float) -> None:
        self._cooldown_until = now + _COOLDOWN_SECONDS

    def _fail_waiting(self) -> None:
        waiting = list(self._deliver_by_key.values())
        self._deliver_by_key.clear()
        for deliver in waiting:
            loops.call(deliver, None)

    def _run(self) -> None:
        while True:
            try:
                self._connect()
            finally:
                if self._channel is not None:
                    self._start_cooldown(time.monotonic())
                    self._channel = None
                    self._fail_waiting()
            gevent.sleep(_RECONNECT_SECONDS * self._rng.uniform(0.5, 1.5))

    def _connect(self) -> None:
        try:
            connected = connection.open_socket()
        except connection.NoDescriptorsError as error:
            self._log.write(
                "peer",
                "Could not connect to a host.",
                host=self.name,
                reason=str(error),
            )
            return
        connected.settimeout(_CONNECT_SECONDS)
        try:
            connected.connect(self._address)
        except OSError:
            # A late event loop may run the timer although the connection was
            # established in time.
            is_established = connection.is_connected(connected)
        else:
            is_established = True
        if not is_established:
            # Retried after the pause; the dump shows the state of links.
            connected.close()
            return
        connection.enable_keepalive(connected, _KEEPALIVE_TIMEOUT_SECONDS)
        channel = peer_channel.PeerChannel(
            socket=connected,
            on_message=self._receive,
            on_invalid=self._log_invalid,
        )
        self._channel = channel
        self.leaving = False
        channel.send(peer_messages.Hello(router=self._own_name))
        self._on_connect(self)
        channel.run()

    def _log_invalid(self, error: failure.Failure) -> None:
        self._log.write("peer", "Invalid message.", reason=error.reason)

    def _receive(
        self, channel: peer_channel.PeerChannel, message: typing.Any
    ) -> None:
        del channel
        if isinstance(message, peer_messages.Feed):
            self._on_feed(message)
            return
        if isinstance(message, peer_messages.CrashMessage):
            self._on_crashes(message)
            return
        if isinstance(message, peer_messages.RolloutNotice):
            self._on_rollout(message)
            return
        if isinstance(message, peer_messages.OriginReply):
            self._on_origin(message)
            return
        if isinstance(message, peer_messages.Leaving):
            self.leaving = True
            self._log.write("peer", "A host is stopping.", host=self.name)
            self._on_leaving(self)
            return
        key = getattr(message, "key", None)
        if key is None:
            return
        deliver = self._deliver_by_key.pop(key, None)
        if deliver is not None:
            deliver(message)
