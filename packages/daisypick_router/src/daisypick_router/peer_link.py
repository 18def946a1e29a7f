"""The asker's side of a connection to the router that hosts a service."""

from collections.abc import Callable
import random
import time
import typing

import gevent

from daisypick_core.results import failure
from daisypick_http import connection
from daisypick_router import log as logs
from daisypick_router import peer_channel
from daisypick_router import peer_messages

_CONNECT_SECONDS = 0.3
# A link on which nothing is asked for may go silent too; it is replaced
# before it is needed.
_PROBE_SECONDS = 3
# Pause between tries to connect; a process that was killed is back after
# about a second.
_PAUSE_SECONDS = 0.2
# Five heartbeats of a host; a host that says nothing for so long while we
# wait for it is frozen or cut off.
SILENCE_SECONDS = 0.25
# A host that was silent is not asked again for this long after it was heard,
# so that requests do not swing between two hosts.
_DISTRUST_SECONDS = 0.5


class PeerLink:
    """Keeps a connection to one router up, and who waits for its answers.

    ``on_up(link)`` is called when a connection stands, to tell the host what
    runs; ``on_feed(message)`` gets what it passes on of the store;
    ``on_leaving(link)`` is called when it says that it stops.
    """

    def __init__(
        self,
        *,
        name: str,
        address: tuple[str, int],
        own_name: str,
        log: logs.Log,
        rng: random.Random,
        on_up: Callable[["PeerLink"], None],
        on_feed: Callable[[peer_messages.Feed], None],
        on_leaving: Callable[["PeerLink"], None],
    ) -> None:
        self.name = name
        self._address = address
        self._own_name = own_name
        self._log = log
        self._rng = rng
        self._on_up = on_up
        self._on_feed = on_feed
        self._on_leaving = on_leaving
        self._channel: peer_channel.PeerChannel | None = None
        self._distrusted_until = 0.0
        self.leaving = False
        self._deliver_by_key: dict[str, Callable[[typing.Any], None]] = {}
        # When the first question that waits was seen to have left, and its
        # number among the messages of the channel.
        self._asked_at: float | None = None
        self._first_asked = 0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to connect."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Close the connection and forget the router."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        if self._channel is not None:
            self._channel.close()
        self._fail_waiting()

    @property
    def is_up(self) -> bool:
        """Whether the host may be asked."""
        trusted = time.monotonic() >= self._distrusted_until
        return self.is_connected and trusted and not self.leaving

    @property
    def is_connected(self) -> bool:
        """Whether a connection stands."""
        return self._channel is not None and not self._channel.closed

    def ask(
        self,
        message: peer_messages.Submit,
        deliver: Callable[[typing.Any], None],
    ) -> None:
        """Ask; ``deliver`` gets the answer, or ``None`` if none will come."""
        if not self._deliver_by_key:
            self._asked_at = None
            self._first_asked = self._channel.queued + 1
        self._deliver_by_key[message.work.key] = deliver
        self._channel.send(message)

    def forget(self, key: str) -> None:
        """No longer wait for an answer."""
        self._deliver_by_key.pop(key, None)

    def tell(self, message: typing.Any) -> None:
        """Send a message that has no answer."""
        if self._channel is not None:
            self._channel.send(message)

    def watch_silence(self, now: float) -> None:
        """Give up what waits if the host is silent for too long."""
        if not self._deliver_by_key or self._channel is None:
            return
        if self._asked_at is None:
            if self._channel.written < self._first_asked:
                # A late loop has not sent it yet; the host knows of nothing.
                return
            self._asked_at = now
        heard_at = max(self._channel.heard_at, self._asked_at)
        if now - heard_at < SILENCE_SECONDS or self._channel.has_unread():
            return
        self._log.write(
            "peer",
            "A host of schedulers is silent.",
            host=self.name,
            silent_seconds=round(now - heard_at, 3),
            waiting=len(self._deliver_by_key),
        )
        self._channel.close()
        self._distrust(now)
        self._fail_waiting()

    def _distrust(self, now: float) -> None:
        self._distrusted_until = now + _DISTRUST_SECONDS

    def _fail_waiting(self) -> None:
        waiting = list(self._deliver_by_key.values())
        self._deliver_by_key.clear()
        for deliver in waiting:
            deliver(None)

    def _run(self) -> None:
        while True:
            self._connect()
            if self._channel is not None:
                self._distrust(time.monotonic())
                self._fail_waiting()
                self._channel = None
            gevent.sleep(_PAUSE_SECONDS * self._rng.uniform(0.5, 1.5))

    def _connect(self) -> None:
        try:
            connected = connection.open_socket()
        except connection.NoDescriptorsError as error:
            self._log.write(
                "peer", "No link.", host=self.name, reason=str(error)
            )
            return
        connected.settimeout(_CONNECT_SECONDS)
        try:
            connected.connect(self._address)
        except OSError:
            # A loop that was held up may run the timer first.
            stands = connection.is_connected(connected)
        else:
            stands = True
        if not stands:
            # Tried again after the pause; the state of links is in the dump.
            connected.close()
            return
        connection.probe_silence(connected, _PROBE_SECONDS)
        channel = peer_channel.PeerChannel(
            socket=connected, on_message=self._take, on_bad=self._note_bad
        )
        self._channel = channel
        self.leaving = False
        channel.send(peer_messages.Hello(router=self._own_name))
        self._on_up(self)
        channel.run()

    def _note_bad(self, trouble: failure.Failure) -> None:
        self._log.write("peer", "Bad message.", reason=trouble.reason)

    def _take(
        self, channel: peer_channel.PeerChannel, message: typing.Any
    ) -> None:
        del channel
        if isinstance(message, peer_messages.Feed):
            self._on_feed(message)
            return
        if isinstance(message, peer_messages.Leaving):
            self.leaving = True
            self._log.write("peer", "A host stops.", host=self.name)
            self._on_leaving(self)
            return
        key = getattr(message, "key", None)
        if key is None:
            return
        deliver = self._deliver_by_key.pop(key, None)
        if deliver is not None:
            deliver(message)
