"""Limits the retries of each service.

When a service fails, retrying every request doubles the load that made it
fail. The budget is a fraction of the recent requests, plus a fixed allowance
for services with little traffic, which all routers share.

Examples:
    >>> budget = RetryBudget(ratio=0.2, window_seconds=10.0, extra=10)
    >>> budget.set_fleet(routers=5)
    >>> budget.note_request("s", now=0.0)
    >>> budget.take("s", now=0.1), budget.take("s", now=0.2)
    (True, False)
"""

from daisypick_core.serving import sliding_window

# Fraction of the budget that is used. The rest covers requests that another
# router forwards while the number of routers changes.
_USED_FRACTION = 0.8


# A retry that is sent later than this after it was allowed counts once more.
_MAX_UNSENT_SECONDS = 0.5


class RetryBudget:
    """Requests and retries by service, in a sliding window."""

    def __init__(
        self, *, ratio: float, window_seconds: float, extra: float
    ) -> None:
        self._ratio = ratio
        self._seconds = window_seconds
        self._extra = extra
        self._routers = 1
        self._requests_by_service: dict[str, sliding_window.SlidingWindow] = {}
        self._retries_by_service: dict[str, sliding_window.SlidingWindow] = {}

    def set_bounds(
        self, *, ratio: float, window_seconds: float, extra: float
    ) -> None:
        """Set new bounds; earlier requests and retries still count."""
        self._ratio = ratio
        self._seconds = window_seconds
        self._extra = extra
        for windows in (self._requests_by_service, self._retries_by_service):
            for window in windows.values():
                window.set_seconds(window_seconds)

    def set_fleet(self, *, routers: int) -> None:
        """Set the number of routers that share the fixed allowance."""
        self._routers = max(routers, 1)

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._get_window(self._requests_by_service, service).add(now)

    def allows(self, service: str, now: float) -> bool:
        """Return whether a retry is within the budget."""
        requests = self._get_window(self._requests_by_service, service)
        retries = self._get_window(self._retries_by_service, service)
        allowed = _USED_FRACTION * (
            self._ratio * requests.count(now) + self._extra / self._routers
        )
        return retries.count(now) + 1 <= allowed

    def take(self, service: str, now: float) -> bool:
        """Count a retry and return ``True``, or ``False`` over the budget."""
        if not self.allows(service, now):
            return False
        self._get_window(self._retries_by_service, service).add(now)
        return True

    def note_sent(self, service: str, *, taken_at: float, now: float) -> None:
        """Count a retry again if it is sent long after it was allowed.

        Waiting retries may leave the window before they are sent, and as many
        again would be allowed in the window in which they arrive.
        """
        if now - taken_at > _MAX_UNSENT_SECONDS:
            self._get_window(self._retries_by_service, service).add(now)

    def _get_window(
        self, windows: dict[str, sliding_window.SlidingWindow], service: str
    ) -> sliding_window.SlidingWindow:
        window = windows.get(service)
        if window is None:
            window = sliding_window.SlidingWindow(seconds=self._seconds)
            windows[service] = window
        return window
