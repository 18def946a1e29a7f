"""Refuses requests with a prompt part that crashes backend servers.

No two of these requests need to be alike, so that what is known of a crash is
kept by part. Like the records of whole requests, those of parts go to all
routers within some milliseconds.

See Also:
    daisypick_core.quarantine.part_ledger: when a part is suspected or refused.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from collections.abc import Set
import itertools
import random
import time
import typing

from daisypick_core.quarantine import digest
from daisypick_core.quarantine import part_ledger
from daisypick_core.quarantine import part_record
from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.scheduling import job
from daisypick_router import context as contexts
from daisypick_router import log as logs
from daisypick_router import metrics as metric_numbers
from daisypick_router import peer_messages
from daisypick_router import record_flood

# Records that a new connection gets.
_MAX_RECORDS = 512
# Parts of one request that are blamed for a crash. Callers choose how many a
# prompt has, and each record is sent to all routers.
_MAX_BLAMED = 16


class PartQuarantine:
    """Records of parts, and what follows from them for a request.

    Args:
        log: Log of the process.
        metrics: Its metrics.
        rng: Randomness.
        find_request_ends: Returns the ends of servers by the digest of each
            request that is quarantined by itself.

    Attributes:
        ledger: The records.
        flood: Sends changed records to other routers.
    """

    def __init__(
        self,
        *,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
        rng: random.Random,
        find_request_ends: Callable[[], dict[str, Set[str]]],
    ) -> None:
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._find_request_ends = find_request_ends
        self._on_own_quarantine: (
            Callable[[str, dict[str, typing.Any]], None] | None
        ) = None
        self.ledger = part_ledger.PartLedger()
        self.flood = record_flood.RecordFlood(write=_write)

    def on_own_quarantine(
        self, listener: Callable[[str, dict[str, typing.Any]], None]
    ) -> None:
        """Call ``listener(key, details)`` when this router quarantines one."""
        self._on_own_quarantine = listener

    def refuse(self, context: contexts.Context) -> failure.Failure | None:
        """Return the refusal of a request with a quarantined part."""
        if not self.ledger.has_quarantined(context.part_keys):
            return None
        key = self.ledger.find_cause(
            context.part_keys, other_ends=self._find_other_ends(context)
        )
        if key is None:
            return None
        self._metrics.count("quarantine_hits_total")
        return failure.Failure(
            code=codes.QUARANTINED,
            reason=f"part {_find_name(context, key)} crashed servers",
            retry_after=self.ledger.find_remaining(key, time.monotonic()),
        )

    def _find_other_ends(self, context: contexts.Context) -> list[Set[str]]:
        return [
            ends
            for found, ends in self._find_request_ends().items()
            if found != context.digest
        ]

    def find_ends(self, context: contexts.Context) -> list[Set[str]]:
        """Return the ends of servers of each part that a request lacks."""
        return self.ledger.find_ends(without=context.part_keys)

    def note_sent(self, context: contexts.Context) -> None:
        """Record that a request is sent to a server now."""
        context.parts_when_sent = {}
        if len(self.ledger):
            context.parts_when_sent = {
                key: self.ledger.find(key) for key in context.part_keys
            }

    def note_crash(self, context: contexts.Context, end: str) -> None:
        """Record that a server ended before its answer went on."""
        now = time.monotonic()
        for key in self._choose_blamed(context.part_keys):
            sent = context.parts_when_sent.get(key, part_record.NO_RECORD)
            was_quarantined = self.ledger.find(key).is_quarantined
            record = self.ledger.note_crash(
                key, sent, now, end=end, request=context.digest
            )
            if record is None:
                continue
            self.flood.queue([(key, record)])
            if not record.is_quarantined or was_quarantined:
                continue
            details = {
                "service": context.service.name,
                "prompt_part": _find_name(context, key),
                "route": context.route.name,
                "organisation": context.organisation,
            }
            self._log.write(
                "quarantine",
                "A part that crashes servers is refused from now on.",
                key=key,
                crashes=record.crashes,
                answers=record.answers,
                **details,
            )
            if self._on_own_quarantine is not None:
                self._on_own_quarantine(key, details)

    def _choose_blamed(self, keys: Sequence[str]) -> Sequence[str]:
        """Return the parts of a request that are blamed for a crash.

        Those that were at one before go first, the others are drawn, so that
        the cause is found among any number of parts.
        """
        if len(keys) <= _MAX_BLAMED:
            return keys
        known = [key for key in keys if self.ledger.find(key).crashes]
        others = [key for key in keys if not self.ledger.find(key).crashes]
        self._rng.shuffle(others)
        return (known + others)[:_MAX_BLAMED]

    def note_answer(self, context: contexts.Context) -> None:
        """Record that an answer went on past its first event, or ended well."""
        now = time.monotonic()
        for key in context.part_keys:
            record = self.ledger.note_answer(key, now)
            if record is not None:
                self.flood.queue([(key, record)])

    def release(self, key: str) -> None:
        """Let requests with a part run again."""
        record = self.ledger.release(key, time.monotonic())
        if record is not None:
            self._log.write("quarantine", "A part is released.", key=key)
            self.flood.queue([(key, record)])

    def release_explained(self, ends: Set[str]) -> None:
        """Release the parts all of whose crashes are some ends."""
        for key in self.ledger.find_explained(ends):
            self.release(key)

    def merge(
        self, records: Iterable[tuple[str, part_record.PartRecord]]
    ) -> None:
        """Apply records of other routers; pass on those that are new here."""
        now = time.monotonic()
        for key, record in records:
            was_quarantined = self.ledger.find(key).is_quarantined
            merged = self.ledger.merge(key, record, now)
            if merged is None:
                continue
            self.flood.queue([(key, merged)])
            if merged.is_quarantined and not was_quarantined:
                self._log.write(
                    "quarantine",
                    "A part that crashes servers is refused from now on.",
                    key=key,
                    crashes=merged.crashes,
                    answers=merged.answers,
                )

    def receive(self, message: peer_messages.PartCrashes) -> None:
        """Apply another router's message."""
        self.merge(
            (
                key,
                part_record.PartRecord(
                    epoch=epoch,
                    crashes=crashes,
                    answers=answers,
                    ends=frozenset(ends),
                    requests=frozenset(requests),
                ),
            )
            for key, epoch, crashes, answers, ends, requests in message.records
        )

    def describe(self) -> list[peer_messages.PartCrashes]:
        """Return the newest records for a router that has just connected."""
        newest = itertools.islice(self.ledger.iterate_newest(), _MAX_RECORDS)
        return _write(list(newest))

    def expire(self) -> None:
        """Forget old records."""
        self.ledger.expire(time.monotonic())
        self._metrics.set_gauge("quarantined_parts", self.ledger.quarantined)
        self._metrics.set_gauge("crash_suspect_parts", len(self.ledger))

    def find_service(self, service: str) -> "ServiceParts":
        """Return what a scheduler of a model service asks for."""
        return ServiceParts(
            ledger=self.ledger,
            service=service,
            find_request_ends=self._find_request_ends,
        )


class ServiceParts:
    """What is known of the parts of one model service's prompts.

    See ``daisypick_core.scheduling.suspect_runs.Suspicion``.
    """

    def __init__(
        self,
        *,
        ledger: part_ledger.PartLedger,
        service: str,
        find_request_ends: Callable[[], dict[str, Set[str]]],
    ) -> None:
        self._ledger = ledger
        self._service = service
        self._find_request_ends = find_request_ends

    @property
    def revision(self) -> int:
        """Increases whenever something changes."""
        return self._ledger.revision

    @property
    def is_empty(self) -> bool:
        """Whether no part is suspected."""
        return not self._ledger.has_suspects

    def find_suspects(self, parts: Sequence[job.Part]) -> frozenset[str]:
        """Return the names of the suspected parts of a prompt."""
        if self.is_empty:
            return frozenset()
        keys = self._find_keys(parts)
        suspects = self._ledger.find_suspects(keys)
        return frozenset(
            part.name
            for part, key in zip(parts, keys, strict=False)
            if key in suspects
        )

    def is_refused(self, parts: Sequence[job.Part]) -> bool:
        """Return whether no request with a prompt may be sent."""
        keys = self._find_keys(parts)
        if not self._ledger.has_quarantined(keys):
            return False
        cause = self._ledger.find_cause(
            keys, other_ends=self._find_request_ends().values()
        )
        return cause is not None

    def _find_keys(self, parts: Sequence[job.Part]) -> list[str]:
        return [
            digest.find_part_key(self._service, part.name)
            for part in parts[:-1][: contexts.MAX_PARTS]
        ]


def _find_name(context: contexts.Context, key: str) -> str:
    for part, found in zip(
        context.shared_parts, context.part_keys, strict=False
    ):
        if found == key:
            return part.name[:64]
    return key


def _write(
    records: list[tuple[str, part_record.PartRecord]],
) -> list[peer_messages.PartCrashes]:
    if not records:
        return []
    return [
        peer_messages.PartCrashes(
            records=tuple(
                (
                    key,
                    record.epoch,
                    record.crashes,
                    record.answers,
                    tuple(sorted(record.ends)),
                    tuple(sorted(record.requests)),
                )
                for key, record in records
            )
        )
    ]
