"""`report latency`: computes from traces which volumes' work delayed other requests."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer
from rich.table import Table

from stackrouter.cli.shared import AsJson, err, out, print_json, progress_bar
from stackrouter.cli.trace import Files, open_trace_files, read_problems
from stackrouter.errors import OutputError

app = typer.Typer(no_args_is_help=True, help="Reports from traces.")


@app.callback()
def group() -> None:
    """Reports from traces."""


@app.command()
def latency(
    files: Files,
    html: Annotated[Path | None, typer.Option(help="Write a self-contained HTML page with plots.")] = None,
    pairs: Annotated[
        int,
        typer.Option(
            min=16, max=1_000_000, help="Number of (waiter, cause, node) triples to count separately."
        ),
    ] = 4096,
    most: Annotated[int, typer.Option(min=1, max=10_000, help="Maximum rows of each table.")] = 20,
    as_json: AsJson = False,
) -> None:
    """Report which volume waited behind which at each node, and which volumes caused the most delay."""
    from stackrouter.accounts.report import UsualRates, account_for, common_settings, figures
    from stackrouter.trace.read import merge

    traces = open_trace_files(files)
    usual = common_settings(
        UsualRates(
            tuple((p.name, p.usual_units_per_s) for p in run.header.plans),
            run.header.classes,
            run.header.largest_units,
        )
        for run in traces.runs
    )
    with progress_bar("accounts", traces.count) as progress:
        book = account_for(usual, lambda: merge(traces.runs), pairs, progress.update)
    report = figures(book, usual, most)
    report["problems"] = read_problems(traces)
    report["gateways"] = sorted({run.header.gateway for run in traces.runs})
    if html is not None:
        from stackrouter.cli.page import latency_page

        try:
            html.write_text(latency_page(report, book.timeline()), encoding="utf-8")
        except OSError as error:
            raise OutputError(error.strerror, file=html) from None
    if as_json:
        print_json(report)
        return
    _print_report(report, most)
    if html is not None:
        err.print(f"page: {html}")


def format_seconds(us: float) -> str:
    """Microseconds as seconds with three decimals."""
    return f"{us / 1e6:.3f}"


def _print_report(report: dict[str, Any], most: int) -> None:
    out.print(f"{report['requests']} requests through {len(report['gateways'])} gateways\n")
    table = Table(
        "volume", "plan", "delay caused to others, s", title="Causes", title_justify="left", box=None
    )
    for row in report["causes"][:most]:
        table.add_row(row["volume"], row["plan"], format_seconds(row["delay_us"]))
    out.print(table)
    table = Table(
        "waiter", "behind", "node", "s", title="\nWho waited behind whom", title_justify="left", box=None
    )
    for row in report["pairs"][:most]:
        table.add_row(row["waiter"], row["cause"], row["node"], format_seconds(row["delay_us"]))
    out.print(table)
    parts = ("tokens", "room", "node", "served", "lost")
    table = Table(
        "plan",
        "class",
        "requests",
        *parts,
        "p50 ms",
        "p99 ms",
        title="\nWhere the time went, s",
        title_justify="left",
        box=None,
    )
    for group_row in report["groups"]:
        table.add_row(
            group_row["plan"],
            group_row["class"],
            str(group_row["requests"]),
            *(format_seconds(group_row[f"{part}_us"]) for part in parts),
            f"{group_row['p50_us'] / 1000:.1f}",
            f"{group_row['p99_us'] / 1000:.1f}",
        )
    out.print(table)
    out.print(
        f"\ncharged to no volume, s: pauses of nodes {format_seconds(report['node_us'])}, "
        f"behind the same volume {format_seconds(report['own_us'])}, "
        f"work of other gateways {format_seconds(report['elsewhere_us'])}, "
        f"unattributed {format_seconds(report['unattributed_us'])}",
        soft_wrap=True,
    )
    out.print(f"each sum above is an overestimate by at most {format_seconds(report['sketch_error_us'])} s")
    for problem in report["problems"]:
        out.print(f"problem: {problem}", soft_wrap=True)
