"""OpenTelemetry metrics of a process, exported in the Prometheus format.

Label sets are bounded: only the organisations with the largest values get a
label of their own, the others are summed under ``"other"``. With 22,000
organisations, each scrape would otherwise return megabytes.
"""

from collections.abc import Callable
from collections.abc import Mapping
import heapq
import typing

from opentelemetry import metrics as metrics_api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as metrics_sdk
import prometheus_client

OTHER = "other"
TOP_ORGANISATIONS = 20


class ProcessMetrics:
    """The metric instruments of one process."""

    def __init__(self, *, part: str) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = metrics_sdk.MeterProvider(
            metric_readers=[reader], shutdown_on_exit=False
        )
        meter = self._provider.get_meter("daisypick")
        self.requests = meter.create_counter(
            f"daisypick_{part}_requests",
            description="Requests taken in.",
        )
        self.refusals = meter.create_counter(
            f"daisypick_{part}_refusals",
            description="Refusals by result code.",
        )
        self.first_byte = meter.create_histogram(
            f"daisypick_{part}_first_byte_seconds",
            description="Time to the first byte of an answer.",
            explicit_bucket_boundaries_advisory=[
                0.01, 0.025, 0.05, 0.1, 0.2, 0.31, 0.5, 1.0, 2.0, 5.0, 20.0,
            ],
        )  # fmt: skip
        self._meter = meter
        self._part = part

    def add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Register a gauge whose value is read at each scrape."""
        self._meter.create_observable_gauge(
            f"daisypick_{self._part}_{name}",
            callbacks=[lambda _: [metrics_api.Observation(read())]],
            description=description,
        )

    def add_counter(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Register a monotonic counter whose value is read at each scrape."""
        self._meter.create_observable_counter(
            f"daisypick_{self._part}_{name}",
            callbacks=[lambda _: [metrics_api.Observation(read())]],
            description=description,
        )

    def add_organisation_gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Register a gauge by organisation: the largest and ``"other"``."""

        def _observe(_: object) -> list[metrics_api.Observation]:
            return [
                metrics_api.Observation(value, {"organisation": organisation})
                for organisation, value in keep_top(
                    read(), TOP_ORGANISATIONS
                ).items()
            ]

        self._meter.create_observable_gauge(
            f"daisypick_{self._part}_{name}",
            callbacks=[_observe],
            description=description,
        )

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shut the metrics provider down."""
        self._provider.shutdown()


def keep_top(
    value_by_name: Mapping[str, float], count: int
) -> dict[str, typing.Any]:
    """Return the largest values by name and the sum of the others.

    Examples:
        >>> keep_top({"a": 1.0, "b": 5.0, "c": 2.0}, 1)
        {'b': 5.0, 'other': 3.0}
    """
    top = heapq.nlargest(count, value_by_name, key=value_by_name.__getitem__)
    kept = {name: value_by_name[name] for name in top}
    rest = sum(value_by_name.values()) - sum(kept.values())
    if len(kept) < len(value_by_name):
        kept[OTHER] = rest
    return kept
