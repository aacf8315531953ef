"""The plot of the capacity page: measured series and their fits in one small PNG."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib
import numpy as np

matplotlib.use("agg")

from matplotlib.figure import Figure

from stackrouter.capacity.estimate import fit_series
from stackrouter.capacity.slopes import Series, Slopes

PLOTTED_SERIES = (
    "gateway.list.whole_cpu",
    "gateway.list.change_cpu",
    "gateway.memory.clients_idle",
    "gateway.request.cpu_rate_kept",
    "gateway.request.cpu_nodes",
    "node.reuse.share_nodes",
    "replica.heartbeats.cpu",
    "replica.restarts.cpu",
    "replica.snapshot.bytes",
)
COLUMNS = 3
DOTS_PER_INCH = 70


def write_plot(slopes: Slopes, file: Path) -> None:
    """Write a plot with one panel for each measured series of `PLOTTED_SERIES`."""
    plotted = [series for name in PLOTTED_SERIES if (series := slopes.find_series(name)) is not None]
    figure = Figure(figsize=(4 * COLUMNS, 2.6 * max(1, -(-len(plotted) // COLUMNS))))
    for position, series in enumerate(plotted, 1):
        axes = figure.add_subplot(-(-len(plotted) // COLUMNS), COLUMNS, position)
        _panel(axes, series)
    figure.tight_layout()
    figure.savefig(file, dpi=DOTS_PER_INCH, metadata={"Software": None})


def _panel(axes: matplotlib.axes.Axes, series: Series) -> None:
    sizes: Sequence[float] = series.sizes
    fitted = fit_series(series)
    for point in series.points:
        axes.plot([point.size] * len(point.values), point.values, "o", color="tab:blue", markersize=3)
    curve_sizes = np.geomspace(min(sizes), max(sizes), 50)
    axes.plot(curve_sizes, [fitted.at(size) for size in curve_sizes], color="tab:orange", linewidth=1)
    axes.set_xscale("log")
    if all(value > 0 for point in series.points for value in point.values):
        axes.set_yscale("log")
    axes.set_title(series.name, fontsize=8)
    axes.set_xlabel(series.against, fontsize=7)
    axes.set_ylabel(series.unit, fontsize=7)
    axes.tick_params(labelsize=6)
