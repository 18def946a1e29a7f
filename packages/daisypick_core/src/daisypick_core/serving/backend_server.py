"""One start of a backend server, as the platform's list names it."""

import typing


class BackendServer(typing.NamedTuple):
    """A backend server that announced itself.

    Attributes:
        name: Its id, which it checks on request.
        service: The service that it belongs to.
        address: IP number and port.
        data_centre: Where it is.
        slots: Requests that it runs at once.
        draining: Whether it is leaving.
        cold_until: When it is warm, on our clock; in the past if it is.
        born: Unix milliseconds of its start. The same name with another
            value is another start, which knows nothing of before.
    """

    name: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    draining: bool
    cold_until: float
    born: int
