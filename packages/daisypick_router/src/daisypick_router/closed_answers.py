"""Tells a whole answer from one that the end of its server has cut.

An answer without a length ends with its connection. The kernel of a server
that is killed, or that exits while answers are under way, closes connections in
the same orderly way. What tells them apart is whether the process still
listens: one that has closed a connection as an answer was complete goes on.

A server that exits within some milliseconds of a complete answer is taken for
one that has cut it. That answer is then asked for again, or its caller is told
that the outcome is not known, which is true in both cases.
"""

import gevent

from daisypick_core.serving import backend_server
from daisypick_core.serving import directory as directories
from daisypick_router import crash_probe

# A process that ends closes its connections and its listener one by one.
_SETTLE_SECONDS = 0.003


class ClosedAnswers:
    """Decides whether answers that ended with their connections are whole."""

    def __init__(
        self,
        *,
        probe: crash_probe.CrashProbe,
        directory: directories.Directory,
    ) -> None:
        self._probe = probe
        self._directory = directory

    def is_whole(
        self, server: backend_server.BackendServer, *, sent_at: float
    ) -> bool:
        """Return whether a server still runs after an answer has ended.

        That a server drains or is not listed any more says nothing: it may go
        on with its last answers, or have cut them.

        Args:
            server: The server, as it was listed when the request was sent.
            sent_at: When the request was sent to it.
        """
        gevent.sleep(_SETTLE_SECONDS)
        listed = self._directory.server_by_name.get(server.name)
        if listed is not None and listed.born != server.born:
            return False
        return self._probe.is_up(server, sent_at=sent_at)
