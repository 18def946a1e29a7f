"""Refuses requests that crash the backend servers that run them.

Each router records which requests a server had when it ended, tells the other
routers within some milliseconds, and applies what they tell.
``quarantine_store`` keeps the quarantined requests while all routers restart.

See Also:
    daisypick_core.quarantine: when a request is suspected, isolated or refused.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set
import itertools
import math
import random
import time

from gevent import event

from daisypick_core.quarantine import crash_ledger
from daisypick_core.quarantine import crash_record
from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.serving import backend_server
from daisypick_core.serving import directory as directories
from daisypick_router import context as contexts
from daisypick_router import crash_probe
from daisypick_router import exchange
from daisypick_router import log as logs
from daisypick_router import metrics as metric_numbers
from daisypick_router import part_quarantine
from daisypick_router import peer_messages
from daisypick_router import record_flood
from daisypick_router import relay

# Records that a new connection gets. A lost record of a suspect costs one more
# crash at most.
_MAX_RECORDS = 512
# Time after the start for which requests wait for the list of what is
# quarantined.
_LIST_SECONDS = 1.0
# Parts of a prompt in one log line.
_LOGGED_PARTS = 16

_Sender = Callable[[peer_messages.CrashMessage], None]


class Quarantine:
    """Records of crashes, and what follows from them for a request.

    Attributes:
        ledger: The records of whole requests.
        parts: The records of parts of their prompts.
    """

    def __init__(
        self,
        *,
        probe: crash_probe.CrashProbe,
        directory: directories.Directory,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
        rng: random.Random,
        is_overload: Callable[[backend_server.BackendServer], bool] = (
            lambda server: False
        ),
    ) -> None:
        self._probe = probe
        self._directory = directory
        self._log = log
        self._metrics = metrics
        self._is_overload = is_overload
        self.ledger = crash_ledger.CrashLedger()
        self.parts = part_quarantine.PartQuarantine(
            log=log,
            metrics=metrics,
            rng=rng,
            find_request_ends=self._find_ends,
        )
        self._flood = record_flood.RecordFlood(write=_write)
        self._on_own_quarantine: Callable[[contexts.Context], None] | None = (
            None
        )
        self._has_list = event.Event()
        self._has_list.set()
        self._expected_at = -math.inf

    def add_sender(self, sender: _Sender) -> None:
        """Call ``sender(message)`` with changed records for other routers."""
        self._flood.add_sender(sender)
        self.parts.flood.add_sender(sender)

    def on_own_quarantine(
        self, listener: Callable[[contexts.Context], None]
    ) -> None:
        """Call ``listener(context)`` when this router quarantines a request."""
        self._on_own_quarantine = listener

    def expect_list(self) -> None:
        """Let requests wait for the list that the store keeps."""
        self._has_list.clear()
        self._expected_at = time.monotonic()

    def note_list(self) -> None:
        """Record that the list was read."""
        self._has_list.set()

    def wait_for_list(self) -> None:
        """Wait for the list, for a short time after the start only.

        Without it a router that starts would send what all others refuse.
        """
        left = self._expected_at + _LIST_SECONDS - time.monotonic()
        if left > 0.0:
            self._has_list.wait(left)

    def refuse(self, context: contexts.Context) -> failure.Failure | None:
        """Return the refusal of a quarantined request, else ``None``."""
        return self._refuse_request(context) or self.parts.refuse(context)

    def _refuse_request(
        self, context: contexts.Context
    ) -> failure.Failure | None:
        if not self.ledger.quarantined:
            return None
        remaining = self.ledger.find_remaining(context.digest, time.monotonic())
        if not remaining or self._is_explained(context):
            return None
        self._metrics.count("quarantine_hits_total")
        return failure.Failure(
            code=codes.QUARANTINED,
            reason=f"request {context.digest} crashed servers",
            retry_after=remaining,
        )

    def _is_explained(self, context: contexts.Context) -> bool:
        """Return whether other causes explain all crashes of a request.

        It is tried then: a crash is one that they do not explain.
        """
        ends = self.ledger.find(context.digest).ends
        others = [
            found
            for digest, found in self._find_ends().items()
            if digest != context.digest
        ]
        return bool(ends) and not ends.difference(
            *others, *self.parts.find_ends(context)
        )

    def _find_ends(self) -> dict[str, Set[str]]:
        return {
            found: record.ends
            for found, record in self.ledger.find_quarantined().items()
        }

    def is_isolated(self, context: contexts.Context) -> bool:
        """Return whether a request must be kept apart from others like it."""
        return bool(len(self.ledger)) and (
            self.ledger.find(context.digest).is_isolated
        )

    def note_sent(self, context: contexts.Context) -> None:
        """Record that a request is sent to a server now."""
        context.sent_at = time.monotonic()
        context.went_on = False
        context.crashes_when_sent = (
            self.ledger.find(context.digest)
            if len(self.ledger)
            else crash_record.NO_RECORD
        )
        self.parts.note_sent(context)

    def note_failed(
        self,
        context: contexts.Context,
        server: backend_server.BackendServer,
        result: exchange.NotRun | exchange.Unknown | relay.Broken,
    ) -> None:
        """Record a failed try; waits until it is known whether it crashed."""
        if isinstance(result, exchange.NotRun) or result.timed_out:
            return
        if not self.has_ended(context, server):
            return
        if self._is_overload(server):
            # It ended of all its requests together, none of which is to blame.
            return
        self.note_end(context, server)

    def has_ended(
        self, context: contexts.Context, server: backend_server.BackendServer
    ) -> bool:
        """Return whether a server crashed since it was sent a request."""
        return not self._is_leaving(server) and self._probe.has_ended(
            server, sent_at=context.sent_at
        )

    def note_end(
        self, context: contexts.Context, server: backend_server.BackendServer
    ) -> None:
        """Record that a server ended while it had a request."""
        end = f"{server.name}/{server.born}"
        if not context.went_on:
            self.parts.note_crash(context, end)
        record = self.ledger.note_crash(
            context.digest,
            context.crashes_when_sent,
            time.monotonic(),
            end=end,
        )
        known = self.ledger.find(context.digest)
        self._log.write(
            "quarantine",
            "A server ended with a request.",
            id=context.attempt,
            digest=context.digest,
            server=server.name,
            crashes=known.level,
            excused=known.excused,
            route=context.route.name,
            organisation=context.organisation,
            parts=[part.name for part in context.shared_parts[:_LOGGED_PARTS]],
            went_on=context.went_on,
        )
        if record is None:
            return
        self._flood.queue([(context.digest, record)])
        if record.is_quarantined:
            self._log_quarantined(context.digest)
            self._excuse(context.digest)
            if self._on_own_quarantine is not None:
                self._on_own_quarantine(context)

    def _is_leaving(self, server: backend_server.BackendServer) -> bool:
        """Return whether the end of a server is planned.

        The entry of a server that crashed is removed only when its lease ends,
        some seconds later.
        """
        listed = self._directory.server_by_name.get(server.name)
        return (
            listed is None
            or listed.born != server.born
            or self._directory.is_leaving(listed)
        )

    def note_answered(
        self, context: contexts.Context, *, accepted: bool = True
    ) -> None:
        """Record that a server ran a request to its end.

        Args:
            context: The request.
            accepted: Whether it answered what was asked, so that it has read
                the prompt.
        """
        if accepted and not context.went_on:
            context.went_on = True
            self.parts.note_answer(context)
        if not len(self.ledger):
            return
        record = self.ledger.note_success(context.digest, time.monotonic())
        if record is not None:
            self._flood.queue([(context.digest, record)])

    def release(self, digest: str) -> None:
        """Let a request run again that is no longer in the store's list."""
        self.parts.release_explained(self.ledger.find(digest).ends)
        record = self.ledger.note_success(digest, time.monotonic())
        if record is not None:
            self._log.write(
                "quarantine", "A request is released.", digest=digest
            )
            self._flood.queue([(digest, record)])

    def merge(
        self, records: Iterable[tuple[str, crash_record.CrashRecord]]
    ) -> None:
        """Apply records of other routers; pass on those that are new here."""
        now = time.monotonic()
        changed = []
        for digest, record in records:
            known = self.ledger.find(digest)
            merged = self.ledger.merge(digest, record, now)
            if merged is None:
                continue
            changed.append((digest, merged))
            if merged.is_quarantined and not known.is_quarantined:
                self._log_quarantined(digest)
        self._flood.queue(changed)
        for digest, _ in changed:
            self._excuse(digest)

    def _excuse(self, digest: str) -> None:
        excused = self.ledger.excuse(digest, time.monotonic())
        for found in excused:
            self._log.write(
                "quarantine",
                "A request may crash one more server: another explains it.",
                digest=found,
            )
        self._flood.queue((found, self.ledger.find(found)) for found in excused)

    def receive(self, message: peer_messages.CrashMessage) -> None:
        """Apply another router's message."""
        if isinstance(message, peer_messages.PartCrashes):
            self.parts.receive(message)
        else:
            self.merge(_read(message))

    def describe(self) -> list[peer_messages.CrashMessage]:
        """Return the newest records for a router that has just connected."""
        newest = itertools.islice(self.ledger.iterate_newest(), _MAX_RECORDS)
        return _write(list(newest)) + self.parts.describe()

    def expire(self) -> None:
        """Forget old records."""
        self.parts.expire()
        self.ledger.expire(time.monotonic())
        self._metrics.set_gauge("quarantined", self.ledger.quarantined)
        self._metrics.set_gauge("crash_suspects", len(self.ledger))

    def _log_quarantined(self, digest: str) -> None:
        self._log.write(
            "quarantine",
            "A request that crashes servers is refused from now on.",
            digest=digest,
        )


def _write(
    records: list[tuple[str, crash_record.CrashRecord]],
) -> list[peer_messages.CrashMessage]:
    reports = peer_messages.CrashReports(
        records=tuple(
            (digest, record.epoch, record.level) for digest, record in records
        )
    )
    ends = peer_messages.CrashEnds(
        records=tuple(
            (digest, record.epoch, record.excused, tuple(sorted(record.ends)))
            for digest, record in records
            if record.ends
        )
    )
    # A request that is excused must not be taken for a quarantined one first.
    return [message for message in (ends, reports) if message.records]


def _read(
    message: peer_messages.CrashReports | peer_messages.CrashEnds,
) -> Iterable[tuple[str, crash_record.CrashRecord]]:
    """Yield records, each with what the message tells of it."""
    if isinstance(message, peer_messages.CrashReports):
        for digest, epoch, level in message.records:
            yield digest, crash_record.CrashRecord(epoch=epoch, level=level)
        return
    for digest, epoch, excused, ends in message.records:
        yield (
            digest,
            crash_record.CrashRecord(
                epoch=epoch, level=0, excused=excused, ends=frozenset(ends)
            ),
        )
