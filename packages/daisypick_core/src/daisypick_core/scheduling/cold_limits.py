"""Rate limits of all routers of a fleet at servers that may turn cold.

A scheduler keeps a limit for every router that it decides for, since each
router has its own quota of the rate that a cold server can handle.

See Also:
    daisypick_core.serving.cold_quotas: the quotas of the routers.
"""

from collections.abc import Iterable

from daisypick_core.serving import cold_limit
from daisypick_core.serving import cold_quotas


class ColdLimits:
    """Limits by router.

    Args:
        rate: Requests per second that a cold server can handle; zero if
            there is no limit.
    """

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._quotas = cold_quotas.ColdQuotas()
        self._limit_by_router: dict[str, cold_limit.ColdLimit] = {}

    def set_routers(self, routers: Iterable[str]) -> None:
        """Set the names of all routers; none if they are not known."""
        self._quotas.set_routers(routers)

    def can_handle(self, router: str, server: str, now: float) -> bool:
        """Return whether a cold server can handle one more of a router."""
        if not self._rate:
            return True
        return self._find_limit(router).allows(server, self._rate, now)

    def note_sent(self, router: str, server: str, now: float) -> None:
        """Record a request of a router, in case the server is or turns cold."""
        self._find_limit(router).note(server, now)

    def _find_limit(self, router: str) -> cold_limit.ColdLimit:
        limit = self._limit_by_router.get(router)
        if limit is None:
            limit = cold_limit.ColdLimit(router=router, quotas=self._quotas)
            self._limit_by_router[router] = limit
        return limit

    def expire(self, now: float) -> None:
        """Drop what was sent before the window of the limits."""
        for router, limit in list(self._limit_by_router.items()):
            limit.expire(now)
            if not len(limit):
                del self._limit_by_router[router]
