"""Backend servers that may have restarted without a new entry.

A restarted server is cold, and its entry shows that only after it was written
and read. A router that is cut off from the platform still has the entry of the
previous instance. What it sees itself is that connections broke, as they do
when a process ends. Until the contrary is shown, such a server counts as cold:
until a connection that is older than the failure brings something, or for the
duration of a cold start after the first new connection.

Examples:
    >>> suspicion = RestartSuspicion()
    >>> suspicion.note_failure("i-1", born=1, now=10.0)
    True
    >>> suspicion.find_cold_until("i-1", born=1)
    inf
    >>> suspicion.note_connected("i-1", opened_at=12.0, cold_seconds=3.0)
    True
    >>> suspicion.find_cold_until("i-1", born=1)
    15.0
    >>> suspicion.note_received("i-1", opened_at=4.0, now=12.5)
    True
    >>> suspicion.find_cold_until("i-1", born=1)
    0.0
"""

import math
import typing

# Bytes received this long after the failure were not in a buffer before it.
_BUFFERED_SECONDS = 0.1
# An ended process is not replaced by the next one within this time.
_PROBE_SECONDS = 0.1
# Another router may notice the end of its connection this much later than the
# restart. A connection of this router made meanwhile is to the new instance.
_REPORT_DELAY_SECONDS = 2.0


class _Suspect(typing.NamedTuple):
    """A server at which a connection failed.

    Attributes:
        born: Identifies the listed instance.
        since: When a connection last failed.
        opened_before: Connections opened later may be to a new instance.
        warm_at: When it is warm at the latest; infinite before a connection
            was made.
    """

    born: int
    since: float
    opened_before: float
    warm_at: float


class RestartSuspicion:
    """Suspected servers by name.

    Methods that record something return whether the time changed until which
    the server counts as cold.
    """

    def __init__(self) -> None:
        self._suspect_by_server: dict[str, _Suspect] = {}

    def __len__(self) -> int:
        """Return the number of suspected servers."""
        return len(self._suspect_by_server)

    def note_failure(
        self, server: str, *, born: int, now: float, is_reported: bool = False
    ) -> bool:
        """Record that a connection to a server failed.

        Args:
            server: Its name.
            born: Identifies the listed instance.
            now: The time.
            is_reported: Whether it was a connection of another router.
        """
        delay = _REPORT_DELAY_SECONDS if is_reported else 0.0
        before = self.find_cold_until(server, born=born)
        self._suspect_by_server[server] = _Suspect(
            born=born,
            since=now,
            opened_before=now - delay,
            warm_at=math.inf,
        )
        return before != math.inf

    def note_connected(
        self, server: str, *, opened_at: float, cold_seconds: float
    ) -> bool:
        """Record a connection, which the instance that now runs accepted."""
        suspect = self._suspect_by_server.get(server)
        if (
            suspect is None
            or opened_at < suspect.opened_before
            or suspect.warm_at != math.inf
        ):
            return False
        self._suspect_by_server[server] = suspect._replace(
            warm_at=opened_at + cold_seconds
        )
        return True

    def note_listening(self, server: str, *, since: float, now: float) -> bool:
        """Record that a server accepts connections after a fresh failure.

        One that has ended refuses them until its next instance listens, which
        takes longer than a probe.

        Args:
            server: Its name.
            since: When the connection failed, and the probe began.
            now: When the probe ended.
        """
        suspect = self._suspect_by_server.get(server)
        if (
            suspect is None
            or suspect.since != since
            or now > since + _PROBE_SECONDS
        ):
            return False
        del self._suspect_by_server[server]
        return True

    def note_received(
        self, server: str, *, opened_at: float, now: float
    ) -> bool:
        """Record that bytes came on a connection, however old it is."""
        suspect = self._suspect_by_server.get(server)
        if (
            suspect is None
            or opened_at >= suspect.opened_before
            or now < suspect.since + _BUFFERED_SECONDS
        ):
            return False
        del self._suspect_by_server[server]
        return True

    def find_cold_until(self, server: str, *, born: int) -> float:
        """Return until when a server counts as cold; zero if it does not."""
        suspect = self._suspect_by_server.get(server)
        if suspect is None:
            return 0.0
        if suspect.born != born:
            # The list shows the instance that runs now.
            del self._suspect_by_server[server]
            return 0.0
        return suspect.warm_at

    def find_since(self, server: str) -> float | None:
        """Return when a connection last failed, if a server is suspected."""
        suspect = self._suspect_by_server.get(server)
        return None if suspect is None else suspect.since

    def find_unconnected(self, most: int) -> list[str]:
        """Return suspected servers without a connection, longest ago first."""
        found = [
            name
            for name, suspect in self._suspect_by_server.items()
            if suspect.warm_at == math.inf
        ]
        found.sort(key=lambda name: self._suspect_by_server[name].since)
        return found[:most]

    def expire(self, known: typing.Container[str], now: float) -> None:
        """Forget servers that are warm or that are not listed any more."""
        for name, suspect in list(self._suspect_by_server.items()):
            if suspect.warm_at <= now or name not in known:
                del self._suspect_by_server[name]
