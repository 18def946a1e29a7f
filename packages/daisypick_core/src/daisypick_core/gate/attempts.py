"""Which attempts the gate knows, and which can never start.

An attempt goes ``WAITING`` -> ``CLAIMING`` -> ``RUNNING`` -> ``DONE``, or
ends as ``BARRED`` without having started. ``BARRED`` is what makes "not run"
true: an attempt that was refused or withdrawn can arrive again, late or
doubled, and must not start then.

Memory is bounded, so settled attempts are forgotten some time. Forgetting
alone would be unsound: the late offer of a forgotten attempt looks new. So
the life of an incarnation is divided into *epochs*. An attempt carries the
epoch that its router last heard. Offers of an epoch older than
``EPOCHS_OPEN`` are refused whatever the table says, and a settled attempt is
forgotten only after every offer of it is refused for its age. A table that
fills up early begins its next epoch early: that costs retries, never a run.

Examples:
    >>> table = AttemptTable()
    >>> table.set_state("a", BARRED)
    >>> for _ in range(EPOCHS_OPEN + 1):
    ...     table.begin_epoch()
    >>> table.state("a"), table.is_stale(0), table.is_stale(1)
    (None, True, False)
"""

import collections
import typing

WAITING = "waiting"
CLAIMING = "claiming"
RUNNING = "running"
DONE = "done"
BARRED = "barred"
FORGOTTEN = "forgotten"
GONE = "gone"

_SETTLED = frozenset({DONE, BARRED})

EPOCH_SECONDS = 60.0
EPOCHS_OPEN = 2
# A claimed attempt is asked about for as long as its key is remembered.
EPOCHS_CLAIMED = 90


class AttemptTable:
    """States of attempts by id; settled ones are kept for some epochs.

    Attributes:
        epoch: Number of the current epoch, from 0.
    """

    def __init__(self, *, settled_an_epoch: int = 25_000) -> None:
        if settled_an_epoch < 1:
            raise ValueError(f"settled_an_epoch: {settled_an_epoch} is below 1")
        self.epoch = 0
        self._settled_an_epoch = settled_an_epoch
        self._state_by_id: dict[str, str] = {}
        self._claimed_ids: set[str] = set()
        self._settled_by_epoch: dict[int, list[str]] = {0: []}
        self._claimed_by_epoch: collections.deque[tuple[int, str]] = (
            collections.deque()
        )
        self._epoch_ends_at: float | None = None

    def __len__(self) -> int:
        """Return how many attempts the table holds."""
        return len(self._state_by_id)

    def state(self, attempt_id: str) -> str | None:
        """Return the state of an attempt, ``None`` if it is not known."""
        return self._state_by_id.get(attempt_id)

    def is_stale(self, epoch: int) -> bool:
        """Tell whether an attempt of that epoch can no longer be told."""
        return not self.epoch - EPOCHS_OPEN <= epoch <= self.epoch

    def set_state(self, attempt_id: str, state: str) -> None:
        """Move an attempt to a state.

        Raises:
            ValueError: The attempt is settled and ``state`` would revive it.
        """
        current = self._state_by_id.get(attempt_id)
        if current in _SETTLED and state != current:
            raise ValueError(f"attempt_id: {attempt_id} is {current} for good")
        self._state_by_id[attempt_id] = state
        if state == CLAIMING:
            self._claimed_ids.add(attempt_id)
        if state in _SETTLED and current != state:
            self._settle(attempt_id)

    def advance(self, now: float) -> None:
        """Begin the next epoch when the current one has lasted its time.

        A process that was paused for long begins one epoch, not many: its
        memory lasts longer then, which is safe.
        """
        if self._epoch_ends_at is None:
            self._epoch_ends_at = now + EPOCH_SECONDS
        if now >= self._epoch_ends_at:
            self.begin_epoch()
            self._epoch_ends_at = now + EPOCH_SECONDS

    def begin_epoch(self) -> None:
        """Begin the next epoch, forget what no offer can revive."""
        self.epoch += 1
        self._settled_by_epoch[self.epoch] = []
        # Settled in epoch b, the attempt carries an epoch of at most b. Its
        # offers are stale from b + EPOCHS_OPEN + 1 on, so it goes only now.
        oldest = self.epoch - EPOCHS_OPEN - 1
        for attempt_id in self._settled_by_epoch.pop(oldest, ()):
            self._state_by_id.pop(attempt_id, None)
        self._forget_claimed(self.epoch - EPOCHS_CLAIMED)

    def _settle(self, attempt_id: str) -> None:
        if attempt_id in self._claimed_ids:
            self._claimed_by_epoch.append((self.epoch, attempt_id))
            self._forget_surplus_claimed()
            return
        settled = self._settled_by_epoch[self.epoch]
        settled.append(attempt_id)
        if len(settled) >= self._settled_an_epoch:
            self.begin_epoch()

    def _forget_surplus_claimed(self) -> None:
        if len(self._claimed_by_epoch) <= self._settled_an_epoch:
            return
        epoch, attempt_id = self._claimed_by_epoch[0]
        while not self.is_stale(epoch):
            self.begin_epoch()
        if attempt_id in self._claimed_ids:
            self._forget_claimed(epoch)

    def _forget_claimed(self, epoch: int) -> None:
        """Forget the claimed attempts settled in that epoch or before."""
        claimed = self._claimed_by_epoch
        while claimed and claimed[0][0] <= epoch:
            _, attempt_id = claimed.popleft()
            self._claimed_ids.discard(attempt_id)
            self._state_by_id.pop(attempt_id, None)


class AttemptStatus(typing.NamedTuple):
    """Answer to "what became of attempt A?".

    Attributes:
        state: One of the states of this module; ``FORGOTTEN`` if the
            attempt is too old for the table to tell, ``GONE`` if it was
            addressed to another incarnation of the agent.
        ran: ``False`` only if it has not started and never will; ``True``
            if it has started, may still start, or may have run.
    """

    state: str
    ran: bool
