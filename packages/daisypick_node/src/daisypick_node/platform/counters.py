"""Counts of calls to the platform by outcome.

Examples:
    >>> counters = CallCounters()
    >>> counters.add("get", OK, 120)
    >>> counters.count_by_call_and_outcome["get", OK], counters.total_bytes
    (1, 120)
"""

import collections

OK = "ok"


class CallCounters:
    """Counts by call and outcome: ``OK`` or the number of a result code."""

    def __init__(self) -> None:
        self.count_by_call_and_outcome: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.total_bytes = 0

    def add(self, call: str, outcome: str, size: int) -> None:
        """Count a call and the bytes of its request and response bodies."""
        self.count_by_call_and_outcome[call, outcome] += 1
        self.total_bytes += size
