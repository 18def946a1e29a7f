"""Counts of requests, tokens and refusals."""

import collections
from collections.abc import Callable

from daisypick_core.results import failure as failure_value
from daisypick_node import metrics as metrics_module
from daisypick_node.router import exchange as exchange_module
from daisypick_node.router import relay as relay_module


class Accounting:
    """Counts requests and tokens by organisation, refusals by code."""

    def __init__(
        self,
        *,
        metrics: metrics_module.ProcessMetrics,
        open_by_organisation: collections.Counter[str],
        clock: Callable[[], float],
    ) -> None:
        self._metrics = metrics
        self._open_by_organisation = open_by_organisation
        self._clock = clock
        self.tokens_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        self.refusals_by_code: collections.Counter[int] = collections.Counter()
        self.request_count = 0
        metrics.add_organisation_gauge(
            "service_tokens",
            "Tokens served by organisation.",
            lambda: self.tokens_by_organisation,
        )

    def opened(self, exchange: exchange_module.Exchange) -> None:
        """Count an admitted request."""
        assert exchange.organisation is not None
        self.request_count += 1
        self._open_by_organisation[exchange.organisation.name] += 1
        self._metrics.requests.add(1)

    def first_byte(self, exchange: exchange_module.Exchange) -> None:
        """Record the time to the first byte of a response."""
        seconds = self._clock() - exchange.received_at
        self._metrics.first_byte.record(seconds)

    def closed(
        self,
        exchange: exchange_module.Exchange,
        relay: relay_module.Relay | None,
        failure: failure_value.Failure | None,
    ) -> None:
        """Count the end of a request."""
        if failure is not None:
            number = failure.code.number
            self.refusals_by_code[number] += 1
            self._metrics.refusals.add(1, {"code": number})
        if relay is None or exchange.organisation is None:
            return
        name = exchange.organisation.name
        self._open_by_organisation[name] -= 1
        if not self._open_by_organisation[name]:
            del self._open_by_organisation[name]
        if relay.usage is not None:
            self.tokens_by_organisation[name] += sum(relay.usage)
