"""Calls to the platform, each sent once and its response read completely.

See Also:
    ``daisypick_node.http.client``: why calls are never resent.
    ``daisypick_node.platform.http``: the calls and their failures.
"""

from collections.abc import Mapping
import typing

from daisypick_node.http import client as http_client


class Response(typing.NamedTuple):
    """A complete response of the platform.

    Attributes:
        status: HTTP status.
        etag: Version of the object, without quotes.
        retry_after: Value of ``Retry-After`` in seconds, if present.
        body: The whole body.
    """

    status: int
    etag: str
    retry_after: float | None
    body: bytes


def exchange(
    pool: http_client.ClientPool,
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
) -> Response:
    """Send a call and read its whole response.

    Raises:
        NotConnectedError: No connection, so nothing was sent.
        OSError: The connection failed or timed out.
        HTTPParseError: The response is malformed or truncated.
    """
    response = pool.request(address, method, path, body=body, headers=headers)
    try:
        content = bytes(response.read())
        if not response.message_complete:
            raise ConnectionError("answer: broke off")
    finally:
        http_client.abandon(response)
    return Response(
        status=response.status_code,
        etag=str(response.get("etag", "")).strip('"'),
        retry_after=_parse_seconds(response.get("retry-after")),
        body=content,
    )


def _parse_seconds(text: typing.Any) -> float | None:
    try:
        return float(text)
    except (TypeError, ValueError):
        return None
