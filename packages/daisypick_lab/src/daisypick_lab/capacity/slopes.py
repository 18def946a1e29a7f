"""The registry of what is measured.

A measurement is a function under ``@register`` that returns the value at one
``x``; ``measure`` calls it at each point and fits the line.
"""

from collections.abc import Callable
import gc
import time
import tracemalloc
import typing

from daisypick_lab import fit

Measurement = Callable[[int], float]
REPEATS = 5


class Slope(typing.NamedTuple):
    """What is measured, against what, and where.

    Attributes:
        name: Short name.
        unit: Unit of the value.
        against: What ``x`` counts.
        points: The values of ``x``.
        measure_at: Returns the value at one ``x``.
    """

    name: str
    unit: str
    against: str
    points: tuple[int, ...]
    measure_at: Measurement


class Measured(typing.NamedTuple):
    """A slope, its points and the line through them."""

    name: str
    unit: str
    against: str
    points: dict[int, float]
    line: fit.Line


by_name: dict[str, Slope] = {}


def register(
    name: str, *, unit: str, against: str, points: tuple[int, ...]
) -> Callable[[Measurement], Measurement]:
    """Register a measurement."""

    def _add(measure_at: Measurement) -> Measurement:
        by_name[name] = Slope(
            name=name,
            unit=unit,
            against=against,
            points=points,
            measure_at=measure_at,
        )
        return measure_at

    return _add


def measure(name: str) -> Measured:
    """Measure a registered slope."""
    slope = by_name[name]
    values = {x: slope.measure_at(x) for x in slope.points}
    line = fit.fit(list(values), list(values.values()))
    return Measured(
        name=name,
        unit=slope.unit,
        against=slope.against,
        points=values,
        line=line,
    )


def cpu_seconds(work: Callable[[], object], *, count: int = 1) -> float:
    """Return the least processor time of ``work`` over a few repeats.

    The least is taken because other work on the machine only ever adds.
    ``count`` is how many units one call of ``work`` does.
    """
    best = float("inf")
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time()
        work()
        best = min(best, time.process_time() - began)
    return best / count


def memory_bytes(make: Callable[[], object]) -> float:
    """Return the memory of what ``make`` returns."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return float(after - before)
