"""How many requests may be sent to a service once more.

When a service fails, sending everything twice doubles the load that made it
fail. The budget is a part of the requests of the last seconds, plus a fixed
allowance for quiet services that all routers share.

Examples:
    >>> budget = RetryBudget(ratio=0.2, window_seconds=10.0, extra=10)
    >>> budget.set_fleet(routers=5)
    >>> budget.note_request("s", now=0.0)
    >>> budget.take("s", now=0.1), budget.take("s", now=0.2)
    (True, False)
"""

from daisypick_core.serving import send_window

# Part of the budget that is used. The rest covers requests that another
# router forwards while the number of routers changes.
_USED_SHARE = 0.8


class RetryBudget:
    """First and repeated sends by service, in a sliding window."""

    def __init__(
        self, *, ratio: float, window_seconds: float, extra: float
    ) -> None:
        self._ratio = ratio
        self._seconds = window_seconds
        self._extra = extra
        self._routers = 1
        self._requests_by_service: dict[str, send_window.SendWindow] = {}
        self._retries_by_service: dict[str, send_window.SendWindow] = {}

    def set_bounds(
        self, *, ratio: float, window_seconds: float, extra: float
    ) -> None:
        """Take other bounds; what was sent before still counts."""
        self._ratio = ratio
        self._seconds = window_seconds
        self._extra = extra
        for windows in (self._requests_by_service, self._retries_by_service):
            for window in windows.values():
                window.set_seconds(window_seconds)

    def set_fleet(self, *, routers: int) -> None:
        """Take the number of routers that share the fixed allowance."""
        self._routers = max(routers, 1)

    def note_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._window(self._requests_by_service, service).add(now)

    def allows(self, service: str, now: float) -> bool:
        """Tell whether a repeated send is within the budget."""
        requests = self._window(self._requests_by_service, service)
        retries = self._window(self._retries_by_service, service)
        allowed = _USED_SHARE * (
            self._ratio * requests.count(now) + self._extra / self._routers
        )
        return retries.count(now) + 1 <= allowed

    def take(self, service: str, now: float) -> bool:
        """Count a repeated send and return ``True``, or refuse it."""
        if not self.allows(service, now):
            return False
        self._window(self._retries_by_service, service).add(now)
        return True

    def _window(
        self, windows: dict[str, send_window.SendWindow], service: str
    ) -> send_window.SendWindow:
        window = windows.get(service)
        if window is None:
            window = send_window.SendWindow(seconds=self._seconds)
            windows[service] = window
        return window
