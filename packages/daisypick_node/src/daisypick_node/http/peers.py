"""JSON calls between processes of the fleet, with traffic counts.

Control traffic is a node's overhead besides serving. Its messages and bytes
are counted here, in one place, for the budget of the capacity page.
"""

import typing

import msgspec

from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.http import client

# Headers of a request and its response together, with a fleet key of 32
# characters.
_HEADER_BYTES = 330


class Traffic:
    """Control messages and bytes of a process, both directions."""

    def __init__(self) -> None:
        self.messages = 0
        self.bytes = 0

    def count(self, size: int) -> None:
        """Count one exchange of ``size`` body bytes."""
        self.messages += 1
        self.bytes += size + _HEADER_BYTES


class Peers:
    """Calls to other processes of the fleet."""

    def __init__(
        self,
        *,
        fleet_key: str,
        timeout: float,
        ca_file: str | None = None,
        traffic: Traffic | None = None,
    ) -> None:
        self._headers = {
            "Authorization": f"Bearer {fleet_key}",
            "Content-Type": "application/json",
        }
        self._pool = client.ClientPool(timeout=timeout, ca_file=ca_file)
        self.traffic = traffic or Traffic()

    def call(
        self,
        address: str,
        method: str,
        path: str,
        message: object = None,
    ) -> bytes | failure_value.Failure:
        """Send a message as JSON and return the body of the response.

        Failures: ``PEER_UNREACHABLE`` if there is no response,
        ``BAD_MESSAGE`` if the other process refuses the message,
        ``NOT_FOUND``.
        """
        body = b"" if message is None else msgspec.json.encode(message)
        try:
            response = self._pool.request(
                address, method, path, body=body, headers=self._headers
            )
            response_body = bytes(response.read())
        except client.CALL_ERRORS as error:
            self._pool.close_idle(address)
            return failure_value.Failure(
                code=codes.PEER_UNREACHABLE,
                reason=f"address: {address}: {type(error).__name__}",
            )
        self.traffic.count(len(body) + len(response_body))
        return _check_status(address, response.status_code, response_body)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()


def _check_status(
    address: str, status: int, response_body: bytes
) -> bytes | failure_value.Failure:
    if status < 300:
        return response_body
    code = codes.NOT_FOUND if status == 404 else codes.BAD_MESSAGE
    return failure_value.Failure(
        code=code, reason=f"address: {address} answered {status}"
    )


def decode(
    response_body: bytes | failure_value.Failure, message_type: type[typing.Any]
) -> typing.Any:
    """Return the typed message in a response body, or the failure.

    Examples:
        >>> decode(b"[1, 2]", list[int])
        [1, 2]
        >>> decode(b"[1, ", list[int]).code.number
        8003
    """
    if failure_value.is_failure(response_body):
        return response_body
    try:
        return msgspec.json.decode(response_body, type=message_type)
    except msgspec.MsgspecError as error:
        return failure_value.Failure(
            code=codes.BAD_MESSAGE, reason=f"answer: {error}"
        )
