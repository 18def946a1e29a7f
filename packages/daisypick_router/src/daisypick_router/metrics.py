"""Counters, gauges and histograms in the Prometheus text format.

They are kept as plain numbers. The metrics library that the command line uses
takes 0.12 s and 6 MB to import, which would slow the restart of a router.

Examples:
    >>> metrics = Metrics()
    >>> metrics.count("requests_total", outcome="served")
    >>> metrics.observe("first_event_seconds", 0.2)
    >>> print(metrics.write().splitlines()[0])
    daisypick_requests_total{outcome="served"} 1
"""

import bisect

# Upper bounds of the histogram buckets in seconds: fine around the latency
# objectives in use (0.15 to 0.6 s), coarse up to the longest timeouts.
_BUCKET_BOUNDS = (0.01, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)

_Key = tuple[str, tuple[tuple[str, str], ...]]


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._value_by_key: dict[_Key, float] = {}
        self._buckets_by_key: dict[_Key, list[int]] = {}
        self._sum_by_key: dict[_Key, float] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._value_by_key[key] = self._value_by_key.get(key, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._value_by_key[(name, tuple(sorted(labels.items())))] = value

    def clear_gauge(self, name: str) -> None:
        """Remove a gauge with all its labels."""
        for key in [key for key in self._value_by_key if key[0] == name]:
            del self._value_by_key[key]

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = (name, tuple(sorted(labels.items())))
        buckets = self._buckets_by_key.get(key)
        if buckets is None:
            buckets = [0] * (len(_BUCKET_BOUNDS) + 1)
            self._buckets_by_key[key] = buckets
        buckets[bisect.bisect_left(_BUCKET_BOUNDS, seconds)] += 1
        self._sum_by_key[key] = self._sum_by_key.get(key, 0.0) + seconds

    def write(self) -> str:
        """Return all metrics in the text format."""
        lines = [
            f"daisypick_{name}{_format_labels(labels)} {value:g}"
            for (name, labels), value in sorted(self._value_by_key.items())
        ]
        for key, buckets in sorted(self._buckets_by_key.items()):
            lines.extend(self._format_histogram(key, buckets))
        return "\n".join(lines) + "\n"

    def _format_histogram(self, key: _Key, buckets: list[int]) -> list[str]:
        name, labels = key
        lines = []
        total = 0
        for bound, amount in zip(
            (*_BUCKET_BOUNDS, "+Inf"), buckets, strict=True
        ):
            total += amount
            text = _format_labels((*labels, ("le", str(bound))))
            lines.append(f"daisypick_{name}_bucket{text} {total}")
        text = _format_labels(labels)
        lines.append(f"daisypick_{name}_sum{text} {self._sum_by_key[key]:g}")
        lines.append(f"daisypick_{name}_count{text} {total}")
        return lines


def _format_labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    inner = ",".join(
        f'{name}="{_escape_label(value)}"' for name, value in labels
    )
    return "{" + inner + "}"


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
