"""A line through measured points, with its residual.

Examples:
    >>> line = fit_line([1, 2, 3, 4], [3.0, 5.0, 7.0, 9.0])
    >>> round(line.slope, 6), round(line.base, 6), round(line.residual, 6)
    (2.0, 1.0, 0.0)
    >>> line.at(10)
    21.0
"""

from collections.abc import Sequence
import statistics
import typing

LEAST_POINTS = 4


class Line(typing.NamedTuple):
    """``base + slope * x``, and how far the points lie from it.

    Attributes:
        base: Value at 0.
        slope: Growth with each unit.
        residual: Largest distance of a point, as a part of the largest value.
    """

    base: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        """Return the value at ``x``."""
        return self.base + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Return the line of least squares.

    Raises:
        ValueError: There are fewer than four points.
    """
    if len(xs) < LEAST_POINTS:
        raise ValueError(f"xs: {len(xs)} points, at least {LEAST_POINTS}")
    slope, base = statistics.linear_regression(xs, ys)
    largest = max(abs(y) for y in ys) or 1.0
    distance = max(
        abs(y - base - slope * x) for x, y in zip(xs, ys, strict=True)
    )
    return Line(base=base, slope=slope, residual=distance / largest)
