"""Which versions of a service's software have served lately.

A list of servers may lack one that began some seconds ago. A version that is
new beside others therefore begins no streams that callers may take up until
every router with a confirmed list knows of it; a router that knows one version
only can then tell where a stream began without asking.

Examples:
    >>> versions = ServiceVersions(admission_seconds=3.5)
    >>> versions.set_stream_seconds(30.0)
    >>> versions.update(["v1", "v1"], now=0.0)
    >>> versions.find_only(now=31.0)
    'v1'
    >>> versions.update(["v1", "v2"], now=31.0)
    >>> versions.find_new(now=32.0), versions.find_new(now=35.0)
    ({'v2'}, set())
    >>> versions.is_mixed(now=32.0), versions.find_only(now=32.0)
    (True, None)
    >>> versions.update(["v2"], now=40.0)
    >>> versions.is_mixed(now=69.0), versions.is_mixed(now=71.0)
    (True, False)
"""

from collections.abc import Iterable
import math


class ServiceVersions:
    """Versions of one service, with the time at which each was listed.

    Args:
        admission_seconds: Age of the version from which all routers with a
            confirmed list know of it.
    """

    def __init__(self, *, admission_seconds: float) -> None:
        self._stream_seconds = 0.0
        self._admission_seconds = admission_seconds
        self._listed: frozenset[str] = frozenset()
        self._first_at_by_version: dict[str, float] = {}
        self._last_at_by_version: dict[str, float] = {}
        self._known_since = math.inf

    def set_stream_seconds(self, seconds: float) -> None:
        """Set for how long after its begin a stream is taken up at most.

        A stream may have begun when it was longer, so it never decreases.
        """
        self._stream_seconds = max(self._stream_seconds, seconds)

    def update(self, listed: Iterable[str], now: float) -> None:
        """Set the versions of all listed servers, also draining ones."""
        before, self._listed = self._listed, frozenset(listed)
        is_first = self._known_since == math.inf
        if self._listed and is_first:
            self._known_since = now
        for version in self._listed - before:
            # Those of the first list are as old as the service, for all that is
            # known.
            self._first_at_by_version[version] = -math.inf if is_first else now
        for version in self._listed | before:
            self._last_at_by_version[version] = now
        self._forget(now)

    def _forget(self, now: float) -> None:
        recent = self._find_recent(now)
        for version in list(self._last_at_by_version):
            if version not in recent:
                del self._last_at_by_version[version]
                self._first_at_by_version.pop(version, None)

    def _find_recent(self, now: float) -> set[str]:
        return {
            version
            for version, last_at in self._last_at_by_version.items()
            if version in self._listed or now - last_at < self._stream_seconds
        }

    def is_mixed(self, now: float) -> bool:
        """Return whether streams of several versions may be taken up."""
        return len(self._find_recent(now)) > 1

    def find_only(self, now: float) -> str | None:
        """Return the version that began all streams; ``None`` if unknown."""
        if now - self._known_since < self._stream_seconds:
            return None
        recent = self._find_recent(now)
        return next(iter(recent)) if len(recent) == 1 else None

    def find_new(self, now: float) -> set[str]:
        """Return the versions that others may not know yet.

        Empty if there is no other version, since all work would wait.
        """
        new = {
            version
            for version in self._listed
            if now - self._first_at_by_version[version]
            < self._admission_seconds
        }
        return new if new != self._listed else set()
