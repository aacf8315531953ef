"""Predicts a larger scale run from smaller ones. No I/O.

Each quantity is fitted against the number of hollow gateways by least squares, as a power (a straight line
of the logarithms). Where most of a quantity does not depend on the gateways, a power is the wrong shape and
predicts too little: a straight line of the values themselves is told beside it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import exp, log
from statistics import linear_regression

QUANTITIES = ("control_cpu_ms_s", "control_bytes_s", "in_force_ms_p99", "log_entries_s", "control_rss_mib")
LARGEST_FITTED = 3000  # hollow gateways
FEWEST = 3  # runs in a fit


@dataclass(frozen=True, slots=True)
class Prediction:
    """Of one quantity at `hollow` gateways, from runs at `sizes`: by a power of the gateways with
    `exponent`, and by a straight line with `intercept` and `slope` a gateway."""

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
    """A prediction and what was measured. Errors are parts of what was measured; below 0: too little was
    predicted."""

    prediction: Prediction
    measured: float
    power_error: float
    line_error: float


def predict(quantity: str, hollow: int, measured: Mapping[int, float]) -> Prediction | None:
    """`measured`: by number of hollow gateways, all above 0. None: there are too few runs."""
    sizes = tuple(sorted(size for size in measured if size <= LARGEST_FITTED))
    if len(sizes) < FEWEST:
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
    """`runs`: figures of runs without faults, by name; of several of one size the last counts."""
    found = (predict(name, hollow, {int(run["hollow"]): run[name] for run in runs}) for name in QUANTITIES)
    return [prediction for prediction in found if prediction is not None]


def compare(prediction: Prediction, measured: float) -> Compared:
    """How far off it was."""
    return Compared(
        prediction,
        measured,
        power_error=prediction.by_power / measured - 1,
        line_error=prediction.by_line / measured - 1,
    )
