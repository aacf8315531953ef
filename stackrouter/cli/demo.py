"""`demo`: runs gateways with stand-in nodes, discovery and clients on loopback, and shows a live table."""

from __future__ import annotations

import signal
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer
from rich.console import Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from stackrouter.cli.shared import err, out, print_json
from stackrouter.errors import OptionError, OutputError

if TYPE_CHECKING:
    from stackrouter.standins.fleet import StandinFleet

EDGE_TEMPLATE = 'accounts {{ enabled: true }}\ntrace {{ enabled: true file: "{folder}/{{gateway}}.trace" }}\n'


def demo(
    gateways: Annotated[int, typer.Option(min=1, max=8)] = 2,
    nodes: Annotated[int, typer.Option(min=1, max=16)] = 3,
    seconds: Annotated[
        float, typer.Option(min=0, help="Stop after this many seconds; 0: run until Ctrl-C.")
    ] = 0.0,
    noisy: Annotated[
        str, typer.Option(help="Which volume bursts: basic, priority, writes or none.")
    ] = "basic",
    seed: int = 1,
    trace: Annotated[Path | None, typer.Option(help="Keep the gateways' traces in this folder.")] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one line of JSON at the end; no table.")
    ] = False,
) -> None:
    """Run a whole installation on this machine; Ctrl-C stops all of it."""
    from stackrouter.standins.fleet import Scene, StandinFleet

    if noisy not in ("basic", "priority", "writes", "none"):
        raise OptionError(f"must be one of basic, priority, writes, none, not {noisy!r}", key="--noisy")
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="stackrouter-demo-")))
        edge = ""
        if trace is not None:
            try:
                trace.mkdir(parents=True, exist_ok=True)
            except OSError as error:
                raise OutputError(error.strerror, key="--trace", file=trace) from None
            edge = EDGE_TEMPLATE.format(folder=trace.resolve()).replace("{{", "{").replace("}}", "}")
        length_s = seconds or 30.0
        scene = Scene(gateways, nodes, seed, 0.3, noisy, (0.25 * length_s, 0.75 * length_s), edge)
        # Signals are only recorded, so that they do not interrupt the shutdown.
        stop: list[int] = []
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(signal_number, lambda received, _frame: stop.append(received))
        fleet = StandinFleet(scene, folder)
        with fleet:
            _run_until_stopped(fleet, seconds, stop, as_json)
        if as_json:
            print_json(_figures(fleet))
        else:
            out.print(_summary(fleet))
            if trace is not None:
                err.print(f"traces: stackrouter report latency {trace}/*.trace", soft_wrap=True)


def _run_until_stopped(fleet: StandinFleet, seconds: float, stop: list[int], as_json: bool) -> None:
    import gevent

    clients = fleet.start_clients()
    end_s = time.monotonic() + seconds if seconds else float("inf")
    previous_counts: dict[str, int] = {}
    if as_json or not out.is_terminal:
        while not stop and time.monotonic() < end_s:
            gevent.sleep(0.05)
        return
    with Live(console=out, auto_refresh=False, screen=False) as live:
        while not stop and time.monotonic() < end_s:
            counts = {
                load.volume: sum(clients.results[load.volume].verdicts.values())
                for load in fleet.volume_loads
            }
            live.update(_render_tables(fleet, counts, previous_counts), refresh=True)
            previous_counts = counts
            for _ in range(10):
                if not stop:
                    gevent.sleep(0.1)


def _percentile(values: list[float], fraction: float) -> str:
    """A percentile of times in seconds, as milliseconds."""
    return f"{1000 * sorted(values)[int(fraction * (len(values) - 1))]:.0f}" if values else "-"


def _render_tables(fleet: StandinFleet, counts: dict[str, int], previous_counts: dict[str, int]) -> Group:
    clients = fleet.clients
    assert clients is not None
    elapsed = time.monotonic() - clients.began
    volumes = Table("volume", "plan", "asked/s", "p50 ms", "p99 ms", "served", "refused", "failed", box=None)
    for load in fleet.volume_loads:
        results = clients.results[load.volume]
        times, begin, end = load.burst
        bursting = times > 1 and begin <= elapsed < end
        recent = list(results.recent)
        failed = results.verdicts["failed"] + results.verdicts["lost"]
        volumes.add_row(
            load.volume,
            load.plan,
            str(counts[load.volume] - previous_counts.get(load.volume, 0)),
            _percentile(recent, 0.5),
            _percentile(recent, 0.99),
            str(results.verdicts["served"]),
            str(results.verdicts["refused"]),
            str(failed),
            style="bold" if bursting else None,
        )
    nodes = Table("node", "in flight", "served", "rejected", "abandoned", box=None)
    for node in fleet.nodes:
        nodes.add_row(
            node.name,
            str(node.inflight),
            str(node.stats.served),
            str(node.stats.busy),
            str(node.stats.client_closed),
        )
    summary_line = (
        f"{len(fleet.ports)} gateways, {len(fleet.nodes)} nodes, {elapsed:.0f} s; Ctrl-C stops all of it"
    )
    return Group(Text(summary_line), Text(), volumes, Text(), nodes)


def _figures(fleet: StandinFleet) -> dict[str, Any]:
    assert fleet.clients is not None
    results = fleet.clients.results
    return {
        "noisy": fleet.noisy,
        "volumes": [
            {
                "volume": load.volume,
                "plan": load.plan,
                "latency_us": round(results[load.volume].latency_s * 1e6),
                **{
                    verdict: results[load.volume].verdicts[verdict]
                    for verdict in ("served", "refused", "failed", "lost")
                },
            }
            for load in fleet.volume_loads
        ],
        "nodes": [
            {
                "node": node.name,
                "served": node.stats.served,
                "busy": node.stats.busy,
                "given_up": node.stats.client_closed,
            }
            for node in fleet.nodes
        ],
        "exits": [process.returncode for process in fleet.processes],
    }


def _summary(fleet: StandinFleet) -> str:
    total: Counter[str] = Counter()
    for row in _figures(fleet)["volumes"]:
        for verdict in ("served", "refused", "failed", "lost"):
            total[verdict] += row[verdict]
    return f"{total.total()} requests: " + ", ".join(
        f"{count} {verdict}" for verdict, count in total.items() if count
    )
