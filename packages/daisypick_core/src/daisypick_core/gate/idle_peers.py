"""Sending waiting work to agents that are idle.

With hundreds of routers each one hears from a given agent so rarely that it
cannot know which agents are free at the moment: work waits at one agent while
a slot is free at another. So an agent that has free slots and nothing waiting
says so to a few peers, at random, every half second. A peer at which an
attempt has to wait, then or in the next second, passes the news on to its
router, on the stream that is open for that attempt anyway. The router takes
the attempt back and sends it to the idle agent. Nothing depends on it: a hint
that is stale or lost costs a move or a wait.

Examples:
    >>> import random
    >>> seeker = IdleSeeker(rng=random.Random(1))
    >>> seeker.is_due(free=2, waiting=1, now=0.0)
    False
    >>> seeker.is_due(free=2, waiting=0, now=0.0)
    True
    >>> seeker.told(0.0)
    >>> seeker.is_due(free=2, waiting=0, now=0.1)
    False
    >>> seeker.is_due(free=2, waiting=0, now=0.75)
    True
"""

import collections
import random

from daisypick_core.messages import load as load_message

PERIOD = 0.5
# Peers that an idle agent tells each time.
PEERS_TOLD = 2
_JITTER = (0.5, 1.5)
_FRESH = 1.0
_MOST_PEERS = 64


class IdleSeeker:
    """Paces an agent's word to its peers that it is idle."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._next_at = float("-inf")

    def is_due(self, *, free: int, waiting: int, now: float) -> bool:
        """Tell whether to tell peers now.

        Args:
            free: Slots that are free at this agent, 0 while it drains.
            waiting: Attempts that wait at this agent.
            now: Seconds.
        """
        return free > 0 and waiting == 0 and now >= self._next_at

    def told(self, now: float) -> None:
        """Note that peers were told."""
        self._next_at = now + PERIOD * self._rng.uniform(*_JITTER)


class IdlePeers:
    """Peers that lately said to be idle, each with its free slots."""

    def __init__(self) -> None:
        self._heard_by_peer: collections.OrderedDict[
            str, tuple[float, load_message.Load]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._heard_by_peer)

    def note(self, peer: str, load: load_message.Load, now: float) -> None:
        """Take a peer's word; the newest counts."""
        self._heard_by_peer.pop(peer, None)
        if load.free:
            self._heard_by_peer[peer] = (now, load)
        if len(self._heard_by_peer) > _MOST_PEERS:
            self._heard_by_peer.popitem(last=False)

    def take(self, now: float) -> tuple[str, load_message.Load] | None:
        """Return an idle peer and spend one of its free slots."""
        while self._heard_by_peer:
            peer, (heard_at, load) = self._heard_by_peer.popitem()
            if now - heard_at > _FRESH:
                self._heard_by_peer.clear()
                return None
            left = load._replace(running=load.running + 1)
            if left.free:
                self._heard_by_peer[peer] = (heard_at, left)
                self._heard_by_peer.move_to_end(peer, last=False)
            return peer, load
        return None
