"""Which order brings an engine to what the configuration says.

Examples:
    >>> service = model.Service(
    ...     name="assistant", model="fir", version="3", adapters=("visits",)
    ... )
    >>> state = EngineState(model="fir", version="2", adapters=(), role="")
    >>> next_order(service, state, "o1").kind
    'load_model'
    >>> state = state._replace(version="3")
    >>> next_order(service, state, "o2").name
    'visits'
    >>> next_order(service, state._replace(adapters=("visits",)), "o3")
"""

import typing

from daisypick_core.configuration import model
from daisypick_core.orders import actions

LOAD_MODEL = "load_model"
LOAD_ADAPTER = "load_adapter"
SET_ROLE = "set_role"


class EngineState(typing.NamedTuple):
    """What an engine says that it serves."""

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str


def next_order(
    service: model.Service,
    state: EngineState,
    order_id: str,
    *,
    role: str = "",
) -> actions.Order | None:
    """Return the next order, ``None`` if nothing is to be changed.

    The model comes first: loading it drops what was loaded for another.
    """
    if (state.model, state.version) != (service.model, service.version):
        return actions.Order(
            order_id=order_id,
            kind=LOAD_MODEL,
            name=service.model,
            version=service.version,
        )
    for adapter in service.adapters:
        if adapter not in state.adapters:
            return actions.Order(
                order_id=order_id, kind=LOAD_ADAPTER, name=adapter
            )
    if role and role != state.role:
        return actions.Order(order_id=order_id, kind=SET_ROLE, name=role)
    return None
