"""What the routers of a fleet have sent to each server, if it turns cold.

A scheduler keeps a limit for every router that asks it, since each has its own
part of what a cold server bears.

See Also:
    daisypick_core.serving.cold_parts: the parts of the routers.
"""

from collections.abc import Iterable

from daisypick_core.serving import cold_limit
from daisypick_core.serving import cold_parts


class ColdLimits:
    """Limits by router.

    Args:
        rate: Requests a second that a cold server bears; zero if any.
    """

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._quotas = cold_parts.ColdParts()
        self._limit_by_router: dict[str, cold_limit.ColdLimit] = {}

    def set_routers(self, routers: Iterable[str]) -> None:
        """Take the names of all routers; none if they are not known."""
        self._quotas.set_routers(routers)

    def can_handle(self, router: str, server: str, now: float) -> bool:
        """Tell whether a cold server bears one more request of a router."""
        if not self._rate:
            return True
        return self._find_limit(router).allows(server, self._rate, now)

    def note_sent(self, router: str, server: str, now: float) -> None:
        """Count a request of a router, in case the server is or turns cold."""
        self._find_limit(router).note(server, now)

    def _find_limit(self, router: str) -> cold_limit.ColdLimit:
        limit = self._limit_by_router.get(router)
        if limit is None:
            limit = cold_limit.ColdLimit(router=router, parts=self._quotas)
            self._limit_by_router[router] = limit
        return limit

    def expire(self, now: float) -> None:
        """Forget what was sent too long ago to count."""
        for router, limit in list(self._limit_by_router.items()):
            limit.expire(now)
            if not len(limit):
                del self._limit_by_router[router]
