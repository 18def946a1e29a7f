"""The listed state of a backend server that may get work."""

import typing


class ServerState(typing.NamedTuple):
    """The state of a server that may get work, from the list of servers.

    Attributes:
        name: Id of the server.
        slots: Requests that fit into one batch.
        cold_until: Time from which it counts as warm.
        born: Identifies the server instance; changes with each restart.
        data_centre: Data centre of the server.
    """

    name: str
    slots: int
    cold_until: float
    born: int
    data_centre: str = ""
