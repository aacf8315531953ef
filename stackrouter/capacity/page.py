"""Generates docs/CAPACITY.md from the files under docs/capacity and the program's constants alone."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import jinja2

from stackrouter.capacity import node_rows, slopes, targets
from stackrouter.capacity.estimate import fit_series, format_number, predictions
from stackrouter.capacity.events import events, quorums
from stackrouter.capacity.gateway_rows import gateway, request_cpu
from stackrouter.capacity.handoff import UNEXPLAINED_HANDOFFS_S, primary_change_time
from stackrouter.capacity.load import LIMITS, RULES
from stackrouter.capacity.parts import rows as part_rows
from stackrouter.capacity.plot import write_plot
from stackrouter.capacity.replica_rows import fleet, full_mesh, max_members, replica
from stackrouter.capacity.rows import Row
from stackrouter.capacity.scale import group_runs, read_full_mesh, read_scale, without_faults
from stackrouter.capacity.slopes import Slopes
from stackrouter.errors import OutputError

SLOPES, BEFORE, SCALE, FULL_MESH = "slopes.json", "slopes-before.json", "scale.json", "full-mesh.json"
PLOT = "slopes.png"
LIST_SERIES = ("gateway.list.", "gateway.memory.nodes")


@dataclass(frozen=True, slots=True)
class SlopeRow:
    """One line of the table of slopes; all formatted."""

    name: str
    what: str
    against: str
    sizes: str
    medians: str
    intercept: str
    slope: str
    exponent: str
    residual: str
    missed: str
    shape: str


@dataclass(frozen=True, slots=True)
class Compared:
    """A figure of an earlier measurement and the current one, at the largest size."""

    name: str
    size: str
    before: str
    now: str


def render(folder: Path) -> str:
    """Render the page from the files of a folder."""
    measured = slopes.read(folder / SLOPES)
    scale, mesh = read_scale(folder / SCALE), read_full_mesh(folder / FULL_MESH)
    runs = scale.runs
    before = slopes.read(folder / BEFORE) if (folder / BEFORE).exists() else None
    roles = {
        "The fleet": fleet(runs),
        "A gateway": gateway(measured, runs),
        "A control replica, one of eight; the leader is one of the five voters": replica(measured, runs),
        "Discovery and its agent": node_rows.discovery(measured),
        "A storage node as the gateways load it": node_rows.storage_node(measured),
    }
    context: dict[str, Any] = {
        "targets": targets, "machine": measured.machine, "slopes": slope_rows(measured), "roles": roles,
        "over": [(role, row) for role, rows in roles.items() for row in rows if row.over],
        "lacking": [(role, row) for role, rows in roles.items() for row in rows if row.is_incomplete],
        "runs": without_faults(runs), "groups": group_runs(runs), "failed": scale.failed,
        "predictions": predictions(runs),
        "mesh": sorted(mesh, key=lambda run: run.members), "mesh_rows": full_mesh(mesh),
        "mesh_most": max_members(mesh), "events": events(measured, runs),
        "quorums": quorums(), "handoff": primary_change_time(runs), "other_seeds": UNEXPLAINED_HANDOFFS_S,
        "parts": part_rows(), "limits": LIMITS, "rules": RULES, "requests_cpu": request_cpu(measured),
        "before": before, "compared": compare_list_series(before, measured) if before else [], "plot": PLOT,
    }  # fmt: skip
    return _template().render(context)


def write_page(folder: Path, file: Path) -> None:
    """Write the page to `file` and its plot to `folder`."""
    text = render(folder)
    write_plot(slopes.read(folder / SLOPES), folder / PLOT)
    try:
        file.write_text(text, encoding="utf-8")
    except OSError as error:
        raise OutputError(error.strerror, file=file) from None


def slope_rows(measured: Slopes) -> list[SlopeRow]:
    """One row for every series with its fit."""
    rows = []
    for series in measured.series:
        fitted = fit_series(series)
        rows.append(
            SlopeRow(
                series.name, f"{series.what}, {series.unit}", series.against,
                ", ".join(format_number(size) for size in series.sizes),
                ", ".join(format_number(median) for median in series.medians),
                format_number(fitted.intercept), format_number(fitted.slope),
                "-" if fitted.exponent is None else f"{round(fitted.exponent, 2) + 0.0:.2f}",
                format_number(fitted.residual), f"{round(fitted.holdout_error, 2) + 0.0:+.0%}",
                fitted.shape.value,
            )
        )  # fmt: skip
    return rows


def compare_list_series(before: Slopes, measured: Slopes) -> list[Compared]:
    """The cost of applying a list in the earlier measurement and the current one, at the largest size."""
    rows = []
    for series in measured.series:
        earlier_series = before.find_series(series.name)
        if not series.name.startswith(LIST_SERIES) or earlier_series is None:
            continue
        size = series.largest.size
        earlier = earlier_series.at(size)
        if earlier is not None:
            now = f"{format_number(series.largest.median)} {series.unit}"
            rows.append(
                Compared(
                    series.name,
                    f"{format_number(size)} {series.against}",
                    f"{format_number(earlier)} {earlier_series.unit}",
                    now,
                )
            )
    return rows


def markdown_table(rows: list[Row]) -> str:
    """The rows of a role as a Markdown table; rows over budget are marked."""
    columns = ("what", "at the target", "budget", "from", "extrapolated", "mechanism")
    header = f"| {' | '.join(columns)} |\n{'| --- ' * len(columns)}|\n"
    lines = [
        f"| {row.what} | {'**' + row.figure + ' OVER**' if row.over else row.figure} | {row.budget} "
        f"| {row.source} | {row.extrapolated} | {row.mechanism} |"
        for row in rows
    ]
    return header + "\n".join(lines)


def _template() -> jinja2.Template:
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("stackrouter.capacity", "templates"),
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        autoescape=False,
    )
    environment.filters["number"] = format_number
    environment.filters["role_table"] = markdown_table
    environment.filters["ms"] = _format_ms
    return environment.get_template("capacity.md.j2")


def _format_ms(value: float | None) -> str:
    return "not measured" if value is None else f"{value:,.0f}"
