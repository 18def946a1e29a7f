"""What the parts of this package ask their driver to do.

The store keeps each record as one object with a version; ``if_version`` is
``None`` for an object that does not exist yet.
"""

import typing

from daisypick_core.results import failure as failure_value


class LeaseRecord(typing.NamedTuple):
    """Who may order an engine, as the store keeps it.

    Attributes:
        holder: Incarnation of the agent that holds it, ``""`` if released.
        fencing: Rises by one with each new holder.
        serial: Rises by one with each write.
        duration: Seconds for which a write keeps the lease.
        longest_order: Seconds in which an order has surely ended.
    """

    holder: str
    fencing: int
    serial: int
    duration: float
    longest_order: float


class Permit(typing.NamedTuple):
    """A share of the weight store's rate, taken for some time.

    Attributes:
        holder: Incarnation of the agent that took it, ``""`` for nobody.
        serial: Rises by one each time that it is taken.
        seconds: For how long it is taken.
    """

    holder: str = ""
    serial: int = 0
    seconds: float = 0.0


class Order(typing.NamedTuple):
    """An order to an engine.

    Attributes:
        order_id: Unique id.
        kind: ``LOAD_MODEL``, ``LOAD_ADAPTER`` or ``SET_ROLE`` of ``plan``.
        name: Model, adapter or role.
        version: Version of the model, ``""`` where there is none.
    """

    order_id: str
    kind: str
    name: str
    version: str = ""


class ReadLease(typing.NamedTuple):
    """Read the lease's object, then report by ``Lease.read``."""


class WriteLease(typing.NamedTuple):
    """Write the lease's object, then report by ``written`` or ``failed``."""

    record: LeaseRecord
    if_version: str | None


class SendOrder(typing.NamedTuple):
    """Send an order to the engine.

    The driver connects first, asks ``OrderGate.may_send`` as the last thing
    before it writes, and gives up after ``timeout`` seconds.
    """

    order: Order
    fencing: int
    timeout: float


class RefuseOrder(typing.NamedTuple):
    """Answer an order with a failure; it is not sent."""

    order: Order
    failure: failure_value.Failure


class ReadPermits(typing.NamedTuple):
    """Read the permits' object, then report by ``WeightPermits.read``."""


class WritePermits(typing.NamedTuple):
    """Write the permits' object, then report by ``written`` or ``failed``."""

    permits: tuple[Permit, ...]
    if_version: str | None


class FetchWeights(typing.NamedTuple):
    """Ask the weight store for a model, then report by ``fetched``."""

    model: str


LeaseAction = ReadLease | WriteLease
OrderAction = SendOrder | RefuseOrder
PermitAction = ReadPermits | WritePermits | FetchWeights
