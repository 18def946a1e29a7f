"""Handles what backend servers say of themselves in their responses.

A server that leaves says so in every response, also while the platform's store
cannot be told. A server that rejects requests may ask this router for a pause.
"""

from daisypick_core.serving import backend_server
from daisypick_platform import request_headers
from daisypick_router import discovery as discoveries
from daisypick_router import log as logs


class ServerNotices:
    """Receives the headers of all responses of backend servers."""

    def __init__(
        self, *, discovery: discoveries.Discovery, log: logs.Log
    ) -> None:
        self._discovery = discovery
        self._log = log

    def apply(
        self,
        server: backend_server.BackendServer,
        headers: request_headers.ServerHeaders,
    ) -> None:
        """Handle the headers of one response."""
        if headers.leaving:
            self._discovery.note_leaving(server)
        if headers.pause_seconds is not None:
            self._log.write(
                "notices",
                "A server asks for a pause.",
                server=server.name,
                seconds=headers.pause_seconds,
            )
