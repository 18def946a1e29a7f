"""Orders to an engine, with and without a check of their fencing number.

Examples:
    >>> orders = OrderBook(checks_fencing=True)
    >>> orders.take(Order(action="load", fencing=7, model="pine"))
    True
    >>> orders.take(Order(action="role", fencing=6, role="idle"))
    False
    >>> orders.state.model, orders.state.fencing
    ('pine', 7)
"""

import msgspec

ACTIONS = ("load", "adapter", "version", "role")


class Order(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """An order; ``action`` says which of the other fields counts."""

    action: str
    fencing: int
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


class State(msgspec.Struct):
    """What the orders have made of the engine."""

    model: str = ""
    version: str = ""
    role: str = "serve"
    adapters: list[str] = []
    fencing: int = 0


class OrderBook:
    """Takes orders and keeps those that were obeyed."""

    def __init__(self, *, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self.state = State()
        self.obeyed: list[Order] = []

    def take(self, order: Order) -> bool:
        """Obey an order; false if its number is old and that counts."""
        if self._checks_fencing and order.fencing < self.state.fencing:
            return False
        self.obeyed.append(order)
        self.state.fencing = max(self.state.fencing, order.fencing)
        if order.action == "adapter":
            self.state.adapters.append(order.adapter)
        elif order.action == "load":
            self.state.model = order.model
            self.state.version = order.version or self.state.version
        else:
            setattr(self.state, order.action, getattr(order, order.action))
        return True
