"""Renders the latency report as one self-contained HTML page, with Jinja2 and SVG plots by matplotlib."""

from __future__ import annotations

import io
from collections import Counter
from typing import Any

import jinja2
import matplotlib

matplotlib.use("svg")
matplotlib.rcParams.update({"svg.hashsalt": "stackrouter", "svg.fonttype": "none", "font.size": 9})

from matplotlib.figure import Figure  # noqa: E402  (the backend has to be selected before this import)

MAX_CAUSES_SHOWN = 8  # causes plotted in their own colour; the rest are summed up
MAX_HEATMAP_VOLUMES = 14  # volumes on each axis of the heat map
MAX_NODES_SHOWN = 16  # nodes with the most waiting, one row each
PART_NAMES = {
    "tokens": "waiting for tokens",
    "room": "waiting in the gateway for capacity",
    "node": "waiting at the node",
    "served": "being served",
    "lost": "in lost attempts",
}


def short_name(volume: str) -> str:
    return volume if len(volume) <= 9 else f"{volume[:8]}…"


def _to_svg(figure: Figure) -> str:
    text = io.StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight", metadata={"Date": None})
    return text.getvalue()[text.getvalue().index("<svg") :]


def _plot_causes(timeline: dict[str, Any]) -> str:
    """Stack plot of waiting by cause: seconds of waiting that ended in each second."""
    totals: Counter[str] = Counter()
    for slot in timeline["causes"]:
        totals.update(slot)
    totals.pop("others", None)
    top = [volume for volume, _ in totals.most_common(MAX_CAUSES_SHOWN)]
    rest = [sum(us for v, us in slot.items() if v not in top) for slot in timeline["causes"]]
    slots_per_us = 1 / timeline["slot_us"]
    rows = [[slot.get(v, 0) * slots_per_us for slot in timeline["causes"]] for v in top] + [
        [us * slots_per_us for us in rest]
    ]
    figure = Figure(figsize=(9, 3))
    axes = figure.subplots()
    axes.stackplot(timeline["seconds"], rows, labels=[*map(short_name, top), "other volumes"], step="post")
    axes.set(
        xlabel="seconds", ylabel="waiting caused, s a second", xlim=(0, max(timeline["seconds"], default=1))
    )
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1), frameon=False)
    return _to_svg(figure)


def _plot_parts(timeline: dict[str, Any]) -> str:
    """Stack plot of the mean time of a request in each of PART_NAMES."""
    figure = Figure(figsize=(9, 3))
    axes = figure.subplots()
    rows = [
        [us / max(1, n) / 1000 for us, n in zip(timeline["parts"][part], timeline["requests"], strict=True)]
        for part in PART_NAMES
    ]
    axes.stackplot(timeline["seconds"], rows, labels=list(PART_NAMES.values()), step="post")
    axes.set(xlabel="seconds", ylabel="mean of a request, ms", xlim=(0, max(timeline["seconds"], default=1)))
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1), frameon=False)
    return _to_svg(figure)


def _plot_pairs(pairs: list[dict[str, Any]]) -> str:
    """Heat map of the seconds that each volume waited behind each other."""
    cells: Counter[tuple[str, str]] = Counter()
    waiters: Counter[str] = Counter()
    causes: Counter[str] = Counter()
    for row in pairs:
        cells[row["waiter"], row["cause"]] += row["delay_us"]
        waiters[row["waiter"]] += row["delay_us"]
        causes[row["cause"]] += row["delay_us"]
    row_volumes = [v for v, _ in waiters.most_common(MAX_HEATMAP_VOLUMES)]
    column_volumes = [v for v, _ in causes.most_common(MAX_HEATMAP_VOLUMES)]
    figure = Figure(figsize=(7, 4.5))
    axes = figure.subplots()
    if row_volumes:
        cell_values = [[cells[w, c] / 1e6 for c in column_volumes] for w in row_volumes]
        image = axes.imshow(cell_values, cmap="Oranges", aspect="auto")
        figure.colorbar(image, label="s")
        axes.set_xticks(
            range(len(column_volumes)), [short_name(v) for v in column_volumes], rotation=60, ha="right"
        )
        axes.set_yticks(range(len(row_volumes)), [short_name(v) for v in row_volumes])
    axes.set(xlabel="volume waited for", ylabel="waiting volume")
    return _to_svg(figure)


def _plot_nodes(timeline: dict[str, Any]) -> str:
    """Heat map of waiting by node and time."""
    totals: Counter[str] = Counter()
    for slot in timeline["nodes"]:
        totals.update(slot)
    nodes = [n for n, _ in totals.most_common(MAX_NODES_SHOWN) if n]
    figure = Figure(figsize=(9, 0.42 * max(2, len(nodes)) + 0.8))
    axes = figure.subplots()
    if nodes:
        cell_values = [[slot.get(n, 0) / timeline["slot_us"] for slot in timeline["nodes"]] for n in nodes]
        end = len(timeline["seconds"]) * timeline["slot_us"] / 1e6
        image = axes.imshow(cell_values, cmap="Blues", aspect="auto", extent=(0, end, len(nodes), 0))
        figure.colorbar(image, label="s a second")
        axes.set_yticks([i + 0.5 for i in range(len(nodes))], nodes)
    axes.set(xlabel="seconds")
    return _to_svg(figure)


def latency_page(found: dict[str, Any], timeline: dict[str, Any]) -> str:
    """The HTML page of a report's figures and its timeline."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("stackrouter.cli"), autoescape=True, undefined=jinja2.StrictUndefined
    )
    environment.filters["s"] = lambda us: f"{us / 1e6:.3f}"
    environment.filters["ms"] = lambda us: f"{us / 1e3:.1f}"
    plots = {"over_time": _plot_causes(timeline), "parts": _plot_parts(timeline),
             "heat": _plot_pairs(found["pairs"]), "nodes": _plot_nodes(timeline)}  # fmt: skip
    return environment.get_template("latency.html.j2").render(found=found, plots=plots, parts=PART_NAMES)
