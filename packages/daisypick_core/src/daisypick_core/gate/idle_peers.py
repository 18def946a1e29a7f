"""Redirecting waiting attempts to idle agents.

With hundreds of routers, each receives responses of a given agent too rarely
to know which agents are idle, so that attempts wait at one agent while a slot
is free at another. An agent with free slots and an empty queue therefore
announces this to a few random peers every half second. A peer at which an
attempt waits, then or within the next second, forwards the announcement to
the attempt's router on the stream that is open for that attempt. The router
withdraws the attempt and sends it to the idle agent. Correctness does not
depend on hints: a stale or lost one costs a redirect or a longer wait.

Examples:
    >>> import random
    >>> announcer = IdleAnnouncer(rng=random.Random(1))
    >>> announcer.is_due(free=2, waiting=1, now=0.0)
    False
    >>> announcer.is_due(free=2, waiting=0, now=0.0)
    True
    >>> announcer.record_announced(0.0)
    >>> announcer.is_due(free=2, waiting=0, now=0.1)
    False
    >>> announcer.is_due(free=2, waiting=0, now=0.75)
    True
"""

import collections
import random

from daisypick_core.messages import load as load_message

PERIOD = 0.5
# Peers that an idle agent notifies each time.
PEERS_PER_ANNOUNCEMENT = 2
_JITTER = (0.5, 1.5)
_MAX_AGE = 1.0
_MAX_PEERS = 64


class IdleAnnouncer:
    """Schedules an agent's announcements to its peers that it is idle."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._next_at = float("-inf")

    def is_due(self, *, free: int, waiting: int, now: float) -> bool:
        """Return whether peers are to be notified now.

        Args:
            free: Free slots of this agent, 0 while it drains.
            waiting: Attempts that wait at this agent.
            now: Current time, seconds.
        """
        return free > 0 and waiting == 0 and now >= self._next_at

    def record_announced(self, now: float) -> None:
        """Record that peers were notified."""
        self._next_at = now + PERIOD * self._rng.uniform(*_JITTER)


class IdlePeers:
    """Peers that recently reported to be idle, each with its free slots."""

    def __init__(self) -> None:
        self._report_by_peer: collections.OrderedDict[
            str, tuple[float, load_message.Load]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._report_by_peer)

    def note(self, peer: str, load: load_message.Load, now: float) -> None:
        """Record a peer's report; it replaces an earlier one."""
        self._report_by_peer.pop(peer, None)
        if load.free:
            self._report_by_peer[peer] = (now, load)
        if len(self._report_by_peer) > _MAX_PEERS:
            self._report_by_peer.popitem(last=False)

    def take(self, now: float) -> tuple[str, load_message.Load] | None:
        """Return an idle peer and reserve one of its free slots."""
        while self._report_by_peer:
            peer, (reported_at, load) = self._report_by_peer.popitem()
            if now - reported_at > _MAX_AGE:
                self._report_by_peer.clear()
                return None
            left = load._replace(running=load.running + 1)
            if left.free:
                self._report_by_peer[peer] = (reported_at, left)
                self._report_by_peer.move_to_end(peer, last=False)
            return peer, load
        return None
