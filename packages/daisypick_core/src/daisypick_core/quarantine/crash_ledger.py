"""The records of all requests that may crash servers.

Memory is bounded: a suspect is forgotten some time after its last change, a
quarantined request after a day, and beyond a number of either the oldest goes.

Examples:
    >>> ledger = CrashLedger()
    >>> for now in (0.0, 1.0, 2.0):
    ...     sent = ledger.find("d-1")
    ...     _ = ledger.note_crash("d-1", sent, now, end=f"i-{now:.0f}/1")
    >>> ledger.find("d-1").is_quarantined
    True
    >>> ledger.find_remaining("d-1", now=2.0)
    86400.0
    >>> ledger.note_success("d-1", now=3.0)
    CrashRecord(epoch=1, level=0, excused=0, ends=frozenset())

See Also:
    daisypick_core.quarantine.crash_record: how records are merged.
"""

from collections.abc import Iterator

from daisypick_core.quarantine import bounded_records
from daisypick_core.quarantine import crash_record

# A caller that repeats a request does so within minutes.
_SUSPECT_SECONDS = 600.0
# Each time that a quarantine ends, the request may crash three more servers.
QUARANTINE_SECONDS = 86_400.0
# A crash leaves as many suspects as an engine has slots, at most some hundred.
_MAX_SUSPECTS = 8192
MAX_QUARANTINED = 1024


class CrashLedger:
    """Records by digest."""

    def __init__(self) -> None:
        self._suspects = bounded_records.BoundedRecords(
            seconds=_SUSPECT_SECONDS, limit=_MAX_SUSPECTS
        )
        self._quarantined = bounded_records.BoundedRecords(
            seconds=QUARANTINE_SECONDS, limit=MAX_QUARANTINED
        )

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._suspects.record_by_name) + self.quarantined

    @property
    def quarantined(self) -> int:
        """Number of quarantined requests."""
        return len(self._quarantined.record_by_name)

    def find(self, digest: str) -> crash_record.CrashRecord:
        """Return the record of a request."""
        found = self._quarantined.record_by_name.get(digest)
        if found is None:
            found = self._suspects.record_by_name.get(digest)
        return found or crash_record.NO_RECORD

    def find_remaining(self, digest: str, now: float) -> float:
        """Return the seconds until a quarantine ends, zero if there is none."""
        return self._quarantined.find_remaining(digest, now)

    def find_quarantined(self) -> dict[str, crash_record.CrashRecord]:
        """Return the records of the quarantined requests."""
        return dict(self._quarantined.record_by_name)

    def iterate_newest(
        self,
    ) -> Iterator[tuple[str, crash_record.CrashRecord]]:
        """Yield all records, quarantined first, the newest first."""
        for records in (self._quarantined, self._suspects):
            yield from reversed(records.record_by_name.items())

    def note_crash(
        self,
        digest: str,
        sent: crash_record.CrashRecord,
        now: float,
        *,
        end: str,
    ) -> crash_record.CrashRecord | None:
        """Record that a server crashed while it had a request.

        Args:
            digest: The request.
            sent: Its record when it was sent there.
            now: The time.
            end: The instance of the server.

        Returns:
            Its new record, or ``None`` if nothing changed.
        """
        known = self.find(digest)
        record = known.merge(sent.after_crash(end))
        if (
            not known.is_quarantined
            and record.may_be_excused
            and self._find_sharing(digest, record)
        ):
            # Only this one: the others were quarantined before.
            record = record.after_excuse()
        return self.merge(digest, record, now)

    def excuse(self, digest: str, now: float) -> list[str]:
        """Excuse requests of whose crashes each one may explain the other's.

        Routers that see one crash do not know of each other's records yet. So
        two requests that always were together are quarantined at once, and the
        next crash has to tell which of them caused all.

        Args:
            digest: The request whose record has changed.
            now: The time.

        Returns:
            The digests of the requests that were excused.
        """
        changed = self.find(digest)
        if not changed.is_quarantined:
            return []
        sharing = self._find_sharing(digest, changed)
        excused = [
            other
            for other, record in sharing.items()
            if record.may_be_excused and record.level <= changed.level
        ]
        if changed.may_be_excused and any(
            record.level >= changed.level for record in sharing.values()
        ):
            excused.append(digest)
        for other in excused:
            self.merge(other, self.find(other).after_excuse(), now)
        return excused

    def _find_sharing(
        self, digest: str, record: crash_record.CrashRecord
    ) -> dict[str, crash_record.CrashRecord]:
        """Return the quarantined requests that were at one of its crashes."""
        return {
            other: found
            for other, found in self._quarantined.record_by_name.items()
            if other != digest and not found.ends.isdisjoint(record.ends)
        }

    def note_success(
        self, digest: str, now: float
    ) -> crash_record.CrashRecord | None:
        """Record that a request ended well; return its record if it changed."""
        found = self.find(digest)
        if not found.level:
            return None
        return self.merge(digest, found.after_success(), now)

    def merge(
        self, digest: str, record: crash_record.CrashRecord, now: float
    ) -> crash_record.CrashRecord | None:
        """Add what another router knows; return the record if it changed."""
        found = self.find(digest)
        merged = found.merge(record)
        if merged == found:
            return None
        self._suspects.discard(digest)
        self._quarantined.discard(digest)
        records = self._quarantined if merged.is_quarantined else self._suspects
        records.put(digest, merged, now)
        return merged

    def expire(self, now: float) -> None:
        """Forget records that have not changed for a long time."""
        self._suspects.expire(now)
        self._quarantined.expire(now)
