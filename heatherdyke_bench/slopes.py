"""Least-squares lines through measured points, with their errors."""

from collections.abc import Callable
from dataclasses import dataclass
from math import sqrt

from heatherdyke.registry import Registry

MIN_POINTS = 4


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement: a cost ``y`` at a size ``x``."""

    x: float
    y: float


@dataclass(frozen=True, slots=True)
class Slope:
    """The least-squares line through some points.

    ``slope_error`` is the standard error of the slope and ``rms_error`` the
    root mean square of the residuals, in units of ``y``.
    """

    name: str
    x_unit: str
    y_unit: str
    points: list[Point]
    slope: float
    intercept: float
    slope_error: float
    rms_error: float

    def value_at(self, x: float) -> float:
        """Return the line's value at ``x``."""
        return self.intercept + self.slope * x


@dataclass(frozen=True, slots=True)
class Series:
    """Measured points to fit a line through."""

    name: str
    x_unit: str
    y_unit: str
    points: list[Point]


Measurement = Callable[[], list[Series]]
measurements: Registry[Measurement] = Registry("measurement")


def fit_line(series: Series) -> Slope:
    """Return the line; raises ValueError below MIN_POINTS points."""
    points = series.points
    count = len(points)
    if count < MIN_POINTS:
        raise ValueError(
            f"{series.name} has {count} points: give {MIN_POINTS} or more"
        )
    mean_x = sum(point.x for point in points) / count
    mean_y = sum(point.y for point in points) / count
    spread = sum((point.x - mean_x) ** 2 for point in points)
    slope = sum((p.x - mean_x) * (p.y - mean_y) for p in points) / spread
    intercept = mean_y - slope * mean_x
    squared_error = sum((p.y - intercept - slope * p.x) ** 2 for p in points)
    return Slope(
        series.name,
        series.x_unit,
        series.y_unit,
        points,
        slope,
        intercept,
        slope_error=sqrt(squared_error / (count - 2) / spread),
        rms_error=sqrt(squared_error / count),
    )
