"""Least-squares lines through measured points.

Examples:
    >>> line = fit([1.0, 2.0, 3.0, 4.0], [3.0, 5.0, 7.0, 9.0])
    >>> round(line.slope, 6), round(line.intercept, 6), round(line.residual, 6)
    (2.0, 1.0, 0.0)
"""

from collections.abc import Sequence
import math
import statistics
import typing

MIN_POINTS = 4


class Line(typing.NamedTuple):
    """A least-squares line.

    Attributes:
        slope: Change of y per unit of x.
        intercept: y at x = 0.
        residual: Root mean square of the residuals in y.
        points: The points of the fit.
    """

    slope: float
    intercept: float
    residual: float
    points: tuple[tuple[float, float], ...]

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


def fit(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fit a line to at least four points.

    Raises:
        ValueError: There are fewer points, or ``xs`` and ``ys`` differ in
            length.
    """
    if len(xs) < MIN_POINTS or len(xs) != len(ys):
        raise ValueError(f"xs: {len(xs)} points, ys: {len(ys)} points")
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [
        (y - slope * x - intercept) ** 2 for x, y in zip(xs, ys, strict=True)
    ]
    return Line(
        slope=slope,
        intercept=intercept,
        residual=math.sqrt(statistics.fmean(squares)),
        points=tuple(zip(xs, ys, strict=True)),
    )
