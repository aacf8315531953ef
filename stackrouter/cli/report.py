"""`report latency`: whose work made requests wait, from traces."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer
from rich.table import Table

from stackrouter.cli.shared import AsJson, bar, err, out, print_json
from stackrouter.cli.trace import Files, opened, warnings
from stackrouter.errors import OutputError

app = typer.Typer(no_args_is_help=True, help="Reports from traces.")


@app.callback()
def group() -> None:
    """Reports from traces."""


@app.command()
def latency(
    files: Files,
    html: Annotated[Path | None, typer.Option(help="Write a page with plots, in one file.")] = None,
    pairs: Annotated[
        int, typer.Option(min=16, max=1_000_000, help="So many (waiter, cause, node) apart.")
    ] = 4096,
    most: Annotated[int, typer.Option(min=1, max=10_000, help="Rows of each table.")] = 20,
    as_json: AsJson = False,
) -> None:
    """Say who waited behind whom at each node, and which volume caused it."""
    from stackrouter.accounts.report import Usual, figures, read, same
    from stackrouter.trace.read import merge

    traces = opened(files)
    usual = same(
        Usual(
            tuple((p.name, p.usual_units_per_s) for p in run.header.plans),
            run.header.classes,
            run.header.largest_units,
        )
        for run in traces.runs
    )
    with bar("accounts", traces.count) as progress:
        book = read(usual, lambda: merge(traces.runs), pairs, progress.at)
    found = figures(book, usual, most)
    found["problems"] = warnings(traces)
    found["gateways"] = sorted({run.header.gateway for run in traces.runs})
    if html is not None:
        from stackrouter.cli.page import latency_page

        try:
            html.write_text(latency_page(found, book.timeline()), encoding="utf-8")
        except OSError as error:
            raise OutputError(error.strerror, file=html) from None
    if as_json:
        print_json(found)
        return
    _print(found, most)
    if html is not None:
        err.print(f"page: {html}")


def seconds(us: float) -> str:
    return f"{us / 1e6:.3f}"


def _print(found: dict[str, Any], most: int) -> None:
    out.print(f"{found['requests']} requests through {len(found['gateways'])} gateways\n")
    table = Table(
        "volume", "plan", "delay caused to others, s", title="Causes", title_justify="left", box=None
    )
    for row in found["causes"][:most]:
        table.add_row(row["volume"], row["plan"], seconds(row["delay_us"]))
    out.print(table)
    table = Table(
        "waiter", "behind", "node", "s", title="\nWho waited behind whom", title_justify="left", box=None
    )
    for row in found["pairs"][:most]:
        table.add_row(row["waiter"], row["cause"], row["node"], seconds(row["delay_us"]))
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
    for g in found["groups"]:
        table.add_row(
            g["plan"],
            g["class"],
            str(g["requests"]),
            *(seconds(g[f"{part}_us"]) for part in parts),
            f"{g['p50_us'] / 1000:.1f}",
            f"{g['p99_us'] / 1000:.1f}",
        )
    out.print(table)
    out.print(
        f"\ncharged to nobody, s: nodes by themselves {seconds(found['node_us'])}, behind its own volume "
        f"{seconds(found['own_us'])}, elsewhere {seconds(found['elsewhere_us'])}, unattributed "
        f"{seconds(found['unattributed_us'])}",
        soft_wrap=True,
    )
    out.print(f"a sum above is too large by at most {seconds(found['sketch_error_us'])} s")
    for problem in found["problems"]:
        out.print(f"problem: {problem}", soft_wrap=True)
