"""Fits straight lines to measured points by least squares."""

from collections.abc import Sequence
import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class Line:
    """A least-squares line `y = intercept + slope * x`.

    Attributes:
      intercept: the value at zero.
      slope: the growth per unit of x.
      slope_error: the standard error of the slope; infinite for two points.
    """

    intercept: float
    slope: float
    slope_error: float

    def value_at(self, x: float) -> float:
        """Returns the value of the line at x."""
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Returns the least-squares line through at least two points."""
    count = len(xs)
    mean_x = math.fsum(xs) / count
    mean_y = math.fsum(ys) / count
    x_variation = math.fsum((x - mean_x) ** 2 for x in xs)
    covariation = math.fsum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)
    )
    slope = covariation / x_variation
    intercept = mean_y - slope * mean_x
    residual_squares = math.fsum(
        (y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True)
    )
    if count < 3:
        return Line(intercept, slope, math.inf)
    error = math.sqrt(residual_squares / (count - 2) / x_variation)
    return Line(intercept, slope, error)
