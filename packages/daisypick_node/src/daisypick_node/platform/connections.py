"""Connections to the platform on which each call is sent once.

See Also:
    ``daisypick_node.platform.http``: the calls and what their failures mean.
"""

from collections.abc import Mapping
import typing

import gevent
from geventhttpclient import client as http_client
from geventhttpclient import connectionpool
from geventhttpclient import response as http_response

CONNECT_TIMEOUT = 2.0
_NO_RESENDS = -1


class NotSentError(Exception):
    """No connection could be had, so nothing was sent."""


class Answer(typing.NamedTuple):
    """An answer of the platform, whole.

    Attributes:
        status: HTTP status.
        etag: Version of the object, without quotes.
        retry_after: Seconds, if it says so.
        body: All of it.
    """

    status: int
    etag: str
    retry_after: float | None
    body: bytes


class _Pool(connectionpool.ConnectionPool):
    """A pool that tells a failure to connect from one to answer.

    The library sends PUT and DELETE again by itself when the connection
    closes without an answer. If the first one took effect, the second is
    refused for its condition, and the caller reads "surely not written" of
    a write that was done. The number of resends follows the pool's size, so
    a size below zero turns them off; every call is then sent once, which
    also keeps the budget's count true.
    """

    def __init__(self, host: str, port: int, **options: typing.Any) -> None:
        super().__init__(host, port, host, port, **options)
        self.size = _NO_RESENDS

    def get_socket(self) -> typing.Any:
        """Return a connection within the connection timeout."""
        timeout = gevent.Timeout(self.connection_timeout)
        try:
            with timeout:
                return super().get_socket()
        except OSError as error:
            raise NotSentError(str(error)) from error
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            raise NotSentError("no connection in time") from error


class Client(http_client.HTTPClient):
    """A client with the pool of this module."""

    def __init__(
        self, host: str, port: int, *, timeout: float, connections: int
    ) -> None:
        super().__init__(host, port)
        self._connection_pool = _Pool(
            host,
            port,
            size=connections,
            connection_timeout=min(timeout, CONNECT_TIMEOUT),
            network_timeout=timeout,
        )


def exchange(
    client: Client,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
) -> Answer:
    """Send a call and read its whole answer.

    Raises:
        NotSentError: No connection, so nothing was sent.
        OSError: The connection broke or was silent.
        HTTPParseError: The answer is malformed or not whole.
    """
    response = client.request(method, path, body=body, headers=headers)
    try:
        content = response.read()
        if not response.message_complete:
            raise http_response.HTTPConnectionClosed("answer broke off")
    finally:
        response.release()
    return Answer(
        status=response.status_code,
        etag=str(response.get("etag", "")).strip('"'),
        retry_after=_seconds(response.get("retry-after")),
        body=content,
    )


def _seconds(text: typing.Any) -> float | None:
    try:
        return float(text)
    except (TypeError, ValueError):
        return None
