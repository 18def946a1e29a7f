"""Ejects backend servers after consecutive failures.

Health checks can give false results, so only outcomes of requests count. A
server is ejected after a few consecutive failures, for a time that doubles
while retries of it fail. One success resets its record.

Examples:
    >>> outcomes = Outcomes()
    >>> for _ in range(3):
    ...     outcomes.note_failure("i-1", now=0.0)
    >>> outcomes.is_ejected("i-1", now=0.1), outcomes.is_ejected("i-1", now=0.6)
    (True, False)
"""

# Consecutive failures that eject a server. A single failure is normal (an error
# of the application itself); at the usual error rates of 10 to 20 percent three
# in a row happen by chance in less than 1 percent of cases.
_FAILURES_TO_EJECT = 3
# First and longest duration of an ejection, in seconds. A crashed server is
# available again after some seconds; one retry per second costs nothing.
_FIRST_EJECTION_SECONDS = 0.5
_LONGEST_EJECTION_SECONDS = 2.0


class _Record:
    __slots__ = ("failures", "ejected_until", "ejection_seconds")

    def __init__(self) -> None:
        self.failures = 0
        self.ejected_until = 0.0
        self.ejection_seconds = 0.0


class Outcomes:
    """Consecutive failures, by server."""

    def __init__(self) -> None:
        self._record_by_server: dict[str, _Record] = {}

    def note_success(self, server: str) -> None:
        """Reset the record of a server."""
        self._record_by_server.pop(server, None)

    def note_failure(
        self, server: str, now: float, *, certain: bool = False
    ) -> None:
        """Count a failure; a ``certain`` one ejects the server at once."""
        record = self._record_by_server.setdefault(server, _Record())
        record.failures += 1
        if now < record.ejected_until:
            return
        if certain or record.failures >= _FAILURES_TO_EJECT:
            record.ejection_seconds = min(
                max(record.ejection_seconds * 2.0, _FIRST_EJECTION_SECONDS),
                _LONGEST_EJECTION_SECONDS,
            )
            record.ejected_until = now + record.ejection_seconds

    def is_ejected(self, server: str, now: float) -> bool:
        """Return whether a server is ejected now."""
        record = self._record_by_server.get(server)
        return record is not None and now < record.ejected_until

    def find_ejected(self, now: float) -> list[str]:
        """Return the servers that are ejected now."""
        return [
            server
            for server, record in self._record_by_server.items()
            if now < record.ejected_until
        ]

    def forget(self, server: str) -> None:
        """Drop the record of a server that no longer exists."""
        self._record_by_server.pop(server, None)
