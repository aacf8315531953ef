"""Least-squares fits of a series: line, power law, residual, whether a line is the right shape. No I/O."""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

FLAT_PART = 0.10  # a line that rises by less than this part of the mean over all sizes counts as flat
LINE_ERROR = 0.25  # a line through the smaller sizes that misses the largest by less is the right shape


class Shape(enum.Enum):
    """Whether a line describes the series."""

    FLAT = "flat"
    LINE = "line"
    STEEPER = "steeper than a line"
    FLATTER = "flatter than a line"
    FALLS = "falls with size"


@dataclass(frozen=True, slots=True)
class Fit:
    """`intercept` + `slope` * size; `residual`: root mean square distance of the points from that line, in
    the quantity's unit. `exponent` and `factor`: of factor * size ** exponent, fitted to the logarithms; None
    where a value is not above 0. `missed`: by which part of the largest size's value a line through the
    others misses it (negative: the line lies below). `highest`: of the values."""

    intercept: float
    slope: float
    residual: float
    factor: float | None
    exponent: float | None
    missed: float
    highest: float
    shape: Shape

    def line(self, size: float) -> float:
        return self.intercept + self.slope * size

    def at(self, size: float) -> float:
        """The value expected at a size: by the power law where the series is steeper than a line, the highest
        of all where it falls, since no cost falls for ever."""
        if self.shape is Shape.FALLS:
            return self.highest
        if self.shape is Shape.STEEPER and self.factor is not None and self.exponent is not None:
            return float(self.factor * size**self.exponent)
        return self.line(size)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line and a power law to values at three sizes or more."""
    x, y = np.asarray(sizes, dtype=float), np.asarray(values, dtype=float)
    order = np.argsort(x)
    x, y = x[order], y[order]
    slope, intercept = _line(x, y)
    residual = float(np.sqrt(np.mean((intercept + slope * x - y) ** 2)))
    factor = exponent = None
    if np.all(y > 0) and np.all(x > 0):
        exponent, log_factor = _line(np.log(x), np.log(y))
        factor = math.exp(log_factor)
    missed = _missed(x, y)
    shape, highest = _shape(x, y, slope, missed), float(np.max(y))
    return Fit(intercept, slope, residual, factor, exponent, missed, highest, shape)


def _line(x: np.ndarray, y: np.ndarray) -> tuple[float, float]:
    """Slope and intercept of the least-squares line."""
    design = np.column_stack((x, np.ones_like(x)))
    (slope, intercept), *_ = np.linalg.lstsq(design, y, rcond=None)
    return float(slope), float(intercept)


def _missed(x: np.ndarray, y: np.ndarray) -> float:
    """How far a line through all but the largest size misses its value, as a part of that value."""
    if len(x) < 3 or y[-1] == 0:
        return 0.0
    slope, intercept = _line(x[:-1], y[:-1])
    return float((intercept + slope * x[-1] - y[-1]) / abs(y[-1]))


def _shape(x: np.ndarray, y: np.ndarray, slope: float, missed: float) -> Shape:
    rise = abs(slope) * float(x[-1] - x[0])
    if rise <= FLAT_PART * abs(float(np.mean(y))):
        return Shape.FLAT
    if slope < 0:
        return Shape.FALLS
    if abs(missed) <= LINE_ERROR:
        return Shape.LINE
    return Shape.STEEPER if missed < 0 else Shape.FLATTER
