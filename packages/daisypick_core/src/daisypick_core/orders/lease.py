"""The lease that says who may order an engine.

The record lives in the platform's store and is changed by conditional
updates only. Clocks are not shared, so nothing in it is a time of day:

* The holder counts from the moment at which it *sent* its last successful
  write, on its own monotonic clock, and stops a little early.
* Somebody else may take the lease when the record has not changed for
  ``duration + longest_order`` since it *first saw* it, on its own monotonic
  clock, and a little longer. By then the old holder has stopped sending, and
  the last order that it sent has ended, also if the holder was paused.

Examples:
    >>> lease = Lease(holder="a1", duration=10.0, longest_order=5.0)
    >>> lease.tick(0.0)
    [ReadLease()]
    >>> (write,) = lease.read(None, None, 0.1)
    >>> write.record.fencing, write.if_version
    (1, None)
    >>> lease.written("v1", 0.2)
    >>> lease.is_held(5.0), lease.is_held(9.9), lease.fencing
    (True, False, 1)
"""

from daisypick_core.orders import actions
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

# Two monotonic clocks may differ in speed by this fraction.
DRIFT = 0.05
_RENEW_AFTER = 1.0 / 3.0
_POLL_FRACTION = 0.1


class Lease:
    """One process's view of the lease of one engine.

    Attributes:
        fencing: Fencing number of this holder, 0 before it ever held it.
    """

    def __init__(
        self, *, holder: str, duration: float, longest_order: float
    ) -> None:
        if not holder:
            raise ValueError("holder: is empty")
        self.fencing = 0
        self._holder = holder
        self._duration = duration
        self._longest_order = longest_order
        self._record: actions.LeaseRecord | None = None
        self._version: str | None = None
        self._first_seen_at = 0.0
        self._held_until = float("-inf")
        self._next_at = float("-inf")
        self._written: actions.LeaseRecord | None = None
        self._sent_at = 0.0

    @property
    def longest_order(self) -> float:
        """Seconds in which each order must have ended."""
        return self._longest_order

    def is_held(self, now: float) -> bool:
        """Tell whether this process may order the engine at ``now``."""
        return now < self._held_until

    def tick(self, now: float) -> list[actions.LeaseAction]:
        """Renew, or look whether the lease can be taken."""
        if now < self._next_at or self._written is not None:
            return []
        self._next_at = now + self._duration * _POLL_FRACTION
        if self.is_held(now) and self._record is not None:
            return [self._write(self.fencing, now)]
        return [actions.ReadLease()]

    def read(
        self,
        record: actions.LeaseRecord | None,
        version: str | None,
        now: float,
    ) -> list[actions.LeaseAction]:
        """Take what the store holds; ``None`` if there is no object."""
        if self._written is not None:
            self._settle_lost_write(record, version)
        if version != self._version or record != self._record:
            self._first_seen_at = now
        self._record = record
        self._version = version
        if self.is_held(now):
            return []
        if record is None:
            return [self._write(1, now)]
        if record.holder == self._holder:
            # Lapsed while this process was paused, and nobody took it.
            return [self._write(record.fencing, now)]
        if now >= self._free_at(record):
            return [self._write(record.fencing + 1, now)]
        return []

    def written(self, version: str, now: float) -> None:
        """Note that the last write took effect."""
        record = self._written
        if record is None:
            return
        self._written = None
        self._accept(record, version)
        self._next_at = now + self._duration * _RENEW_AFTER

    def failed(
        self, failure: failure_value.Failure, now: float
    ) -> list[actions.LeaseAction]:
        """Note that the last write failed, or that its answer was lost."""
        if failure.code != codes.PLATFORM_ANSWER_LOST:
            self._written = None
        if failure.code == codes.PLATFORM_CONFLICT:
            # Somebody else has written: nothing that is remembered of the
            # record is true any more, this holder's lease included.
            self._held_until = float("-inf")
        self._next_at = now + self._duration * _POLL_FRACTION
        return [actions.ReadLease()]

    def release(self, now: float) -> list[actions.LeaseAction]:
        """Give the lease back; only when no order can still run."""
        if not self.is_held(now) or self._record is None:
            return []
        self._held_until = float("-inf")
        released = self._record._replace(
            holder="", serial=self._record.serial + 1
        )
        return [actions.WriteLease(record=released, if_version=self._version)]

    def _free_at(self, record: actions.LeaseRecord) -> float:
        if not record.holder:
            return self._first_seen_at
        wait = (record.duration + record.longest_order) * (1.0 + DRIFT)
        return self._first_seen_at + wait

    def _write(self, fencing: int, now: float) -> actions.WriteLease:
        serial = self._record.serial + 1 if self._record else 1
        record = actions.LeaseRecord(
            holder=self._holder,
            fencing=fencing,
            serial=serial,
            duration=self._duration,
            longest_order=self._longest_order,
        )
        self._written = record
        self._sent_at = now
        return actions.WriteLease(record=record, if_version=self._version)

    def _settle_lost_write(
        self, record: actions.LeaseRecord | None, version: str | None
    ) -> None:
        written, self._written = self._written, None
        if record == written and record is not None and version is not None:
            self._accept(record, version)

    def _accept(self, record: actions.LeaseRecord, version: str) -> None:
        self._record = record
        self._version = version
        self.fencing = record.fencing
        # Counted from the sending: the answer may have been long on its way,
        # and others count from when they first saw the record.
        self._held_until = self._sent_at + self._duration * (1.0 - DRIFT)
