"""The records of all prompt parts that may crash servers.

A server that crashes had requests with many parts. What all sound requests
share is known by its answers: a part whose last answers all went on, until a
moment ago, is not blamed for a crash, and a router that knows this of a part
tells the others as it learns of their suspicion. Parts without such answers
are suspected. Of a suspected part one request is under way at a time, over the
whole fleet, so that each further crash is one piece of evidence and costs one
server; and such requests share no server, so that it has one cause.

A quarantined part need not be the cause of its crashes: another one may have
been at all of them. A request with the one and without the other tells which
it is, so it is not refused. It either ends well, which clears its part, or
crashes a server with which the other part has nothing to do.

Examples:
    >>> ledger = PartLedger()
    >>> for number in range(3):
    ...     for key in ("p-1", "p-2"):
    ...         sent = ledger.find(key)
    ...         _ = ledger.note_crash(
    ...             key, sent, 0.0, end=f"i-{number}", request=f"d-{number}"
    ...         )
    >>> ledger.find_cause(["p-1", "p-2"]), ledger.find_cause(["p-1"])
    ('p-1', None)
    >>> sent = ledger.find("p-1")
    >>> _ = ledger.note_crash("p-1", sent, 1.0, end="i-3", request="d-3")
    >>> ledger.find_cause(["p-1"]), ledger.find_cause(["p-2"])
    ('p-1', None)

See Also:
    crash_ledger: the records of whole requests.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Set
import typing

from daisypick_core.quarantine import bounded_records
from daisypick_core.quarantine import crash_ledger
from daisypick_core.quarantine import part_record

# A part that crashes servers may come a few times an hour.
_SUSPECT_SECONDS = 3600.0
# A crash leaves as many suspects as its requests have parts.
_MAX_SUSPECTS = 8192
MAX_QUARANTINED = 1024
# Answers after which a part counts as known to be sound, the time for which the
# last of them shows it, as what it names may change, and the number of them
# that excuses one crash.
_SOUND_ANSWERS = 4
_SOUND_SECONDS = 10.0
_EXCUSING_ANSWERS = 2
# Answers to a part that is known to be sound are noted this often.
_ANSWERED_STEP_SECONDS = 1.0
# Parts whose answers are counted: those that a router gets in some minutes.
_MAX_ANSWERED = 16_384


class _Answered(typing.NamedTuple):
    """The answers to one part at this router.

    Attributes:
        count: Answers that went on, up to ``_SOUND_ANSWERS``, less those that
            have excused a crash.
        at: When the last of them did.
        end: Instance of the server whose crash was excused last, for all
            requests that it had.
    """

    count: int
    at: float
    end: str = ""


class PartLedger:
    """Records by the part's key, see ``digest.find_part_key``.

    Attributes:
        revision: Increases whenever a record changes.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._suspects: bounded_records.BoundedRecords[
            part_record.PartRecord
        ] = bounded_records.BoundedRecords(
            seconds=_SUSPECT_SECONDS, limit=_MAX_SUSPECTS
        )
        self._quarantined: bounded_records.BoundedRecords[
            part_record.PartRecord
        ] = bounded_records.BoundedRecords(
            seconds=crash_ledger.QUARANTINE_SECONDS, limit=MAX_QUARANTINED
        )
        self._answered_by_key: dict[str, _Answered] = {}
        # Cleared records stay for as long, so that older ones don't count.
        self._suspected: set[str] = set()

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._suspects.record_by_name) + self.quarantined

    @property
    def quarantined(self) -> int:
        """Number of quarantined parts."""
        return len(self._quarantined.record_by_name)

    @property
    def has_suspects(self) -> bool:
        """Whether a part is suspected or quarantined."""
        return bool(self._suspected)

    def has_quarantined(self, keys: Iterable[str]) -> bool:
        """Return whether one of some parts is quarantined."""
        quarantined = self._quarantined.record_by_name
        return bool(quarantined) and any(key in quarantined for key in keys)

    def find(self, key: str) -> part_record.PartRecord:
        """Return the record of a part."""
        found = self._quarantined.record_by_name.get(key)
        if found is None:
            found = self._suspects.record_by_name.get(key)
        return found or part_record.NO_RECORD

    def find_remaining(self, key: str, now: float) -> float:
        """Return the seconds until a quarantine ends, zero if there is none."""
        return self._quarantined.find_remaining(key, now)

    def find_quarantined(self) -> dict[str, part_record.PartRecord]:
        """Return the records of the quarantined parts."""
        return dict(self._quarantined.record_by_name)

    def iterate_newest(self) -> Iterator[tuple[str, part_record.PartRecord]]:
        """Yield all records, quarantined first, the newest first."""
        for records in (self._quarantined, self._suspects):
            yield from reversed(records.record_by_name.items())

    def find_suspects(self, keys: Collection[str]) -> frozenset[str]:
        """Return those of the parts of one request that are suspected.

        A part with answers is not, if others explain its crashes.
        """
        if not self._suspected:
            return frozenset()
        return frozenset(key for key in keys if self._is_suspected(key, keys))

    def _is_suspected(self, key: str, keys: Collection[str]) -> bool:
        if key not in self._suspected:
            return False
        found = self.find(key)
        if not found.is_suspected:
            return False
        return not found.answers or not self._is_explained(found, keys, ())

    def find_cause(
        self,
        keys: Collection[str],
        *,
        other_ends: Iterable[Set[str]] = (),
    ) -> str | None:
        """Return the part for which a request is refused, or ``None``.

        Args:
            keys: All parts of the request.
            other_ends: For each other known cause that the request does not
                have, the instances of the servers that it crashed.
        """
        for key in keys:
            found = self._quarantined.record_by_name.get(key)
            if found is not None and not self._is_explained(
                found, keys, other_ends
            ):
                return key
        return None

    def _is_explained(
        self,
        found: part_record.PartRecord,
        without: Collection[str],
        other_ends: Iterable[Set[str]],
    ) -> bool:
        """Return whether parts that a request lacks explain one that it has.

        A part with answers explains none without.
        """
        unexplained = set(found.ends)
        for key, record in self._quarantined.record_by_name.items():
            if key not in without and (found.answers or not record.answers):
                unexplained -= record.ends
        return bool(found.ends) and not unexplained.difference(*other_ends)

    def find_ends(self, *, without: Collection[str]) -> list[Set[str]]:
        """Return the ends of servers of each quarantined part but some."""
        return [
            record.ends
            for key, record in self._quarantined.record_by_name.items()
            if key not in without
        ]

    def note_crash(
        self,
        key: str,
        sent: part_record.PartRecord,
        now: float,
        *,
        end: str,
        request: str,
    ) -> part_record.PartRecord | None:
        """Record a crash before an answer to a request with a part went on.

        Args:
            key: The part.
            sent: Its record when the request was sent there.
            now: The time.
            end: The instance of the server.
            request: Digest of the request.

        Returns:
            Its new record, or ``None`` if nothing changed.
        """
        if self._excuse(key, end, now):
            return None
        crashed = sent.after_crash(end, request)
        return self._put(key, self.find(key).merge(crashed), now)

    def _excuse(self, key: str, end: str, now: float) -> bool:
        """Return whether recent answers excuse a part from a crash."""
        answered = self._answered_by_key.get(key)
        if answered is None or now - answered.at >= _SOUND_SECONDS:
            return False
        if answered.end == end:
            return True
        if answered.count < _EXCUSING_ANSWERS:
            return False
        self._answered_by_key[key] = answered._replace(
            count=answered.count - _EXCUSING_ANSWERS, end=end
        )
        return True

    def note_answer(
        self, key: str, now: float
    ) -> part_record.PartRecord | None:
        """Record an answer that went on; return the record if it changed."""
        answered = self._answered_by_key.get(key)
        if (
            answered is not None
            and answered.count >= _SOUND_ANSWERS
            and now - answered.at < _ANSWERED_STEP_SECONDS
            and key not in self._suspected
        ):
            return None
        self._answered_by_key.pop(key, None)
        count = answered.count if answered is not None else 0
        self._answered_by_key[key] = _Answered(
            count=min(count + 1, _SOUND_ANSWERS),
            at=now,
            end=answered.end if answered is not None else "",
        )
        if len(self._answered_by_key) > _MAX_ANSWERED:
            del self._answered_by_key[next(iter(self._answered_by_key))]
        if not len(self):
            return None
        found = self.find(key)
        if not found.crashes:
            return None
        return self._put(key, found.after_answer(), now)

    def _is_sound(self, key: str, now: float) -> bool:
        answered = self._answered_by_key.get(key)
        return (
            answered is not None
            and answered.count >= _SOUND_ANSWERS
            and now - answered.at < _SOUND_SECONDS
        )

    def release(self, key: str, now: float) -> part_record.PartRecord | None:
        """Clear a part; return its record if it changed."""
        found = self.find(key)
        if not found.crashes:
            return None
        return self._put(key, found.after_release(), now)

    def find_explained(self, ends: Set[str]) -> list[str]:
        """Return the quarantined parts all of whose crashes are some ends."""
        return [
            key
            for key, record in self._quarantined.record_by_name.items()
            if record.ends <= ends
        ]

    def merge(
        self, key: str, record: part_record.PartRecord, now: float
    ) -> part_record.PartRecord | None:
        """Add what another router knows; return the record if it changed.

        A part that is known here to be sound is cleared at once.
        """
        found = self.find(key)
        merged = found.merge(record)
        if merged == found:
            return None
        if merged.crashes and self._is_sound(key, now):
            merged = merged.after_release()
        return self._put(key, merged, now)

    def _put(
        self, key: str, record: part_record.PartRecord, now: float
    ) -> part_record.PartRecord | None:
        if record == self.find(key):
            return None
        self.revision += 1
        self._suspects.discard(key)
        self._quarantined.discard(key)
        records = self._quarantined if record.is_quarantined else self._suspects
        records.put(key, record, now)
        if record.is_suspected:
            self._suspected.add(key)
        else:
            self._suspected.discard(key)
        return record

    def expire(self, now: float) -> None:
        """Forget records that have not changed for a long time."""
        known = len(self)
        self._suspects.expire(now)
        self._quarantined.expire(now)
        if len(self) != known:
            self.revision += 1
        self._suspected = {
            key for key in self._suspected if self.find(key).is_suspected
        }
