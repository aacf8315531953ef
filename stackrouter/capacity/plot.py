"""The plot beside the capacity page: measured series and their fits, as one small PNG."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib
import numpy as np

matplotlib.use("agg")

from matplotlib.figure import Figure

from stackrouter.capacity.estimate import of_series
from stackrouter.capacity.slopes import Series, Slopes

SHOWN = (
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
    """One panel for each series of `SHOWN` that was measured."""
    shown = [series for name in SHOWN if (series := slopes.named(name)) is not None]
    figure = Figure(figsize=(4 * COLUMNS, 2.6 * max(1, -(-len(shown) // COLUMNS))))
    for place, series in enumerate(shown, 1):
        axes = figure.add_subplot(-(-len(shown) // COLUMNS), COLUMNS, place)
        _panel(axes, series)
    figure.tight_layout()
    figure.savefig(file, dpi=DOTS_PER_INCH, metadata={"Software": None})


def _panel(axes: matplotlib.axes.Axes, series: Series) -> None:
    sizes: Sequence[float] = series.sizes
    found = of_series(series)
    for point in series.points:
        axes.plot([point.size] * len(point.values), point.values, "o", color="tab:blue", markersize=3)
    between = np.geomspace(min(sizes), max(sizes), 50)
    axes.plot(between, [found.at(size) for size in between], color="tab:orange", linewidth=1)
    axes.set_xscale("log")
    if all(value > 0 for point in series.points for value in point.values):
        axes.set_yscale("log")
    axes.set_title(series.name, fontsize=8)
    axes.set_xlabel(series.against, fontsize=7)
    axes.set_ylabel(series.unit, fontsize=7)
    axes.tick_params(labelsize=6)
