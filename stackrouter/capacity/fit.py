"""Least-squares fits of a series: line, power law, residual, whether a line is the right shape. No I/O."""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

# A series is flat if its fitted line changes over all sizes by at most this part of the mean.
FLAT_PART = 0.10
# A line describes a series if a line through the smaller sizes has at most this error at the largest size.
LINE_ERROR = 0.25


class Shape(enum.Enum):
    """How a series grows with size, compared with a line."""

    FLAT = "flat"
    LINE = "line"
    STEEPER = "steeper than a line"
    FLATTER = "flatter than a line"
    FALLS = "falls with size"


@dataclass(frozen=True, slots=True)
class Fit:
    """`intercept` + `slope` * size; `residual`: root mean square distance of the points from that line, in
    the quantity's unit. `exponent` and `factor`: of factor * size ** exponent, fitted to the logarithms; None
    where a value is not above 0. `holdout_error`: error of a line through the other sizes at the
    largest size, as a part of the value there (negative: the line is below). `max_value`: highest value."""

    intercept: float
    slope: float
    residual: float
    factor: float | None
    exponent: float | None
    holdout_error: float
    max_value: float
    shape: Shape

    def line(self, size: float) -> float:
        """The value of the fitted line at a size."""
        return self.intercept + self.slope * size

    def at(self, size: float) -> float:
        """The value expected at a size: from the power law if the series is steeper than a line, the highest
        value if it falls, since no cost keeps falling, and from the line otherwise."""
        if self.shape is Shape.FALLS:
            return self.max_value
        if self.shape is Shape.STEEPER and self.factor is not None and self.exponent is not None:
            return float(self.factor * size**self.exponent)
        return self.line(size)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line and a power law to values at three or more sizes."""
    x, y = np.asarray(sizes, dtype=float), np.asarray(values, dtype=float)
    order = np.argsort(x)
    x, y = x[order], y[order]
    slope, intercept = _line(x, y)
    residual = float(np.sqrt(np.mean((intercept + slope * x - y) ** 2)))
    factor = exponent = None
    if np.all(y > 0) and np.all(x > 0):
        exponent, log_factor = _line(np.log(x), np.log(y))
        factor = math.exp(log_factor)
    holdout_error = _holdout_error(x, y)
    shape, max_value = _shape(x, y, slope, holdout_error), float(np.max(y))
    return Fit(intercept, slope, residual, factor, exponent, holdout_error, max_value, shape)


def _line(x: np.ndarray, y: np.ndarray) -> tuple[float, float]:
    """Slope and intercept of the least-squares line."""
    design = np.column_stack((x, np.ones_like(x)))
    (slope, intercept), *_ = np.linalg.lstsq(design, y, rcond=None)
    return float(slope), float(intercept)


def _holdout_error(x: np.ndarray, y: np.ndarray) -> float:
    """Error at the largest size of a line through all other sizes, as a part of the value there."""
    if len(x) < 3 or y[-1] == 0:
        return 0.0
    slope, intercept = _line(x[:-1], y[:-1])
    return float((intercept + slope * x[-1] - y[-1]) / abs(y[-1]))


def _shape(x: np.ndarray, y: np.ndarray, slope: float, holdout_error: float) -> Shape:
    rise = abs(slope) * float(x[-1] - x[0])
    if rise <= FLAT_PART * abs(float(np.mean(y))):
        return Shape.FLAT
    if slope < 0:
        return Shape.FALLS
    if abs(holdout_error) <= LINE_ERROR:
        return Shape.LINE
    return Shape.STEEPER if holdout_error < 0 else Shape.FLATTER
