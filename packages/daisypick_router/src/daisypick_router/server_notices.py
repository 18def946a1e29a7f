"""Handles what backend servers say of themselves in their responses.

A server that leaves says so in every response, also while the platform's store
cannot be told. A server that rejects requests may ask this router for a pause.
"""

import time

from daisypick_core.results import codes
from daisypick_core.results import failure
from daisypick_core.serving import backend_server
from daisypick_core.serving import server_pauses
from daisypick_platform import request_headers
from daisypick_router import context as contexts
from daisypick_router import discovery as discoveries
from daisypick_router import log as logs


class ServerNotices:
    """Receives the headers of all responses of backend servers.

    Attributes:
        pauses: The pauses that servers asked this router for.
    """

    def __init__(
        self, *, discovery: discoveries.Discovery, log: logs.Log
    ) -> None:
        self._discovery = discovery
        self._log = log
        self.pauses = server_pauses.ServerPauses()

    def apply(
        self,
        server: backend_server.BackendServer,
        headers: request_headers.ServerHeaders,
    ) -> None:
        """Handle the headers of one response."""
        if headers.leaving:
            self._discovery.note_leaving(server)
        if headers.pause_seconds is not None:
            self.pauses.note(
                server,
                seconds=headers.pause_seconds,
                now=time.monotonic(),
                unix_ms=int(time.time() * 1000),
            )
            self._log.write(
                "notices",
                "A server asks for a pause.",
                server=server.name,
                seconds=headers.pause_seconds,
            )

    def refuse(self, context: contexts.Context) -> failure.Failure | None:
        """Return the refusal if all servers of a request want a pause.

        Callers may return when the first of the pauses ends. A request that
        may have run is not refused.
        """
        if context.may_have_run:
            return None
        service = context.service.name
        ready = self._discovery.directory.find_ready(service)
        if not ready or len(self.pauses) < len(ready):
            return None
        wait = self.pauses.find_wait(ready, time.monotonic())
        if not wait:
            return None
        return failure.Failure(
            code=codes.NO_BACKEND_SERVER,
            reason=f"all servers of {service} asked for a pause",
            retry_after=wait,
        )
