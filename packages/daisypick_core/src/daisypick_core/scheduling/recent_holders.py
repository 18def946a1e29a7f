"""Which engine was last sent a part of a prompt.

With many engines a scheduler does not search the prefix cache of each one for
every request; this index names an engine that had the part a moment ago.

Examples:
    >>> holders = RecentHolders(max_parts=2)
    >>> talk, other = job.Part("talk", 900), job.Part("other", 10)
    >>> holders.note([talk, other], "e-0"); holders.note([talk], "e-1")
    >>> holders.find([talk, other])
    ['e-0', 'e-1']
    >>> holders.note([job.Part("new", 10)], "e-2")
    >>> holders.find([other])
    []
"""

from collections.abc import Iterable
from collections.abc import Sequence

from daisypick_core.scheduling import job


class RecentHolders:
    """Servers by part, the least recently used part first.

    Args:
        max_parts: Upper bound of the parts that are remembered.
    """

    def __init__(self, *, max_parts: int) -> None:
        self._max_parts = max_parts
        self._server_by_part: dict[str, str] = {}

    def note(self, parts: Iterable[job.Part], server: str) -> None:
        """Record that a request with these parts was sent to a server."""
        for part in parts:
            self._server_by_part.pop(part.name, None)
            self._server_by_part[part.name] = server
        while len(self._server_by_part) > self._max_parts:
            del self._server_by_part[next(iter(self._server_by_part))]

    def find(self, parts: Sequence[job.Part]) -> list[str]:
        """Return the last server of each part, starting with the last part."""
        found = (self._server_by_part.get(part.name) for part in parts[::-1])
        return [server for server in found if server is not None]
