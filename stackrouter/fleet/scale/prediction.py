"""Predicts a larger scale run from smaller ones. No I/O.

Each quantity is fitted against the number of hollow gateways by least squares, as a power law (linear in the
logarithms). Where most of a quantity does not depend on the gateways, a power law is the wrong model and
predicts too little, so a linear fit of the values is reported as well.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import exp, log
from statistics import linear_regression

QUANTITIES = ("control_cpu_ms_s", "control_bytes_s", "in_force_ms_p99", "log_entries_s", "control_rss_mib")
LARGEST_FITTED = 3000  # hollow gateways in the largest run used for fits
MIN_RUNS = 3  # per fit


@dataclass(frozen=True, slots=True)
class Prediction:
    """The prediction of one quantity at `hollow` gateways from runs at `sizes`: by a power law with
    `exponent`, and by a line with `intercept` and `slope` per gateway."""

    quantity: str
    hollow: int
    sizes: tuple[int, ...]
    by_power: float
    exponent: float
    by_line: float
    intercept: float
    slope: float


@dataclass(frozen=True, slots=True)
class Compared:
    """A prediction and the measured value. Errors are relative to the measured value; below 0 if the
    prediction was too low."""

    prediction: Prediction
    measured: float
    power_error: float
    line_error: float


def predict(quantity: str, hollow: int, measured: Mapping[int, float]) -> Prediction | None:
    """Predict a quantity at `hollow` gateways. `measured`: values by number of hollow gateways, all positive.
    Returns None if fewer than MIN_RUNS sizes can be used."""
    sizes = tuple(sorted(size for size in measured if size <= LARGEST_FITTED))
    if len(sizes) < MIN_RUNS:
        return None
    values = [measured[size] for size in sizes]
    power = linear_regression([log(size) for size in sizes], [log(value) for value in values])
    line = linear_regression(sizes, values)
    return Prediction(
        quantity,
        hollow,
        sizes,
        by_power=exp(power.intercept + power.slope * log(hollow)),
        exponent=power.slope,
        by_line=line.intercept + line.slope * hollow,
        intercept=line.intercept,
        slope=line.slope,
    )


def predict_all(hollow: int, runs: Sequence[Mapping[str, float]]) -> list[Prediction]:
    """Predict all QUANTITIES. `runs`: figures by name of runs without faults; the last run of each size is
    used."""
    found = (predict(name, hollow, {int(run["hollow"]): run[name] for run in runs}) for name in QUANTITIES)
    return [prediction for prediction in found if prediction is not None]


def compare(prediction: Prediction, measured: float) -> Compared:
    """Compute the errors of a prediction."""
    return Compared(
        prediction,
        measured,
        power_error=prediction.by_power / measured - 1,
        line_error=prediction.by_line / measured - 1,
    )
