"""A figure at the target from a measured series, with where it comes from and how far it is extrapolated."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from stackrouter.capacity.fit import Fit, Shape, fit
from stackrouter.capacity.scale import FullMeshRun, ScaleRun, without_faults
from stackrouter.capacity.slopes import Series, Slopes

PREDICT_UP_TO = 3_200  # gateways: larger runs are predicted from those up to here, and then compared


@dataclass(frozen=True, slots=True)
class Estimate:
    """`factor`: the target size over the largest measured one; None: nothing was extrapolated from a size."""

    value: float
    source: str
    factor: float | None = None

    def times(self, by: float, why: str) -> Estimate:
        """The same figure so many times; `why` says what it was multiplied by."""
        return Estimate(self.value * by, f"{self.source}, {why}", self.factor)


ROUNDING = 1e-12  # below this a fit's figure is its rounding error, which differs from machine to machine


def number(value: float) -> str:
    """Three digits that count, with commas for thousands."""
    if abs(value) < ROUNDING:
        return "0"
    if abs(value) >= 100:
        return f"{round(value):,}"
    digits = 1 if abs(value) >= 10 else 2 if abs(value) >= 1 else 3
    if abs(value) < 0.01:
        return f"{value:.2g}"
    text = f"{value:.{digits}f}"
    return text.rstrip("0").rstrip(".")


def of_series(series: Series) -> Fit:
    """The fit over the medians of a series."""
    return fit(series.sizes, series.medians)


def at(slopes: Slopes, name: str, size: float) -> Estimate | None:
    """The figure of a series at a size: as measured there, else by its fit. None: it was not measured."""
    series = slopes.named(name)
    if series is None:
        return None
    factor = size / series.largest.size
    measured = series.at(size)
    if measured is not None:
        return Estimate(measured, f"`{name}`, measured there", factor)
    return Estimate(of_series(series).at(size), f"`{name}`, {_law(of_series(series))}", factor)


def slope_of(slopes: Slopes, name: str, size: float) -> Estimate | None:
    """What a size adds by the slope of a series alone, without its intercept."""
    series = slopes.named(name)
    if series is None:
        return None
    found = of_series(series)
    source = f"`{name}`, slope {number(found.slope)} {series.unit} each"
    return Estimate(found.slope * size, source, size / series.largest.size)


def _law(found: Fit) -> str:
    if found.shape is Shape.FALLS:
        return f"falls with size: the highest, {number(found.highest)}"
    if found.shape is Shape.STEEPER and found.exponent is not None and found.factor is not None:
        return f"power law {number(found.factor)} * n^{found.exponent:.2f}"
    sign = "+" if found.slope >= 0 else "-"
    return f"line {number(found.intercept)} {sign} {number(abs(found.slope))} n"


def of_mesh(runs: Sequence[FullMeshRun], pick: Callable[[FullMeshRun], float | None],
            members: float) -> Estimate | None:  # fmt: skip
    """A figure of the runs in which every gateway is a member, at a number of members."""
    points = [(run.members, value) for run in runs if (value := pick(run)) is not None]
    if len(points) < LEAST_RUNS:
        return None
    found = fit([size for size, _ in points], [value for _, value in points])
    source = f"{len(points)} runs, {_law(found)}"
    return Estimate(found.at(members), source, members / max(size for size, _ in points))


@dataclass(frozen=True, slots=True)
class Prediction:
    """What the fit over the smaller scale runs says of a larger one, and what that one measured."""

    what: str
    unit: str
    gateways: int
    predicted: float
    measured: float

    @property
    def error(self) -> float:
        """As a part of what was measured."""
        return (self.predicted - self.measured) / self.measured if self.measured else 0.0


Pick = Callable[[ScaleRun], float | None]
FIGURES: tuple[tuple[str, str, Pick], ...] = (
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
LEAST_RUNS = 3


def of_runs(runs: Sequence[ScaleRun], pick: Pick, gateways: float, control: int) -> Estimate | None:
    """A figure of the scale runs at a size: measured there, else by the fit over the runs without faults that
    have as many replicas. None: too few runs."""
    points = _points(runs, pick, control)
    if not points:
        return None
    largest = max(size for size, _ in points)
    factor = gateways / largest
    # The real gateways beside the hollow ones make a size some thousandths larger than its name.
    if 0.99 <= factor <= 1.02:
        return Estimate(dict(points)[largest], f"scale run, {largest:,.0f} gateways", factor)
    if len(points) < LEAST_RUNS:
        return None
    found = fit([size for size, _ in points], [value for _, value in points])
    return Estimate(found.at(gateways), f"{len(points)} scale runs, {_law(found)}", factor)


def predictions(runs: Sequence[ScaleRun]) -> list[Prediction]:
    """Each figure of each run over `PREDICT_UP_TO` gateways against the line over the runs up to there."""
    made: list[Prediction] = []
    for large in without_faults(runs):
        if large.gateways <= PREDICT_UP_TO:
            continue
        for what, unit, pick in FIGURES:
            points = _points(runs, pick, large.control)
            small = [(size, value) for size, value in points if size <= PREDICT_UP_TO]
            measured = pick(large)
            if len(small) >= LEAST_RUNS and measured is not None:
                found = fit([size for size, _ in small], [value for _, value in small])
                made.append(Prediction(what, unit, large.gateways, found.at(large.gateways), measured))
    return made


def _points(runs: Sequence[ScaleRun], pick: Pick, control: int) -> list[tuple[float, float]]:
    told = ((run.gateways, pick(run)) for run in without_faults(runs) if run.control == control)
    return [(float(size), value) for size, value in told if value is not None]
