"""Sends changed records of a quarantine to all connected routers.

A router that applies a record which is new to it passes it on. So a record
reaches all routers that any path of connections joins, each connection once.
"""

from collections.abc import Callable
from collections.abc import Iterable
import typing

import gevent

from daisypick_router import peer_messages

# Delay before changed records are sent: all requests that a server had fail
# within a moment, and their records go into one message.
_SEND_DELAY_SECONDS = 0.002
# Records in one message.
_MAX_RECORDS = 512

_Record = typing.TypeVar("_Record")


class RecordFlood(typing.Generic[_Record]):
    """Changed records by name that are to be sent.

    Args:
        write: Returns the messages that hold some records.
    """

    def __init__(
        self,
        *,
        write: Callable[
            [list[tuple[str, _Record]]], list[peer_messages.CrashMessage]
        ],
    ) -> None:
        self._write = write
        self._senders: list[Callable[[peer_messages.CrashMessage], None]] = []
        self._unsent: dict[str, _Record] = {}

    def add_sender(
        self, sender: Callable[[peer_messages.CrashMessage], None]
    ) -> None:
        """Call ``sender(message)`` with changed records for other routers."""
        self._senders.append(sender)

    def queue(self, records: Iterable[tuple[str, _Record]]) -> None:
        """Send records within some milliseconds."""
        is_idle = not self._unsent
        self._unsent.update(records)
        if is_idle and self._unsent:
            gevent.spawn_later(_SEND_DELAY_SECONDS, self._send)

    def _send(self) -> None:
        records = list(self._unsent.items())
        self._unsent.clear()
        for start in range(0, len(records), _MAX_RECORDS):
            for message in self._write(records[start : start + _MAX_RECORDS]):
                for sender in self._senders:
                    sender(message)
