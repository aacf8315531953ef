"""Estimates of a figure at the target size, with their source and extrapolation factor."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from stackrouter.capacity.fit import Fit, Shape, fit
from stackrouter.capacity.scale import FullMeshRun, ScaleRun, without_faults
from stackrouter.capacity.slopes import Series, Slopes

MAX_FITTED_GATEWAYS = 3_200  # larger runs are predicted from the runs up to this size, then compared


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value with its source. `factor`: target size / largest measured size; None if no size is involved."""

    value: float
    source: str
    factor: float | None = None

    def scaled(self, multiplier: float, reason: str) -> Estimate:
        """The estimate multiplied by `multiplier`; `reason` is appended to its source."""
        return Estimate(self.value * multiplier, f"{self.source}, {reason}", self.factor)


ROUNDING_ERROR = 1e-12  # a smaller figure of a fit is its rounding error, which differs between machines


def format_number(value: float) -> str:
    """Format a value with three significant digits and with commas for thousands."""
    if abs(value) < ROUNDING_ERROR:
        return "0"
    if abs(value) >= 100:
        return f"{round(value):,}"
    digits = 1 if abs(value) >= 10 else 2 if abs(value) >= 1 else 3
    if abs(value) < 0.01:
        return f"{value:.2g}"
    text = f"{value:.{digits}f}"
    return text.rstrip("0").rstrip(".")


def fit_series(series: Series) -> Fit:
    """Fit the medians of a series."""
    return fit(series.sizes, series.medians)


def estimate_at(slopes: Slopes, name: str, size: float) -> Estimate | None:
    """The figure of a series at a size, as measured or else from the fit. None if the series is missing."""
    series = slopes.find_series(name)
    if series is None:
        return None
    factor = size / series.largest.size
    measured = series.at(size)
    if measured is not None:
        return Estimate(measured, f"`{name}`, measured there", factor)
    return Estimate(fit_series(series).at(size), f"`{name}`, {_describe_fit(fit_series(series))}", factor)


def estimate_by_slope(slopes: Slopes, name: str, size: float) -> Estimate | None:
    """The slope of a series times a size, without the intercept. None if the series is missing."""
    series = slopes.find_series(name)
    if series is None:
        return None
    fitted = fit_series(series)
    source = f"`{name}`, slope {format_number(fitted.slope)} {series.unit} each"
    return Estimate(fitted.slope * size, source, size / series.largest.size)


def _describe_fit(fitted: Fit) -> str:
    if fitted.shape is Shape.FALLS:
        return f"falls with size: the highest, {format_number(fitted.max_value)}"
    if fitted.shape is Shape.STEEPER and fitted.exponent is not None and fitted.factor is not None:
        return f"power law {format_number(fitted.factor)} * n^{fitted.exponent:.2f}"
    sign = "+" if fitted.slope >= 0 else "-"
    return f"line {format_number(fitted.intercept)} {sign} {format_number(abs(fitted.slope))} n"


def estimate_mesh(runs: Sequence[FullMeshRun], get_figure: Callable[[FullMeshRun], float | None],
            members: float) -> Estimate | None:  # fmt: skip
    """A figure at a number of members, fitted over the runs in which every gateway is a Raft member.

    None if there are too few runs."""
    points = [(run.members, value) for run in runs if (value := get_figure(run)) is not None]
    if len(points) < MIN_FIT_RUNS:
        return None
    fitted = fit([size for size, _ in points], [value for _, value in points])
    source = f"{len(points)} runs, {_describe_fit(fitted)}"
    return Estimate(fitted.at(members), source, members / max(size for size, _ in points))


@dataclass(frozen=True, slots=True)
class Prediction:
    """A figure of a larger scale run: predicted by the fit over the smaller runs, and as measured."""

    what: str
    unit: str
    gateways: int
    predicted: float
    measured: float

    @property
    def error(self) -> float:
        """Relative to the measured value; 0 if that is 0."""
        return (self.predicted - self.measured) / self.measured if self.measured else 0.0


FigureGetter = Callable[[ScaleRun], float | None]
PREDICTED_FIGURES: tuple[tuple[str, str, FigureGetter], ...] = (
    ("in force, p99", "ms", lambda run: run.in_force_ms_p99),
    ("in force, longest", "ms", lambda run: run.in_force_ms_max),
    ("a gateway's CPU", "ms/s", lambda run: run.gateway_cpu_ms_s),
    ("a gateway's memory", "MiB", lambda run: run.gateway_rss_mib),
    ("a gateway's bytes", "B/s", lambda run: run.gateway_bytes_s),
    ("a replica's CPU", "ms/s", lambda run: run.control_cpu_ms_s),
    ("a replica's memory", "MiB", lambda run: run.control_rss_mib),
    ("a replica's bytes", "B/s", lambda run: run.control_bytes_s),
    ("log entries", "entries/s", lambda run: run.log_entries_s),
)
MIN_FIT_RUNS = 3


def estimate_from_runs(
    runs: Sequence[ScaleRun], get_figure: FigureGetter, gateways: float, control: int
) -> Estimate | None:
    """A figure of the scale runs at a size: as measured there, else from the fit over the runs without faults
    and with the same number of replicas. None if there are too few runs."""
    points = _points(runs, get_figure, control)
    if not points:
        return None
    largest = max(size for size, _ in points)
    factor = gateways / largest
    # A run also has real gateways beside its nominal number of hollow ones, so its size is some
    # thousandths larger.
    if 0.99 <= factor <= 1.02:
        return Estimate(dict(points)[largest], f"scale run, {largest:,.0f} gateways", factor)
    if len(points) < MIN_FIT_RUNS:
        return None
    fitted = fit([size for size, _ in points], [value for _, value in points])
    return Estimate(fitted.at(gateways), f"{len(points)} scale runs, {_describe_fit(fitted)}", factor)


def predictions(runs: Sequence[ScaleRun]) -> list[Prediction]:
    """Each figure of each run above `MAX_FITTED_GATEWAYS`, with its prediction from the runs up to there."""
    compared: list[Prediction] = []
    for larger in without_faults(runs):
        if larger.gateways <= MAX_FITTED_GATEWAYS:
            continue
        for what, unit, get_figure in PREDICTED_FIGURES:
            points = _points(runs, get_figure, larger.control)
            smaller = [(size, value) for size, value in points if size <= MAX_FITTED_GATEWAYS]
            measured = get_figure(larger)
            if len(smaller) >= MIN_FIT_RUNS and measured is not None:
                fitted = fit([size for size, _ in smaller], [value for _, value in smaller])
                compared.append(Prediction(what, unit, larger.gateways, fitted.at(larger.gateways), measured))
    return compared


def _points(runs: Sequence[ScaleRun], get_figure: FigureGetter, control: int) -> list[tuple[float, float]]:
    figures = ((run.gateways, get_figure(run)) for run in without_faults(runs) if run.control == control)
    return [(float(size), value) for size, value in figures if value is not None]
