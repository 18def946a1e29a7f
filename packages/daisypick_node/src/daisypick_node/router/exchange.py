"""A caller's request and the context of the filters."""

import collections
from collections.abc import Callable
import typing

from daisypick_core.configuration import model
from daisypick_node.http import routes


class Exchange(typing.NamedTuple):
    """A caller's request; each filter fills in some fields.

    Attributes:
        request_id: Unique id, made by the router.
        call: The received HTTP request.
        received_at: Time of arrival.
        organisation: The organisation that the request is charged to.
        service: The requested service.
        path: Path that is sent to the backend server.
        body: The body.
        is_stream: Whether the caller asked for a stream.
        is_repeatable: Whether the request may safely run twice.
        idempotency_key: The caller's key, if the request is not repeatable.
        estimate: Expected cost, tokens.
        prefix: Hash of the beginning of the prompt.
        fingerprint: Hash of method, path and body.
        deadline: Time by which the request must start.
    """

    request_id: str
    call: routes.Call
    received_at: float
    organisation: model.Organisation | None = None
    service: model.Service | None = None
    path: str = ""
    body: bytes = b""
    is_stream: bool = False
    is_repeatable: bool = True
    idempotency_key: str | None = None
    estimate: float = 1.0
    prefix: str = ""
    fingerprint: str = ""
    deadline: float = 0.0


class Context(typing.NamedTuple):
    """State that the filters read.

    Attributes:
        configuration: Returns the active configuration.
        organisation_by_hash: Organisation names by hash of their keys.
        open_by_organisation: Number of open requests at this router.
        request_timeout: Time within which a request must start, seconds.
    """

    configuration: Callable[[], model.Configuration]
    organisation_by_hash: dict[str, str]
    open_by_organisation: collections.Counter[str]
    request_timeout: float
