"""An operator's order to move a service to a version.

Examples:
    >>> order = Order(
    ...     service="desk", target="v2", seconds=12.0, created="71"
    ... )
    >>> order.target
    'v2'
"""

import typing


class Order(typing.NamedTuple):
    """An order to move all traffic of a service to servers of one version.

    Attributes:
        service: Name of the service.
        target: The version that is to get all requests.
        seconds: Time limit of the roll-out.
        created: Identifies the creation of the order. A deleted order that is
            given again has another value.
    """

    service: str
    target: str
    seconds: float
    created: str
