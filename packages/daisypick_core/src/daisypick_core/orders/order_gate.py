"""The fence in front of an engine that does not check who orders it.

Every order passes here, one at a time. It is sent only while the lease is
held by this process's own clock, looked at as the last thing before the
write: a process that was paused since it took the order finds its lease
lapsed and does not send. An order that has no answer may still be at work in
the engine, so the next one waits until it has surely ended.

What is left: a process that is paused between that look and the write, for
longer than its lease. Only an engine that checks fencing numbers closes it.
"""

from daisypick_core.orders import actions
from daisypick_core.orders import lease as lease_module
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value


class OrderGate:
    """Lets one order at a time through, from the holder of the lease."""

    def __init__(self, *, lease: lease_module.Lease) -> None:
        self._lease = lease
        self._order: actions.Order | None = None
        self._fencing = 0
        self._busy_until = float("-inf")

    def submit(
        self, order: actions.Order, now: float
    ) -> list[actions.OrderAction]:
        """Take an order; send it or refuse it."""
        refusal = self._check(now)
        if refusal is not None:
            return [actions.RefuseOrder(order=order, failure=refusal)]
        self._order = order
        self._fencing = self._lease.fencing
        timeout = self._lease.longest_order
        self._busy_until = now + timeout
        return [
            actions.SendOrder(
                order=order, fencing=self._fencing, timeout=timeout
            )
        ]

    def may_send(
        self, order_id: str, now: float
    ) -> failure_value.Failure | None:
        """Return why an order must not be written now, ``None`` if it may.

        A refused order is over. The order's time starts anew here, so that
        it ends within ``longest_order`` of a moment at which the lease held.
        """
        if self._order is None or self._order.order_id != order_id:
            return _failure(codes.ORDER_IN_PROGRESS, "order: not this one")
        if not self._lease.is_held(now) or (
            self._lease.fencing != self._fencing
        ):
            self._order = None
            self._busy_until = now
            return _failure(codes.LEASE_NOT_HELD, "lease: lapsed on the way")
        self._busy_until = now + self._lease.longest_order
        return None

    def ended(self, order_id: str, *, is_certain: bool, now: float) -> None:
        """Note the end of an order.

        Args:
            order_id: The order.
            is_certain: Whether the engine has answered; without an answer
                it may still be at work until the order's longest time.
            now: Seconds.
        """
        if self._order is None or self._order.order_id != order_id:
            return
        self._order = None
        if is_certain:
            self._busy_until = now

    def is_quiet(self, now: float) -> bool:
        """Tell whether no order can be at work in the engine."""
        return self._order is None and now >= self._busy_until

    def _check(self, now: float) -> failure_value.Failure | None:
        if not self._lease.is_held(now):
            return _failure(codes.LEASE_NOT_HELD, "lease: not held")
        if not self.is_quiet(now):
            return _failure(
                codes.ORDER_IN_PROGRESS,
                "order: another may still be at work",
                retry_after=max(0.0, self._busy_until - now),
            )
        return None


def _failure(
    code: codes.Code, reason: str, retry_after: float | None = None
) -> failure_value.Failure:
    return failure_value.Failure(
        code=code, reason=reason, retry_after=retry_after
    )
