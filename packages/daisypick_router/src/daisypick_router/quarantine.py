"""Refuses requests that crash the backend servers that run them.

Each router records which requests a server had when it ended, tells the other
routers within some milliseconds, and applies what they tell.
``quarantine_store`` keeps the quarantined requests while all routers restart.

See Also:
    daisypick_core.quarantine: when a request is suspected, isolated or refused.
"""

from collections.abc import Callable
from collections.abc import Iterable
import itertools
import time

import gevent

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
from daisypick_router import peer_messages
from daisypick_router import relay

# Delay before changed records are sent: all requests that a server had fail
# within a moment, and their records go into one message.
_SEND_DELAY_SECONDS = 0.01
# Records in one message, and in all that a new connection gets. A lost record
# of a suspect costs one more crash at most.
_MAX_RECORDS = 512

_Sender = Callable[[peer_messages.CrashReports], None]


class Quarantine:
    """Records of crashes, and what follows from them for a request."""

    def __init__(
        self,
        *,
        probe: crash_probe.CrashProbe,
        directory: directories.Directory,
        log: logs.Log,
        metrics: metric_numbers.Metrics,
    ) -> None:
        self._probe = probe
        self._directory = directory
        self._log = log
        self._metrics = metrics
        self.ledger = crash_ledger.CrashLedger()
        self._senders: list[_Sender] = []
        self._unsent: dict[str, crash_record.CrashRecord] = {}
        self._on_own_quarantine: Callable[[contexts.Context], None] | None = (
            None
        )

    def add_sender(self, sender: _Sender) -> None:
        """Call ``sender(message)`` with changed records for other routers."""
        self._senders.append(sender)

    def on_own_quarantine(
        self, listener: Callable[[contexts.Context], None]
    ) -> None:
        """Call ``listener(context)`` when this router quarantines a request."""
        self._on_own_quarantine = listener

    def refuse(self, context: contexts.Context) -> failure.Failure | None:
        """Return the refusal of a quarantined request, else ``None``."""
        if not self.ledger.quarantined:
            return None
        remaining = self.ledger.find_remaining(context.digest, time.monotonic())
        if not remaining:
            return None
        self._metrics.count("quarantine_hits_total")
        return failure.Failure(
            code=codes.QUARANTINED,
            reason=f"request {context.digest} crashed servers",
            retry_after=remaining,
        )

    def is_isolated(self, context: contexts.Context) -> bool:
        """Return whether a request must be kept apart from others like it."""
        return bool(len(self.ledger)) and (
            self.ledger.find(context.digest).is_isolated
        )

    def note_sent(self, context: contexts.Context) -> None:
        """Record that a request is sent to a server now."""
        context.crashes_when_sent = (
            self.ledger.find(context.digest)
            if len(self.ledger)
            else crash_record.NO_RECORD
        )

    def note_failed(
        self,
        context: contexts.Context,
        server: backend_server.BackendServer,
        result: exchange.NotRun | exchange.Unknown | relay.Broken,
    ) -> None:
        """Record a failed try; waits until it is known whether it crashed."""
        if isinstance(result, exchange.NotRun) or result.timed_out:
            return
        if self._is_leaving(server) or not self._probe.has_ended(server):
            return
        record = self.ledger.note_crash(
            context.digest, context.crashes_when_sent, time.monotonic()
        )
        self._log.write(
            "quarantine",
            "A server ended with a request.",
            id=context.attempt,
            digest=context.digest,
            server=server.name,
            crashes=self.ledger.find(context.digest).level,
            route=context.route.name,
            organisation=context.organisation,
        )
        if record is None:
            return
        self._queue([(context.digest, record)])
        if record.is_quarantined:
            self._log_quarantined(context.digest)
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

    def note_answered(self, context: contexts.Context) -> None:
        """Record that a server ran a request to its end."""
        if not len(self.ledger):
            return
        record = self.ledger.note_success(context.digest, time.monotonic())
        if record is not None:
            self._queue([(context.digest, record)])

    def release(self, digest: str) -> None:
        """Let a request run again that is no longer in the store's list."""
        record = self.ledger.note_success(digest, time.monotonic())
        if record is not None:
            self._log.write(
                "quarantine", "A request is released.", digest=digest
            )
            self._queue([(digest, record)])

    def merge(
        self, records: Iterable[tuple[str, crash_record.CrashRecord]]
    ) -> None:
        """Apply records of other routers; pass on those that are new here."""
        now = time.monotonic()
        changed = []
        for digest, record in records:
            if self.ledger.merge(digest, record, now) is None:
                continue
            changed.append((digest, record))
            if record.is_quarantined:
                self._log_quarantined(digest)
        self._queue(changed)

    def receive(self, message: peer_messages.CrashReports) -> None:
        """Apply another router's message."""
        self.merge(
            (digest, crash_record.CrashRecord(epoch=epoch, level=level))
            for digest, epoch, level in message.records
        )

    def describe(self) -> peer_messages.CrashReports | None:
        """Return the newest records for a router that has just connected."""
        if not len(self.ledger):
            return None
        newest = itertools.islice(self.ledger.iterate_newest(), _MAX_RECORDS)
        return _write(dict(newest))

    def expire(self) -> None:
        """Forget old records."""
        self.ledger.expire(time.monotonic())
        self._metrics.set_gauge("quarantined", self.ledger.quarantined)
        self._metrics.set_gauge("crash_suspects", len(self.ledger))

    def _log_quarantined(self, digest: str) -> None:
        self._log.write(
            "quarantine",
            "A request that crashes servers is refused from now on.",
            digest=digest,
        )

    def _queue(
        self, records: Iterable[tuple[str, crash_record.CrashRecord]]
    ) -> None:
        is_idle = not self._unsent
        self._unsent.update(records)
        if is_idle and self._unsent:
            gevent.spawn_later(_SEND_DELAY_SECONDS, self._send)

    def _send(self) -> None:
        records = list(self._unsent.items())
        self._unsent.clear()
        for start in range(0, len(records), _MAX_RECORDS):
            message = _write(dict(records[start : start + _MAX_RECORDS]))
            for sender in self._senders:
                sender(message)


def _write(
    record_by_digest: dict[str, crash_record.CrashRecord],
) -> peer_messages.CrashReports:
    return peer_messages.CrashReports(
        records=tuple(
            (digest, *record) for digest, record in record_by_digest.items()
        )
    )
