"""Which requests wait because a part of their prompt may crash servers.

Of each suspected part one request is under way at a time, and requests with
suspected parts share no server, nor with isolated requests. What runs as a
part becomes suspected is counted too: the next request starts once these have
ended, or an answer has cleared the part.

Examples:
    >>> from daisypick_core.scheduling import job
    >>> runs = SuspectRuns(suspicion=NO_SUSPICION)
    >>> runs.is_empty, runs.has_suspect("e-1")
    (True, False)

See Also:
    daisypick_core.quarantine.part_ledger: why one at a time.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import typing

from daisypick_core.scheduling import job

# Requests whose suspected parts are remembered until the suspicion changes.
_MAX_REMEMBERED = 4096


class Suspicion(typing.Protocol):
    """What is known of the parts of one service's prompts.

    Attributes:
        revision: Increases whenever something changes.
        is_empty: Whether no part is suspected.
    """

    revision: int
    is_empty: bool

    def find_suspects(self, parts: Sequence[job.Part]) -> frozenset[str]:
        """Return the names of the suspected parts of a prompt."""

    def is_refused(self, parts: Sequence[job.Part]) -> bool:
        """Return whether no request with a prompt may be sent."""


class _NoSuspicion:
    revision = 0
    is_empty = True

    def find_suspects(self, parts: Sequence[job.Part]) -> frozenset[str]:
        del parts
        return frozenset()

    def is_refused(self, parts: Sequence[job.Part]) -> bool:
        del parts
        return False


NO_SUSPICION: Suspicion = _NoSuspicion()


class SuspectRuns:
    """Running requests by part, and those that started as suspects.

    Requests are noted whether or not a part is suspected: those that run as it
    becomes suspected are as many as all engines have slots.

    Args:
        suspicion: Which parts are suspected.
    """

    def __init__(self, *, suspicion: Suspicion) -> None:
        self._suspicion = suspicion
        self._refused_revision = suspicion.revision
        self._revision = suspicion.revision
        self._suspects_by_key: dict[str, frozenset[str]] = {}
        self._parts_by_key: dict[str, tuple[job.Part, ...]] = {}
        self._keys_by_part: dict[str, set[str]] = {}
        self._server_by_suspect: dict[str, str] = {}

    @property
    def is_empty(self) -> bool:
        """Whether all requests may start as far as their parts go."""
        return self._suspicion.is_empty

    def may_start(self, work: job.Job) -> bool:
        """Return whether no running request shares a suspected part."""
        return self._suspicion.is_empty or not any(
            part in self._keys_by_part for part in self._find_suspects(work)
        )

    def is_suspect(self, work: job.Job) -> bool:
        """Return whether a part of a request's prompt is suspected."""
        return not self._suspicion.is_empty and bool(self._find_suspects(work))

    def _find_suspects(self, work: job.Job) -> frozenset[str]:
        """Return the suspected parts, which are asked for at each dispatch."""
        if (
            self._revision != self._suspicion.revision
            or len(self._suspects_by_key) > _MAX_REMEMBERED
        ):
            self._revision = self._suspicion.revision
            self._suspects_by_key.clear()
        found = self._suspects_by_key.get(work.key)
        if found is None:
            found = self._suspicion.find_suspects(work.parts)
            self._suspects_by_key[work.key] = found
        return found

    def has_suspect(self, server: str) -> bool:
        """Return whether a request that started as a suspect is at a server."""
        return server in self._server_by_suspect.values()

    def note_start(self, work: job.Job, server: str) -> None:
        """Record that a request runs at a server."""
        shared = work.parts[:-1]
        self._parts_by_key[work.key] = shared
        for part in shared:
            self._keys_by_part.setdefault(part.name, set()).add(work.key)
        if self.is_suspect(work):
            self._server_by_suspect[work.key] = server

    def note_end(self, key: str) -> None:
        """Record that a request has ended."""
        self._server_by_suspect.pop(key, None)
        self._suspects_by_key.pop(key, None)
        for part in self._parts_by_key.pop(key, ()):
            keys = self._keys_by_part.get(part.name, set())
            keys.discard(key)
            if not keys:
                self._keys_by_part.pop(part.name, None)

    def find_refused(self, waiting: Iterable[job.Job]) -> list[job.Job]:
        """Return waiting requests of parts that were quarantined since."""
        if self._refused_revision == self._suspicion.revision:
            return []
        self._refused_revision = self._suspicion.revision
        return [
            work for work in waiting if self._suspicion.is_refused(work.parts)
        ]
