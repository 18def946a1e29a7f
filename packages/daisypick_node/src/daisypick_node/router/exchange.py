"""A caller's request on its way through the filters."""

import collections
from collections.abc import Callable
import typing

from daisypick_core.configuration import model
from daisypick_node.http import routes


class Exchange(typing.NamedTuple):
    """A caller's request; each filter fills in a part.

    Attributes:
        request_id: Unique id, made by the router.
        call: The call as it arrived.
        received_at: Time of arrival.
        organisation: Who pays.
        service: What is asked for.
        path: Path that the backend server shall see.
        body: The body.
        is_stream: Whether the caller asked for a stream.
        is_repeatable: Whether a second run does no harm.
        idempotency_key: The caller's key, if it matters.
        estimate: Expected cost, tokens.
        prefix: Hash of the prompt's beginning.
        fingerprint: Hash of method, path and body.
        deadline: Time by which it must start.
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
    """What the filters look up.

    Attributes:
        configuration: Returns the configuration in force.
        organisation_by_hash: Organisation names by hash of their keys.
        open_by_organisation: Requests that are open here.
        request_timeout: Time within which a request must start, seconds.
    """

    configuration: Callable[[], model.Configuration]
    organisation_by_hash: dict[str, str]
    open_by_organisation: collections.Counter[str]
    request_timeout: float
