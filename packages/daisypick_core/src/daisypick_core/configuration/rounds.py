"""The gossip schedule: when a process notifies peers or queries the store.

Peers are chosen at random, with probability 1/2 among the nearby ones, so
that a change spreads fast within a data centre and still reaches the others.

Examples:
    >>> rounds = Rounds(rng=random.Random(1), limits=DEFAULT_LIMITS)
    >>> rounds.set_peers(["a", "b"], ["a"])
    >>> rounds.note_change()
    >>> for action in rounds.due_notices(7, 0.0):
    ...     print(action)
    Notify(peer='a', generation=7)
    Notify(peer='b', generation=7)
    >>> rounds.due_notices(7, 0.0)
    []
"""

from collections.abc import Sequence
import random
import typing

from daisypick_core.configuration import distribution_actions as actions


class DistributionLimits(typing.NamedTuple):
    """Times in seconds, and limits of the distribution.

    Attributes:
        exchange_seconds: Mean time between two exchanges of generations with
            a random peer.
        notice_seconds: Minimum time between two rounds of notices.
        notice_fanout: Maximum number of peers notified in a round.
        fetch_timeout: Time without progress after which a source has failed.
        suspend_seconds: Time for which a failed source is not used.
        start_peers: Peers queried at startup.
        start_retry: Mean time between two rounds of queries at startup.
        isolated_seconds: Time without contact to any peer after which the
            store is queried, at about this interval.
        batch: Maximum number of chunks in a request.
    """

    exchange_seconds: float = 2.0
    notice_seconds: float = 1.0
    notice_fanout: int = 5
    fetch_timeout: float = 3.0
    suspend_seconds: float = 5.0
    start_peers: int = 3
    start_retry: float = 2.0
    isolated_seconds: float = 20.0
    batch: int = 64


DEFAULT_LIMITS = DistributionLimits()


class Rounds:
    """The gossip schedule of one process."""

    def __init__(
        self, *, rng: random.Random, limits: DistributionLimits
    ) -> None:
        self._rng = rng
        self._limits = limits
        self._near: Sequence[str] = ()
        self._peers: Sequence[str] = ()
        self._must_notify = False
        self._next_notice = 0.0
        self._next_exchange = 0.0
        self._next_store = 0.0
        self._contact_at = 0.0

    @property
    def peer_count(self) -> int:
        """Number of known peers."""
        return len(self._peers)

    def set_peers(self, peers: Sequence[str], near: Sequence[str]) -> None:
        """Set the addresses of the live peers and of the nearby ones."""
        self._peers = peers
        self._near = near

    def start(self, now: float) -> list[str]:
        """Return the peers to query at startup."""
        self._contact_at = now
        self._next_store = now + self._limits.isolated_seconds
        self._next_exchange = (
            now + self._rng.random() * self._limits.exchange_seconds
        )
        count = min(self._limits.start_peers, len(self._peers))
        return self._rng.sample(self._peers, count)

    def note_contact(self, now: float) -> None:
        """Record a contact with some peer."""
        self._contact_at = now

    def note_change(self) -> None:
        """Record that peers must be notified of a change."""
        self._must_notify = True

    def due_notices(self, generation: int, now: float) -> list[actions.Action]:
        """Return the notices of a round, if one is due.

        Changes between two rounds are combined: a notice carries only the
        latest generation.
        """
        if not self._must_notify or now < self._next_notice:
            return []
        self._must_notify = False
        self._next_notice = now + self._limits.notice_seconds
        chosen = {
            self._choose_peer() for _ in range(self._limits.notice_fanout)
        }
        return [
            actions.Notify(peer=peer, generation=generation)
            for peer in sorted(chosen - {""})
        ]

    def due_exchanges(
        self, generation: int, now: float
    ) -> list[actions.Action]:
        """Return exchanges that compensate for lost notices and idle peers.

        The generation is sent to one random peer, which replies with its own,
        so that either side learns if it is behind. A process without contact
        to any peer queries the store.
        """
        due: list[actions.Action] = []
        if now >= self._next_exchange:
            jitter = 0.75 + 0.5 * self._rng.random()
            self._next_exchange = now + self._limits.exchange_seconds * jitter
            peer = self._choose_peer()
            if peer:
                due.append(actions.Notify(peer=peer, generation=generation))
        is_isolated = now - self._contact_at >= self._limits.isolated_seconds
        if is_isolated and now >= self._next_store:
            jitter = 0.5 + self._rng.random()
            self._next_store = now + self._limits.isolated_seconds * jitter
            due.append(actions.FetchRoot(source=actions.STORE, have=""))
        return due

    def _choose_peer(self) -> str:
        near = self._near if self._rng.random() < 0.5 else ()
        peers = near or self._peers
        return self._rng.choice(peers) if peers else ""
