"""What the list of backend servers says of one that may get work."""

import typing


class ServerState(typing.NamedTuple):
    """What the list says of a server that may get work.

    Attributes:
        name: Its id.
        slots: Requests in one batch.
        cold_until: When it is warm.
        born: Its start.
        data_centre: Where it is.
    """

    name: str
    slots: int
    cold_until: float
    born: int
    data_centre: str = ""
