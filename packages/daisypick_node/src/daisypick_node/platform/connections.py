"""Calls to the platform, each sent once and read whole.

See Also:
    ``daisypick_node.http.client``: why no call is ever resent.
    ``daisypick_node.platform.http``: the calls and what their failures mean.
"""

from collections.abc import Mapping
import typing

from daisypick_node.http import client as http_client


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


def exchange(
    pool: http_client.ClientPool,
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
) -> Answer:
    """Send a call and read its whole answer.

    Raises:
        NotConnectedError: No connection, so nothing was sent.
        OSError: The connection broke or was silent.
        HTTPParseError: The answer is malformed or not whole.
    """
    response = pool.request(address, method, path, body=body, headers=headers)
    try:
        content = bytes(response.read())
        if not response.message_complete:
            raise ConnectionError("answer: broke off")
    finally:
        http_client.abandon(response)
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
