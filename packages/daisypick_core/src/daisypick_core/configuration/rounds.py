"""When a process tells its peers, or asks the store.

Peers are chosen at random, every other time one close by, so that news is
quick within a data centre and still reaches the others.

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

from daisypick_core.configuration import spread_actions as actions


class SpreadLimits(typing.NamedTuple):
    """Times in seconds, and bounds.

    Attributes:
        exchange_seconds: Mean time between two exchanges of generations with
            a random peer.
        notice_seconds: Least time between two rounds of notices.
        notice_fanout: Peers told in a round, at most.
        fetch_timeout: Time after which a source is given up.
        suspend_seconds: Time for which a failed source is left alone.
        start_peers: Peers asked at the start.
        start_retry: Time between two rounds at the start.
        isolated_seconds: Silence of all peers after which the store is
            asked, at about this interval.
        batch: Chunks asked for at once.
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


DEFAULT_LIMITS = SpreadLimits()


class Rounds:
    """The timed rounds of one process."""

    def __init__(self, *, rng: random.Random, limits: SpreadLimits) -> None:
        self._rng = rng
        self._limits = limits
        self._near: Sequence[str] = ()
        self._peers: Sequence[str] = ()
        self._must_notify = False
        self._next_notice = 0.0
        self._next_exchange = 0.0
        self._next_store = 0.0
        self._heard_at = 0.0

    @property
    def peer_count(self) -> int:
        """Peers known."""
        return len(self._peers)

    def set_peers(self, peers: Sequence[str], near: Sequence[str]) -> None:
        """Take the addresses of live peers, and of those close by."""
        self._peers = peers
        self._near = near

    def start(self, now: float) -> list[str]:
        """Return the peers to ask at a start."""
        self._heard_at = now
        self._next_store = now + self._limits.isolated_seconds
        self._next_exchange = (
            now + self._rng.random() * self._limits.exchange_seconds
        )
        count = min(self._limits.start_peers, len(self._peers))
        return self._rng.sample(self._peers, count)

    def note_contact(self, now: float) -> None:
        """Note that some peer was heard."""
        self._heard_at = now

    def note_change(self) -> None:
        """Note that there is something to tell."""
        self._must_notify = True

    def due_notices(self, generation: int, now: float) -> list[actions.Action]:
        """Return the notices of a round, if one is due.

        Changes that come faster than rounds are told by one notice: it
        carries the latest generation alone.
        """
        if not self._must_notify or now < self._next_notice:
            return []
        self._must_notify = False
        self._next_notice = now + self._limits.notice_seconds
        chosen = {self._choose() for _ in range(self._limits.notice_fanout)}
        return [
            actions.Notify(peer=peer, generation=generation)
            for peer in sorted(chosen - {""})
        ]

    def due_exchanges(
        self, generation: int, now: float
    ) -> list[actions.Action]:
        """Return what makes up for lost notices and idle processes.

        One random peer is told the generation and answers with its own, so
        whichever of the two is behind learns of it. A process that hears
        nobody asks the store.
        """
        due: list[actions.Action] = []
        if now >= self._next_exchange:
            spread = 0.75 + 0.5 * self._rng.random()
            self._next_exchange = now + self._limits.exchange_seconds * spread
            peer = self._choose()
            if peer:
                due.append(actions.Notify(peer=peer, generation=generation))
        is_isolated = now - self._heard_at >= self._limits.isolated_seconds
        if is_isolated and now >= self._next_store:
            spread = 0.5 + self._rng.random()
            self._next_store = now + self._limits.isolated_seconds * spread
            due.append(actions.FetchRoot(source=actions.STORE, have=""))
        return due

    def _choose(self) -> str:
        near = self._near if self._rng.random() < 0.5 else ()
        peers = near or self._peers
        return self._rng.choice(peers) if peers else ""
