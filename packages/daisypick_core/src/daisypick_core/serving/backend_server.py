"""One instance of a backend server, as listed by the platform."""

import typing


class BackendServer(typing.NamedTuple):
    """A backend server that registered with the platform.

    Attributes:
        name: Its id, which the server verifies on request.
        service: Name of the service that it belongs to.
        address: IP address and port.
        data_centre: Name of its data centre.
        slots: Maximum number of concurrent requests.
        draining: Whether it is shutting down.
        cold_until: Local time at which it is warm; in the past for a warm
            server.
        born: Start time in Unix milliseconds. The same name with another
            value is a new instance without the state of the previous one.
        version: Version of its software; empty if it names none.
    """

    name: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    draining: bool
    cold_until: float
    born: int
    version: str = ""
