"""States of the attempts that the gate knows.

An attempt goes ``WAITING`` -> ``CLAIMING`` -> ``RUNNING`` -> ``DONE``, or
ends as ``BARRED`` without having started. ``BARRED`` guarantees "not run": an
attempt that was refused or withdrawn can arrive again, delayed or duplicated,
and must not start then.

Memory is bounded, so settled attempts are eventually removed. Removal alone
would be unsound, because a late offer of a removed attempt looks new. The
lifetime of an incarnation is therefore divided into *epochs*. An attempt
carries the latest epoch that its router knew. Offers that are more than
``MAX_EPOCH_AGE`` epochs old are refused whatever the table holds, and a settled
attempt is removed only once every offer of it is refused as stale. A table
that fills up begins its next epoch early, which costs retries but never runs
an attempt twice.

Examples:
    >>> table = AttemptTable()
    >>> table.set_state("a", BARRED)
    >>> for _ in range(MAX_EPOCH_AGE + 1):
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
MAX_EPOCH_AGE = 2
# Other agents may query a claimed attempt for as long as its key is stored.
CLAIMED_RETENTION_EPOCHS = 90


class AttemptTable:
    """States of attempts by id; settled ones are kept for several epochs.

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
        """Return whether attempts of that epoch may have been removed.

        A future epoch counts as stale, too.
        """
        return not self.epoch - MAX_EPOCH_AGE <= epoch <= self.epoch

    def set_state(self, attempt_id: str, state: str) -> None:
        """Move an attempt to a state.

        Raises:
            ValueError: The attempt is settled in a state other than ``state``.
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
        """Begin the next epoch when the current one has reached its duration.

        A process that was paused for several epochs begins only one. Settled
        attempts are then kept longer, which is safe.
        """
        if self._epoch_ends_at is None:
            self._epoch_ends_at = now + EPOCH_SECONDS
        if now >= self._epoch_ends_at:
            self.begin_epoch()
            self._epoch_ends_at = now + EPOCH_SECONDS

    def begin_epoch(self) -> None:
        """Begin the next epoch and remove attempts whose offers are stale."""
        self.epoch += 1
        self._settled_by_epoch[self.epoch] = []
        # An attempt settled in epoch b carries an epoch of at most b. Its
        # offers are stale from b + EPOCHS_OPEN + 1 on, so it can be removed.
        oldest = self.epoch - MAX_EPOCH_AGE - 1
        for attempt_id in self._settled_by_epoch.pop(oldest, ()):
            self._state_by_id.pop(attempt_id, None)
        self._drop_claimed(self.epoch - CLAIMED_RETENTION_EPOCHS)

    def _settle(self, attempt_id: str) -> None:
        if attempt_id in self._claimed_ids:
            self._claimed_by_epoch.append((self.epoch, attempt_id))
            self._drop_excess_claimed()
            return
        settled = self._settled_by_epoch[self.epoch]
        settled.append(attempt_id)
        if len(settled) >= self._settled_an_epoch:
            self.begin_epoch()

    def _drop_excess_claimed(self) -> None:
        if len(self._claimed_by_epoch) <= self._settled_an_epoch:
            return
        epoch, attempt_id = self._claimed_by_epoch[0]
        while not self.is_stale(epoch):
            self.begin_epoch()
        if attempt_id in self._claimed_ids:
            self._drop_claimed(epoch)

    def _drop_claimed(self, epoch: int) -> None:
        """Remove the claimed attempts settled in that epoch or before."""
        claimed = self._claimed_by_epoch
        while claimed and claimed[0][0] <= epoch:
            _, attempt_id = claimed.popleft()
            self._claimed_ids.discard(attempt_id)
            self._state_by_id.pop(attempt_id, None)


class AttemptStatus(typing.NamedTuple):
    """Response to a status query about an attempt.

    Attributes:
        state: One of the states of this module; ``FORGOTTEN`` if the
            attempt is unknown and its epoch is stale, ``GONE`` if it was
            addressed to another incarnation of the agent.
        ran: ``False`` only if it has not started and never will; ``True``
            if it has started, may still start, or may have run.
    """

    state: str
    ran: bool
